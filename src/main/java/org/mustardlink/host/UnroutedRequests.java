package org.mustardlink.host;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Requests that wait for the first configuration. Runs on the loop thread. */
final class UnroutedRequests {
    /** Time that a request waits for the first configuration; a reachable store answers within 100 ms. */
    private static final long CONFIGURATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** In the order of arrival, which is that of the deadlines. */
    private final Queue<UnroutedRequest> waiting = new ArrayDeque<>();

    private record UnroutedRequest(Runnable action, long deadlineNanos) {}

    void add(Runnable action, long now) {
        waiting.add(new UnroutedRequest(action, now + CONFIGURATION_WAIT_NANOS));
    }

    /**
     * Runs the actions of all requests if there is a configuration, otherwise of those whose time to wait is over.
     *
     * <p>Each action is run once, even if it fails: a job that is submitted twice may run in two pools. The requests
     * behind one that fails are run by the next call.
     */
    void runReady(boolean configured, long now) {
        while (!waiting.isEmpty() && (configured || now > waiting.peek().deadlineNanos())) {
            waiting.remove().action().run();
        }
    }
}
