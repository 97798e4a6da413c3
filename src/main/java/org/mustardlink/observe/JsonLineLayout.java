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
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.").withZone(ZoneOffset.UTC);
    private static final int MILLIS_PER_SECOND = 1_000;
    /** Length of most lines. */
    private static final int USUAL_LENGTH = 256;

    /** The last second that was written; most lines belong to the second of the line before. */
    private volatile Second lastSecond = Second.of(0);

    /** The text of a second. */
    private record Second(long number, String text) {
        private static Second of(long number) {
            return new Second(number, TIME.format(Instant.ofEpochSecond(number)));
        }
    }

    JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringBuilder line = new StringBuilder(USUAL_LENGTH).append("{\"time\":\"");
        appendTime(line, event.getTimeMillis());
        line.append('"');
        append(line, "level", event.getLevel().name());
        if (event.getMessage() instanceof EventMessage message) {
            append(line, "event", event.getMarker().getName());
            message.forEach((field, value) -> append(line, field, value));
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

    /** Appends a time as in 2026-01-31T09:08:07.006Z. */
    void appendTime(StringBuilder line, long epochMillis) {
        long number = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        Second second = lastSecond;
        if (second.number() != number) {
            second = Second.of(number);
            lastSecond = second;
        }
        int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND);
        line.append(second.text())
                .append((char) ('0' + millis / 100))
                .append((char) ('0' + millis / 10 % 10))
                .append((char) ('0' + millis % 10))
                .append('Z');
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
