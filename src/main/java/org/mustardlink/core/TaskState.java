package org.mustardlink.core;

/** Life cycle state of a task. */
enum TaskState {
    /** The task waits for a slot; no attempt is in flight. */
    QUEUED,
    /** An attempt is in flight. */
    RUNNING,
    /** The complete answer has arrived. */
    DONE,
    /** An attempt ended without a usable answer. */
    LOST,
    /** The job was settled while the task was queued. */
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
