package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates the configurations of Grizzly's thread pools. */
public final class IoThreads {
    private IoThreads() {}

    /**
     * Returns the configuration of a pool with a fixed number of daemon threads.
     *
     * @param name name of the pool; the name of each thread adds the number of the thread
     * @param threads number of threads
     */
    public static ThreadPoolConfig newPoolConfig(String name, int threads) {
        checkNotNull(name, "name");
        checkArgument(threads > 0, "threads must be positive: %s", threads);
        AtomicInteger number = new AtomicInteger();
        return ThreadPoolConfig.defaultConfig()
                .setPoolName(name)
                .setCorePoolSize(threads)
                .setMaxPoolSize(threads)
                // Grizzly's own factory links string concatenations at run time, which slows the start of a host.
                .setThreadFactory(task -> {
                    Thread thread = new Thread(task, name + '(' + number.incrementAndGet() + ')');
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
