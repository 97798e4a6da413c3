package org.mustardlink.observe;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.StringWriter;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.WriterAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.mustardlink.http.Json;

/** Captures the lines that event logs write, until it is closed. */
public final class CapturedLines implements AutoCloseable {
    private final StringWriter written = new StringWriter();
    private final Logger logger = (Logger) LogManager.getLogger("org.mustardlink.events");
    private final Appender appender;

    private CapturedLines(Level level) {
        appender = WriterAppender.newBuilder()
                .setName("test")
                .setLayout(new JsonLineLayout())
                .setTarget(written)
                .build();
        appender.start();
        logger.addAppender(appender);
        Configurator.setAllLevels("org.mustardlink", level);
    }

    /** Starts to capture lines of level INFO and above. */
    public static CapturedLines start() {
        return new CapturedLines(Level.INFO);
    }

    /** Starts to capture lines of level DEBUG and above. */
    public static CapturedLines startAtDebug() {
        return new CapturedLines(Level.DEBUG);
    }

    List<String> lines() {
        return Splitter.on('\n').omitEmptyStrings().splitToList(written.toString());
    }

    /** Returns the lines of an event, as JSON objects. */
    public ImmutableList<JsonNode> lines(LogEvent event) {
        return lines().stream()
                .map(CapturedLines::parse)
                .filter(line -> line.path("event").asText().equals(event.id()))
                .collect(ImmutableList.toImmutableList());
    }

    private static JsonNode parse(String line) {
        try {
            return Json.mapper().readTree(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not a JSON object: " + line, e);
        }
    }

    @Override
    public void close() {
        logger.removeAppender(appender);
        // Adding the appender has given the logger a level of its own, which later tests could not change.
        logger.getContext().getConfiguration().removeLogger(logger.getName());
        logger.getContext().updateLoggers();
        EventLog.disableLogging();
    }
}
