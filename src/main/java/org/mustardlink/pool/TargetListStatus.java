package org.mustardlink.pool;

/** Tells whether the list of targets that a master gets can be relied upon to find runs of earlier masters. */
@FunctionalInterface
public interface TargetListStatus {
    /**
     * Returns whether the list contains every target that may have been running a task at a given time.
     *
     * @param sinceNanos the time, in nanoseconds of a monotonic clock
     * @param now the current time
     */
    boolean isComplete(long sinceNanos, long now);
}
