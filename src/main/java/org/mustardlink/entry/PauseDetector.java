package org.mustardlink.entry;

import java.time.Duration;

/** Detects that the process did not run for some time, or that the wall clock was stepped. */
final class PauseDetector {
    private final long maxGapNanos;
    private long lastNanos;
    private long lastWallMs;

    /**
     * Creates a detector.
     *
     * @param maxGap time by which a wait may be exceeded without counting as a pause
     */
    PauseDetector(Duration maxGap, long nowNanos, long wallMs) {
        this.maxGapNanos = maxGap.toNanos();
        this.lastNanos = nowNanos;
        this.lastWallMs = wallMs;
    }

    /**
     * Compares the time elapsed on both clocks since the last call with the intended wait.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param wallMs wall clock in milliseconds since the epoch
     * @param waitNanos time that the loop intended to wait since the last call
     * @return whether the process paused or the wall clock was stepped since the last call
     */
    boolean detectPause(long nowNanos, long wallMs, long waitNanos) {
        long elapsed = nowNanos - lastNanos;
        long wallElapsed = Duration.ofMillis(wallMs - lastWallMs).toNanos();
        lastNanos = nowNanos;
        lastWallMs = wallMs;
        return elapsed - waitNanos > maxGapNanos || Math.abs(wallElapsed - elapsed) > maxGapNanos;
    }
}
