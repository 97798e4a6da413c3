package org.mustardlink.cli;

import java.util.concurrent.CountDownLatch;

/** Runs a graceful stop when the process receives a termination signal. */
final class StopSignal {
    private StopSignal() {}

    /**
     * Registers an action for the termination of the process.
     *
     * @param stop stops the daemon gracefully; the process ends after this action returns
     * @return a latch that is released when the action has returned
     */
    // On SIGTERM the Java runtime runs only shutdown hooks, so the graceful stop has to run in one.
    @SuppressWarnings("ShutdownHook")
    static CountDownLatch onStop(Runnable stop) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            stop.run();
            stopped.countDown();
        }));
        return stopped;
    }
}
