package org.mustardlink.core;

import java.util.ArrayList;
import java.util.List;

/** One target as this entry host sees it. */
final class TargetRow implements TargetView {
    /** Samples that the declared speed counts for. */
    private static final double PRIOR_SAMPLES = 2;

    /** Smallest weight of a new sample, so that a target that changes its speed is followed within 20 tasks. */
    private static final double MIN_GAIN = 0.05;

    /** Age at which a load report says nothing about the present, in nanoseconds; about one task. */
    private static final long REPORT_LIFE_NANOS = 100_000_000;

    private final List<AttemptTable.AttemptRow> running = new ArrayList<>();
    private TargetSpec spec;
    private double logSpeed;
    private double speed;
    private int samples;
    private int share;
    private int spillShare;
    private boolean spilling;
    private int connections;
    private int othersBusy;
    private long reportedNanos = Long.MIN_VALUE;
    private boolean draining;
    private long blockedUntilNanos = Long.MIN_VALUE;

    TargetRow(TargetSpec spec) {
        this.spec = spec;
        this.share = spec.slots();
        this.connections = spec.connections();
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
        return Math.max(0, Math.min(Math.min(share(), connections), spec.slots() - othersBusy) - running.size());
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
        forgetOldReport(now);
        return usable(now) && freeSlots() > 0;
    }

    /** Returns whether the target may take a task now or once a running one ends. */
    boolean usable(long now) {
        return isAlive() && share() > 0 && blockedUntilNanos <= now;
    }

    /** Returns whether the target belongs to the own failure domain or has lent slots. */
    boolean isOwn() {
        return share > 0;
    }

    void spill(boolean allowed) {
        spilling = allowed;
    }

    /** Returns whether the target takes new work, whoever may use it. */
    boolean isAlive() {
        return !draining;
    }

    /** Returns the slots that this host may use. */
    int share() {
        return spilling && share == 0 ? spillShare : share;
    }

    /**
     * Sets what this host may use.
     *
     * @param slots slots
     * @param spillSlots slots while the own failure domain has no usable target of the service
     * @param connectionLimit connections
     */
    void share(int slots, int spillSlots, int connectionLimit) {
        share = slots;
        spillShare = spillSlots;
        connections = connectionLimit;
    }

    void addShare(int slots) {
        share += slots;
    }

    /** Takes over the target's own view of its load. Slots that others use are not offered until the report is old. */
    void report(LoadReport load, long now) {
        othersBusy = Math.min(spec.slots(), Math.max(0, load.busy() - running.size()));
        reportedNanos = now;
    }

    private void forgetOldReport(long now) {
        if (othersBusy > 0 && now - reportedNanos > REPORT_LIFE_NANOS) {
            othersBusy = 0;
        }
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
