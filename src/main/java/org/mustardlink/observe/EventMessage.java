package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.Message;

/**
 * The fields of one log line, for the layout.
 *
 * <p>The fields don't change once the line is written, so the thread that writes lines may format them. Without the annotation
 * Log4j forms a text on the thread that logs, which nobody reads.
 */
@AsynchronouslyFormattable
final class EventMessage implements Message {
    private static final long serialVersionUID = 2L;

    private final transient Map<String, Object> fields;

    /** Takes the fields of a line; the caller doesn't change them any more. */
    EventMessage(Map<String, Object> fields) {
        this.fields = checkNotNull(fields, "fields");
    }

    /** Hands each field and its value on. */
    void forEach(BiConsumer<String, Object> action) {
        fields.forEach(action);
    }

    @Override
    public String getFormattedMessage() {
        return fields.toString();
    }

    @Override
    public Object[] getParameters() {
        return new Object[0];
    }

    @Override
    public Throwable getThrowable() {
        return null;
    }
}
