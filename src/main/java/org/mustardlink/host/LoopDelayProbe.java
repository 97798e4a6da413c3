package org.mustardlink.host;

import static com.google.common.base.Preconditions.checkNotNull;

/** Measures how long events wait for a loop, with one event of its own at a time. Runs on the loop thread. */
final class LoopDelayProbe {
    private final HostLoop loop;
    private final Listener listener;
    private boolean measuring;

    /** Hears how long an event has waited. */
    @FunctionalInterface
    interface Listener {
        void onDelay(long delayNanos, long now);
    }

    LoopDelayProbe(HostLoop loop, Listener listener) {
        this.loop = checkNotNull(loop, "loop");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Starts a measurement, unless one is under way. */
    void measure(long now) {
        if (measuring) {
            return;
        }
        measuring = true;
        loop.post(loopNow -> {
            measuring = false;
            listener.onDelay(loopNow - now, loopNow);
        });
    }
}
