package org.mustardlink.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Requests that arrived before the first configuration. Runs on the loop thread. */
final class UnroutedRequests {
    /** A request waits this long for the first configuration; a reachable store answers within 100 ms. */
    private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final List<Unrouted> open = new ArrayList<>();

    private record Unrouted(Runnable action, long untilNanos) {}

    void add(Runnable action, long now) {
        open.add(new Unrouted(action, now + WAIT_NANOS));
    }

    /** Runs the actions of all requests if there is a configuration, otherwise of those that have waited long enough. */
    void tick(boolean configured, long now) {
        open.removeIf(request -> {
            boolean over = configured || now > request.untilNanos();
            if (over) {
                request.action().run();
            }
            return over;
        });
    }
}
