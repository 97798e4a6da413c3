package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.Message;

/**
 * A Log4j message that carries the fields of one log line to the layout.
 *
 * <p>The fields don't change once the message is logged, so the appender's thread may format them. Without the
 * annotation, Log4j would also format the message on the thread that logs, and discard the text.
 */
@AsynchronouslyFormattable
final class EventMessage implements Message {
    private static final long serialVersionUID = 2L;

    private final transient Map<String, Object> fields;

    /** Creates a message of a line's fields. The caller must not change the map afterwards. */
    EventMessage(Map<String, Object> fields) {
        this.fields = checkNotNull(fields, "fields");
    }

    /** Passes the name and the value of each field to an action. */
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
