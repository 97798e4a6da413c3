package org.mustardlink.observe;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Writes each log event as a JSON object on a line of its own. Thread-safe.
 *
 * <p>A line of {@link EventLog} has the fields that it was given; one of a library has its logger, message and error.
 */
final class JsonLineLayout extends AbstractStringLayout {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    /** Length of most lines. */
    private static final int USUAL_LENGTH = 256;

    JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringBuilder line = new StringBuilder(USUAL_LENGTH).append("{\"time\":\"");
        TIME.formatTo(Instant.ofEpochMilli(event.getTimeMillis()), line);
        line.append('"');
        append(line, "level", event.getLevel().name());
        if (event.getMessage() instanceof EventMessage message) {
            append(line, "event", event.getMarker().getName());
            message.getData().forEach((field, value) -> append(line, field, value));
        } else {
            append(line, "event", "library");
            append(line, "logger", event.getLoggerName());
            append(line, "message", event.getMessage().getFormattedMessage());
            if (event.getThrown() != null) {
                append(line, "error", event.getThrown().getMessage());
            }
        }
        return line.append("}\n").toString();
    }

    private static void append(StringBuilder line, String field, Object value) {
        line.append(",\"").append(field).append("\":");
        if (value instanceof Number) {
            line.append(value);
            return;
        }
        line.append('"');
        JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value), line);
        line.append('"');
    }
}
