package org.mustardlink.core;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Cancellations that wait for their turn. A wave of them is worked off in bounded batches behind all other events. */
final class CancelTable {
    /** Cancellations worked off in one tick. */
    private static final int MAX_PER_TICK = 256;

    private final Queue<Event.JobCancelled> pending = new ArrayDeque<>();

    void add(Event.JobCancelled event) {
        pending.add(event);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    void processBatch(Consumer<Event.JobCancelled> apply) {
        for (int i = 0; i < MAX_PER_TICK && !pending.isEmpty(); i++) {
            apply.accept(pending.remove());
        }
    }
}
