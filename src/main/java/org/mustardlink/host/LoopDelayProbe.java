package org.mustardlink.host;

import static com.google.common.base.Preconditions.checkNotNull;

/** Measures how long events wait in the queue of a loop, with one probe event at a time. Runs on the loop thread. */
final class LoopDelayProbe {
    private final HostLoop loop;
    private final Listener listener;
    private boolean measuring;

    /** Receives how long the probe event has waited in the queue. */
    @FunctionalInterface
    interface Listener {
        void onDelay(long delayNanos, long now);
    }

    LoopDelayProbe(HostLoop loop, Listener listener) {
        this.loop = checkNotNull(loop, "loop");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Starts a measurement, unless one is in progress. */
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
