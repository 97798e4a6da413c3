package org.mustardlink.cli;

import java.util.concurrent.CountDownLatch;

/** Runs a graceful stop when the process is asked to end. */
final class StopSignal {
    private StopSignal() {}

    /**
     * Registers a stop.
     *
     * @param stop ends the daemon gracefully; the process lives until it returns
     * @return counts down when the stop is over
     */
    // The runtime ends the process on SIGTERM through shutdown hooks only, so the graceful stop has to run in one.
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
