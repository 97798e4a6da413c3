package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.Maps;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.MarkerManager;
import org.apache.logging.log4j.core.config.Configurator;
import org.mustardlink.config.settings.EntrySettings;

/**
 * Writes the log events of one entry host. Thread-safe.
 *
 * <p>A line has only fields of {@link LogField}. No field carries a caller's payload or answer. Each event has a
 * maximum number of lines per second; the next line that is written for the event tells how many lines were dropped.
 */
public final class EventLog {
    private static final String ROOT_LOGGER = "org.mustardlink";
    private static final Logger LOGGER = LogManager.getLogger(ROOT_LOGGER + ".events");
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<LogField, String> commonFields = new EnumMap<>(LogField.class);
    private final int linesPerSecond;
    private final Map<LogEvent, RateWindow> windows;

    private EventLog(String host, String domain, int linesPerSecond) {
        commonFields.put(LogField.HOST, host);
        commonFields.put(LogField.DOMAIN, domain);
        this.linesPerSecond = linesPerSecond;
        this.windows = Maps.toMap(Arrays.asList(LogEvent.values()), _event -> new RateWindow());
    }

    private static final class RateWindow {
        private long startNanos = System.nanoTime();
        private int writtenLines;
        private long droppedLines;

        /** Returns the number of lines dropped since the last written one, or -1 if this line is dropped too. */
        private synchronized long admit(long nowNanos, int maxLines) {
            if (nowNanos - startNanos >= WINDOW_NANOS) {
                startNanos = nowNanos;
                writtenLines = 0;
            }
            if (writtenLines >= maxLines) {
                droppedLines++;
                return -1;
            }
            writtenLines++;
            long dropped = droppedLines;
            droppedLines = 0;
            return dropped;
        }
    }

    /**
     * Creates a log.
     *
     * @param host id of the entry host
     * @param domain failure domain of the entry host
     * @param linesPerSecond maximum number of lines per second for each event
     */
    public static EventLog create(String host, String domain, int linesPerSecond) {
        checkArgument(linesPerSecond > 0, "linesPerSecond must be positive: %s", linesPerSecond);
        return new EventLog(host, domain, linesPerSecond);
    }

    /** Sets the log levels of the whole process. */
    public static void configure(EntrySettings.Logs logs) {
        configure(logs.level(), logs.libraryLevel());
    }

    /**
     * Sets the log levels of the whole process.
     *
     * @param level level of mustardlink's own lines
     * @param libraryLevel level of the libraries' lines
     */
    public static void configure(String level, String libraryLevel) {
        Configurator.setLevel(ROOT_LOGGER, Level.valueOf(level));
        Configurator.setRootLevel(Level.valueOf(libraryLevel));
    }

    /** Disables logging in the whole process, for commands whose standard output is read by people or programs. */
    public static void disableLogging() {
        Configurator.setLevel(ROOT_LOGGER, Level.OFF);
        Configurator.setRootLevel(Level.OFF);
    }

    /** Returns whether the lines of an event are written, apart from the rate limit. */
    public boolean isEnabled(LogEvent event) {
        return LOGGER.isEnabled(event.level());
    }

    /** Starts a line for an event. */
    public Line line(LogEvent event) {
        return new Line(event);
    }

    /** Builder of one log line; {@link #write} writes the line. */
    public final class Line {
        private final LogEvent event;
        private final boolean enabled;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Line(LogEvent event) {
            this.event = event;
            this.enabled = isEnabled(event);
        }

        /** Adds a field. */
        public Line with(LogField field, Object value) {
            if (!enabled) {
                // Events below the level occur for every job, so their values are not converted to text.
                return this;
            }
            Object fieldValue = value instanceof Number ? value : String.valueOf(value);
            if (field == LogField.INCARNATION && value instanceof Long incarnation) {
                // Base 36, as in session ids. Many JSON readers would lose the last digits of so large a number.
                fieldValue = Long.toString(incarnation, Character.MAX_RADIX);
            }
            fields.put(field.id(), fieldValue);
            return this;
        }

        /** Writes the line, unless its level is disabled or its event has reached the maximum of lines per second. */
        public void write() {
            if (!enabled) {
                return;
            }
            long dropped = windows.get(event).admit(System.nanoTime(), linesPerSecond);
            if (dropped < 0) {
                return;
            }
            if (dropped > 0) {
                with(LogField.SUPPRESSED, dropped);
            }
            commonFields.forEach(this::with);
            LOGGER.log(event.level(), MarkerManager.getMarker(event.id()), new EventMessage(fields));
        }
    }
}
