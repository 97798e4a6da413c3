package org.mustardlink.core;

/** Properties of a target that a placement policy may use. */
public interface TargetView {
    /** Returns the declaration of the target. */
    TargetSpec spec();

    /** Returns the number of attempts of this entry host that are in flight at the target. */
    int outstanding();

    /** Returns the number of free slots that this entry host may use now. */
    int freeSlots();

    /** Returns the learned speed relative to 1; equal to the declared speed until the first task completes. */
    double speed();

    /**
     * Returns the monotonic time in nanoseconds at which the next slot is expected to be released; {@code now} if no
     * task is running.
     *
     * @param now monotonic time in nanoseconds
     */
    long nextReleaseNanos(long now);
}
