package org.mustardlink.core;

/** Where a task is between its arrival and its end. */
enum TaskState {
    /** Waits for a slot; no attempt is in flight. */
    QUEUED,
    /** An attempt is in flight. */
    RUNNING,
    /** The whole answer arrived. */
    DONE,
    /** An attempt ended without a usable answer. */
    LOST,
    /** The job was settled before the task started. */
    DROPPED;

    boolean mayHaveRun() {
        return this == RUNNING || this == DONE || this == LOST;
    }

    boolean canTransitionTo(TaskState next) {
        return switch (this) {
            case QUEUED -> next == RUNNING || next == DROPPED;
            case RUNNING -> next == DONE || next == LOST || next == QUEUED;
            case DONE, LOST, DROPPED -> false;
        };
    }
}
