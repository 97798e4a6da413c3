package org.mustardlink.observe;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Formats each log event as one JSON object on one line. Thread-safe.
 *
 * <p>A line of {@link EventLog} has the fields that were set on it. A line of a library has the name of its logger, its
 * message and, with an exception, the message of the exception.
 */
final class JsonLineLayout extends AbstractStringLayout {
    private static final DateTimeFormatter SECOND_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.").withZone(ZoneOffset.UTC);
    private static final int MILLIS_PER_SECOND = 1_000;
    /** Most lines are not longer, so their buffer need not grow. */
    private static final int TYPICAL_LINE_LENGTH = 256;

    /** The last formatted second. Most lines fall into the same second as the line before them. */
    private volatile FormattedSecond lastSecond = FormattedSecond.of(0);

    /** A second since the epoch and its text. */
    private record FormattedSecond(long epochSecond, String text) {
        private static FormattedSecond of(long number) {
            return new FormattedSecond(number, SECOND_FORMAT.format(Instant.ofEpochSecond(number)));
        }
    }

    JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH).append("{\"time\":\"");
        appendTime(line, event.getTimeMillis());
        line.append('"');
        appendField(line, "level", event.getLevel().name());
        if (event.getMessage() instanceof EventMessage message) {
            appendField(line, "event", event.getMarker().getName());
            message.forEach((field, value) -> appendField(line, field, value));
        } else {
            appendField(line, "event", "library");
            appendField(line, "logger", event.getLoggerName());
            appendField(line, "message", event.getMessage().getFormattedMessage());
            if (event.getThrown() != null) {
                appendField(line, "error", event.getThrown().getMessage());
            }
        }
        return line.append("}\n").toString();
    }

    /** Appends a time in UTC with milliseconds, such as 2026-01-31T09:08:07.006Z. */
    void appendTime(StringBuilder line, long epochMillis) {
        long epochSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        FormattedSecond formatted = lastSecond;
        if (formatted.epochSecond() != epochSecond) {
            formatted = FormattedSecond.of(epochSecond);
            lastSecond = formatted;
        }
        int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND);
        line.append(formatted.text())
                .append((char) ('0' + millis / 100))
                .append((char) ('0' + millis / 10 % 10))
                .append((char) ('0' + millis % 10))
                .append('Z');
    }

    private static void appendField(StringBuilder line, String field, Object value) {
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
