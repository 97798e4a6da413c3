package org.mustardlink.core;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Pending cancellations. They are processed after all other events of a tick, in batches of limited size. */
final class CancelTable {
    /** Cancellations processed in one tick. */
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
