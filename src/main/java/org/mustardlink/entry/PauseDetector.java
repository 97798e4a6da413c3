package org.mustardlink.entry;

import java.time.Duration;

/** Notices that the process did not run for a while, or that the wall clock was set. */
final class PauseDetector {
    private final long maxGapNanos;
    private long lastNanos;
    private long lastWallMs;

    /**
     * Creates a detector.
     *
     * @param maxGap longest time beyond an intended wait that is not a pause
     */
    PauseDetector(Duration maxGap, long nowNanos, long wallMs) {
        this.maxGapNanos = maxGap.toNanos();
        this.lastNanos = nowNanos;
        this.lastWallMs = wallMs;
    }

    /**
     * Looks at both clocks.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param wallMs wall clock in milliseconds since the epoch
     * @param waitNanos how long the loop meant to wait since the last look
     * @return whether there was a pause or a jump since the last look
     */
    boolean detectPause(long nowNanos, long wallMs, long waitNanos) {
        long elapsed = nowNanos - lastNanos;
        long wallElapsed = Duration.ofMillis(wallMs - lastWallMs).toNanos();
        lastNanos = nowNanos;
        lastWallMs = wallMs;
        return elapsed - waitNanos > maxGapNanos || Math.abs(wallElapsed - elapsed) > maxGapNanos;
    }
}
