package org.mustardlink.observe;

import com.google.common.base.Splitter;
import java.io.StringWriter;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.WriterAppender;
import org.apache.logging.log4j.core.config.Configurator;

/** Captures the lines that event logs write at level INFO and above, until it is closed. */
final class CapturedLines implements AutoCloseable {
    private final StringWriter written = new StringWriter();
    private final Logger logger = (Logger) LogManager.getLogger("org.mustardlink.events");
    private final Appender appender;

    private CapturedLines() {
        appender = WriterAppender.newBuilder()
                .setName("test")
                .setLayout(new JsonLineLayout())
                .setTarget(written)
                .build();
        appender.start();
        logger.addAppender(appender);
        Configurator.setLevel("org.mustardlink", Level.INFO);
    }

    static CapturedLines start() {
        return new CapturedLines();
    }

    List<String> lines() {
        return Splitter.on('\n').omitEmptyStrings().splitToList(written.toString());
    }

    @Override
    public void close() {
        logger.removeAppender(appender);
        EventLog.disableLogging();
    }
}
