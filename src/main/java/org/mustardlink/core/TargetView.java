package org.mustardlink.core;

/** What a placement policy may know about a target. */
public interface TargetView {
    /** Returns the declaration. */
    TargetSpec spec();

    /** Returns the attempts of this entry host in flight at the target. */
    int outstanding();

    /** Returns the slots that this entry host may use now and does not use. */
    int freeSlots();

    /** Returns the learned speed, relative to 1; the declared speed until answers arrive. */
    double speed();

    /**
     * Returns when the next running task is expected to end, as monotonic time in nanoseconds; {@code now} if none runs.
     *
     * @param now monotonic time in nanoseconds
     */
    long nextReleaseNanos(long now);
}
