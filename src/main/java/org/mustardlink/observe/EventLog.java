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
 * <p>A line holds only fields of {@link LogField}; payloads and answers of callers have no field. Each event has a bound
 * on its lines per second; the next line that is written says how many were dropped.
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

        /** Returns the lines dropped before this one, or -1 if this one is dropped too. */
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
     * @param domain its failure domain
     * @param linesPerSecond most lines of one event each second
     */
    public static EventLog create(String host, String domain, int linesPerSecond) {
        checkArgument(linesPerSecond > 0, "linesPerSecond must be positive: %s", linesPerSecond);
        return new EventLog(host, domain, linesPerSecond);
    }

    /** Sets what the whole process writes. */
    public static void configure(EntrySettings.Logs logs) {
        configure(logs.level(), logs.libraryLevel());
    }

    /**
     * Sets what the whole process writes.
     *
     * @param level level of the project's own lines
     * @param libraryLevel level of the libraries' lines
     */
    public static void configure(String level, String libraryLevel) {
        Configurator.setLevel(ROOT_LOGGER, Level.valueOf(level));
        Configurator.setRootLevel(Level.valueOf(libraryLevel));
    }

    /** Turns every line off, for commands whose output is for people or programs. */
    public static void disableLogging() {
        Configurator.setLevel(ROOT_LOGGER, Level.OFF);
        Configurator.setRootLevel(Level.OFF);
    }

    /** Starts a line. */
    public Line line(LogEvent event) {
        return new Line(event);
    }

    /** One line under construction; {@link #write} ends it. */
    public final class Line {
        private final LogEvent event;
        private final boolean enabled;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Line(LogEvent event) {
            this.event = event;
            this.enabled = LOGGER.isEnabled(event.level());
        }

        /** Adds a field. */
        public Line with(LogField field, Object value) {
            if (!enabled) {
                // Events below the level are on the path of every job, so they must not build text.
                return this;
            }
            Object fieldValue = value instanceof Number ? value : String.valueOf(value);
            if (field == LogField.INCARNATION && value instanceof Long incarnation) {
                // The form of session ids; as a JSON number it would lose its last digits in many readers.
                fieldValue = Long.toString(incarnation, Character.MAX_RADIX);
            }
            fields.put(field.id(), fieldValue);
            return this;
        }

        /** Writes the line, unless its level is off or its event has used up its lines. */
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
