package org.mustardlink.core;

import java.util.ArrayList;
import java.util.List;

/** One target as this entry host sees it. */
final class TargetRow implements TargetView {
    /** Samples that the declared speed counts for. */
    private static final double PRIOR_SAMPLES = 2;

    /** Smallest weight of a new sample, so that a target that changes its speed is followed within 20 tasks. */
    private static final double MIN_GAIN = 0.05;

    private final List<AttemptTable.AttemptRow> running = new ArrayList<>();
    private TargetSpec spec;
    private double logSpeed;
    private double speed;
    private int samples;
    private boolean draining;
    private long blockedUntilNanos = Long.MIN_VALUE;

    TargetRow(TargetSpec spec) {
        this.spec = spec;
        this.speed = spec.declaredSpeed();
        this.logSpeed = Math.log(speed);
    }

    @Override
    public TargetSpec spec() {
        return spec;
    }

    @Override
    public int outstanding() {
        return running.size();
    }

    @Override
    public int freeSlots() {
        return Math.max(0, spec.slots() - running.size());
    }

    @Override
    public double speed() {
        return speed;
    }

    @Override
    public long nextRelease(long now) {
        long next = Long.MAX_VALUE;
        for (AttemptTable.AttemptRow attempt : running) {
            next = Math.min(next, attempt.expectedEnd(now));
        }
        return running.isEmpty() ? now : next;
    }

    boolean accepts(long now) {
        return !draining && freeSlots() > 0 && blockedUntilNanos <= now;
    }

    /** Returns whether the target may take a task now or once a running one ends. */
    boolean usable(long now) {
        return !draining && blockedUntilNanos <= now;
    }

    void declare(TargetSpec declared) {
        spec = declared;
    }

    void drain(boolean isDraining) {
        draining = isDraining;
    }

    void block(long untilNanos) {
        blockedUntilNanos = untilNanos;
    }

    /**
     * Learns from one completed task.
     *
     * @param logSample logarithm of the speed that the task shows
     * @param trust weight of the sample, 0 to 1; low while the task's own size is uncertain
     */
    void learnSpeed(double logSample, double trust) {
        samples++;
        logSpeed += trust * Math.max(1 / (samples + PRIOR_SAMPLES), MIN_GAIN) * (logSample - logSpeed);
        speed = Math.exp(logSpeed);
    }

    void attemptStarted(AttemptTable.AttemptRow attempt) {
        running.add(attempt);
    }

    void attemptEnded(AttemptTable.AttemptRow attempt) {
        running.remove(attempt);
    }
}
