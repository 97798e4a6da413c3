package org.mustardlink.pool;

/**
 * The times that were known when the start of a task was ordered.
 *
 * @param expectedNanos expected running time of the task on its target
 * @param leftNanos time left until the caller's deadline
 * @param waitedNanos time since the job arrived at the master
 */
public record StartTiming(long expectedNanos, long leftNanos, long waitedNanos) {
    /** Returns whether the task is expected to end after the caller's deadline. */
    public boolean missesDeadline() {
        return expectedNanos > leftNanos;
    }

    /** Returns the time left in percent of the expected time, rounded down; below 100 if the deadline is missed. */
    long leftPercent() {
        return Math.floorDiv(100 * leftNanos, Math.max(1, expectedNanos));
    }
}
