package org.mustardlink.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Requests that wait for the first configuration. Runs on the loop thread. */
final class UnroutedRequests {
    /** Time that a request waits for the first configuration; a reachable store answers within 100 ms. */
    private static final long CONFIGURATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final List<UnroutedRequest> waiting = new ArrayList<>();

    private record UnroutedRequest(Runnable action, long deadlineNanos) {}

    void add(Runnable action, long now) {
        waiting.add(new UnroutedRequest(action, now + CONFIGURATION_WAIT_NANOS));
    }

    /** Runs the actions of all requests if there is a configuration, otherwise of those whose time to wait is over. */
    void runReady(boolean configured, long now) {
        waiting.removeIf(request -> {
            boolean ready = configured || now > request.deadlineNanos();
            if (ready) {
                request.action().run();
            }
            return ready;
        });
    }
}
