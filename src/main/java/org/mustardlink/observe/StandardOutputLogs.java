package org.mustardlink.observe;

import java.net.URI;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.selector.ContextSelector;

/**
 * The Log4j context selector of the process, which writes all logs as JSON lines to standard output. Log4j instantiates
 * this class by its name in {@code log4j2.component.properties}.
 *
 * <p>Hosts have no disks. A stalled reader of standard output must not block a host, so lines wait in bounded queues,
 * and lines that find their queue full are dropped. The configuration is code instead of a file, because loading a file
 * through Log4j's plugins takes a quarter of the processor time of a host's start.
 */
public final class StandardOutputLogs implements ContextSelector {
    private static final String PROJECT_LOGGER = "org.mustardlink";
    private static final String CONSOLE_APPENDER = "console";
    /** Queue capacity for lines of mustardlink: ten times the number of lines that one event may write in a second. */
    private static final int EVENT_QUEUE_LINES = 2_048;
    /** Queue capacity for lines of libraries, which log only warnings. */
    private static final int LIBRARY_QUEUE_LINES = 256;
    /**
     * Time to write the queued lines when the process ends. It lies within the margin that a stopping host reserves.
     */
    private static final int FLUSH_TIMEOUT_MS = 200;

    private final LoggerContext context = new LoggerContext("mustardlink");

    /** Starts the logging. */
    public StandardOutputLogs() {
        context.start(new StandardOutputConfiguration(context));
    }

    @Override
    public LoggerContext getContext(String _fqcn, ClassLoader _loader, boolean _currentContext) {
        return context;
    }

    @Override
    public LoggerContext getContext(String _fqcn, ClassLoader _loader, boolean _currentContext, URI _location) {
        return context;
    }

    @Override
    public List<LoggerContext> getLoggerContexts() {
        return List.of(context);
    }

    @Override
    public void removeContext(LoggerContext _context) {
        // The process uses one context until it ends.
    }

    private static final class StandardOutputConfiguration extends AbstractConfiguration {
        private StandardOutputConfiguration(LoggerContext context) {
            super(context, ConfigurationSource.NULL_SOURCE);
        }

        @Override
        public void initialize() {
            setState(State.INITIALIZING);
            // Log4j's ConsoleAppender validates its settings through annotations, which takes a tenth of the processor
            // time until a host's first line.
            Appender console = OutputStreamAppender.newBuilder()
                    .setName(CONSOLE_APPENDER)
                    .setLayout(new JsonLineLayout())
                    .setTarget(System.out)
                    // Queued lines are written by one system call. The last line of a queue is always flushed.
                    .setImmediateFlush(false)
                    .setConfiguration(this)
                    .build();
            console.start();
            addAppender(console);
            LoggerConfig project = new LoggerConfig(PROJECT_LOGGER, Level.INFO, false);
            project.addAppender(newAsyncAppender("events", EVENT_QUEUE_LINES), null, null);
            addLogger(PROJECT_LOGGER, project);
            getRootLogger().setLevel(Level.WARN);
            getRootLogger().addAppender(newAsyncAppender("libraries", LIBRARY_QUEUE_LINES), null, null);
            setState(State.INITIALIZED);
        }

        private Appender newAsyncAppender(String name, int maxLines) {
            Appender appender = AsyncAppender.newBuilder()
                    .setName(name)
                    .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE_APPENDER, null, null)})
                    .setBlocking(false)
                    .setBufferSize(maxLines)
                    .setShutdownTimeout(FLUSH_TIMEOUT_MS)
                    .setConfiguration(this)
                    .build();
            appender.start();
            addAppender(appender);
            return appender;
        }
    }
}
