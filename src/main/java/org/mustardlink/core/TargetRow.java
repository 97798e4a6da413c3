package org.mustardlink.core;

import java.util.ArrayList;
import java.util.List;

/** State of one target as known to this entry host. */
final class TargetRow implements TargetView {
    /** Weight of the declared speed, in samples. */
    private static final double PRIOR_SAMPLES = 2;

    /** Smallest weight of a new sample, so that the estimate follows a change of speed within 20 tasks. */
    private static final double MIN_GAIN = 0.05;

    /** Age at which a load report is discarded, in nanoseconds; about the run time of one task. */
    private static final long MAX_REPORT_AGE_NANOS = 100_000_000;

    private final List<AttemptTable.AttemptRow> running = new ArrayList<>();
    /** Pause after the first refused start; doubles with each consecutive refusal, up to 1.28 s. */
    private static final long REFUSAL_PAUSE_NANOS = 20_000_000;

    private static final int MAX_REFUSAL_DOUBLINGS = 6;

    /** Tasks that an ejected target must complete, one at a time, before it is used without restriction again. */
    private static final int PROBE_TASKS = 3;

    /** Suspicion level assigned to a stalled target; sufficient for an ejection. */
    private static final double STALL_SUSPICION = 3;

    /** Time after the end of the last ejection at which a success resets the count of ejections. */
    private static final long EJECTION_MEMORY_NANOS = 300_000_000_000L;

    /** Constant part of the run time from which a task counts as stuck, added to the multiple of its estimate. */
    private static final long MIN_STUCK_DELAY_NANOS = 1_000_000_000;

    /** Multiple of the expected run time from which a task counts as stuck; declared times are wrong by up to 4x. */
    private static final int STUCK_FACTOR = 4;

    /** Multiple for the only task at a target; larger because 3% of tasks take ten times the usual run time. */
    private static final int SINGLE_TASK_STUCK_FACTOR = 40;

    /** Age up to which a load report allows the use of slots beyond this host's share, in nanoseconds. */
    private static final long MAX_BORROW_REPORT_AGE_NANOS = 20_000_000;

    /** Slots reported as free that are left to the hosts whose share they belong to. */
    private static final int RESERVED_REPORTED_SLOTS = 1;

    private double suspicion;
    private boolean stalled;
    private int ejections;
    private int probesLeft;
    private int consecutiveRefusals;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private TargetSpec spec;
    private double logSpeed;
    private double speed;
    private int samples;
    private int share;
    private int spilloverShare;
    private boolean spilloverAllowed;
    private boolean borrowingAllowed;
    private int connectionShare;
    private int busyElsewhere;
    private long reportedNanos = Long.MIN_VALUE;
    private boolean draining;
    private long blockedUntilNanos = Long.MIN_VALUE;

    TargetRow(TargetSpec spec) {
        this.spec = spec;
        this.share = spec.slots();
        this.connectionShare = spec.connections();
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
        int unusedSlots = spec.slots() - busyElsewhere - running.size();
        int ownSlots = Math.min(usableShare(), connectionShare) - running.size();
        int borrowedSlots = borrowingAllowed && share > 0
                ? Math.min(unusedSlots - RESERVED_REPORTED_SLOTS, connectionShare - running.size())
                : 0;
        return Math.max(0, Math.min(unusedSlots, Math.max(ownSlots, borrowedSlots)));
    }

    @Override
    public double speed() {
        return speed;
    }

    @Override
    public long nextReleaseNanos(long now) {
        long next = Long.MAX_VALUE;
        for (AttemptTable.AttemptRow attempt : running) {
            next = Math.min(next, attempt.expectedEndNanos(now));
        }
        return running.isEmpty() ? now : next;
    }

    boolean acceptsTask(long now) {
        discardStaleReport(now);
        return isUsable(now) && freeSlots() > 0 && (probesLeft == 0 || running.isEmpty());
    }

    /** Returns whether the target may take a task now or as soon as a running task ends. */
    boolean isUsable(long now) {
        return takesNewTasks() && !isEjected(now) && usableShare() > 0 && blockedUntilNanos <= now;
    }

    /** Returns whether this host has a share of the target, either in its own failure domain or by a loan. */
    boolean hasShare() {
        return share > 0;
    }

    /** Allows or forbids the use of slots beyond this host's share; requires a recent load report. */
    void allowBorrowing(boolean allowed, long now) {
        borrowingAllowed =
                allowed && reportedNanos != Long.MIN_VALUE && now - reportedNanos <= MAX_BORROW_REPORT_AGE_NANOS;
    }

    void allowSpillover(boolean allowed) {
        spilloverAllowed = allowed;
    }

    /** Returns whether the target is not draining, regardless of which hosts have a share of it. */
    boolean takesNewTasks() {
        return !draining;
    }

    /** Returns the number of slots that this host may use, free or not. */
    int usableShare() {
        return spilloverAllowed && share == 0 ? spilloverShare : share;
    }

    /**
     * Sets this host's share of the target.
     *
     * @param slots slots that this host may use
     * @param spilloverSlots slots to use instead of no share, while the failure domain of this host has no target
     * @param connectionLimit connections that this host may open to the target
     */
    void setShare(int slots, int spilloverSlots, int connectionLimit) {
        share = slots;
        spilloverShare = spilloverSlots;
        connectionShare = connectionLimit;
    }

    void addShare(int slots) {
        share += slots;
    }

    /** Applies a load report of the target. Slots that other hosts occupy count as busy until the report is stale. */
    void applyLoadReport(LoadReport load, long now) {
        busyElsewhere = Math.min(spec.slots(), Math.max(0, load.busy() - running.size()));
        reportedNanos = now;
    }

    private void discardStaleReport(long now) {
        if (busyElsewhere > 0 && now - reportedNanos > MAX_REPORT_AGE_NANOS) {
            busyElsewhere = 0;
        }
    }

    void setSpec(TargetSpec declared) {
        spec = declared;
    }

    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Counts a failure attributed to the target. */
    void recordFailure() {
        suspicion++;
    }

    /** Reverts a failure that is now attributed to the job. */
    void withdrawFailure() {
        suspicion = Math.max(0, suspicion - 1);
    }

    /** Marks the target as stalled, which suffices for an ejection. The next completed task ends the ejection. */
    void markStalled() {
        stalled = true;
        suspicion = Math.max(suspicion, STALL_SUSPICION);
    }

    void recordSuccess(long now) {
        consecutiveRefusals = 0;
        blockedUntilNanos = Long.MIN_VALUE;
        suspicion = Math.max(0, suspicion - 0.5);
        if (stalled) {
            // Long tasks on every slot look like a stall. The completed task shows that the target works.
            stalled = false;
            suspicion = 0;
            probesLeft = 0;
            ejectedUntilNanos = Long.MIN_VALUE;
            ejections = Math.max(0, ejections - 1);
        }
        if (probesLeft > 0 && !isEjected(now)) {
            probesLeft--;
            suspicion = 0;
        }
        if (ejections > 0 && probesLeft == 0 && now - ejectedUntilNanos > EJECTION_MEMORY_NANOS) {
            ejections = 0;
        }
    }

    /** Blocks the target for a pause that grows with the number of consecutive refusals. */
    void recordRefusal(long now) {
        blockedUntilNanos = now + (REFUSAL_PAUSE_NANOS << Math.min(consecutiveRefusals, MAX_REFUSAL_DOUBLINGS));
        consecutiveRefusals++;
    }

    /** Blocks the target until the given time, unless it is already blocked for longer. */
    void blockUntil(long untilNanos) {
        blockedUntilNanos = Math.max(blockedUntilNanos, untilNanos);
    }

    /** Returns whether the target refused so many starts in a row that its load reports cannot be correct. */
    boolean refusesRepeatedly() {
        return consecutiveRefusals > MAX_REFUSAL_DOUBLINGS;
    }

    void eject(long untilNanos) {
        ejectedUntilNanos = untilNanos;
        probesLeft = PROBE_TASKS;
        ejections++;
        suspicion = 0;
    }

    boolean isEjected(long now) {
        return ejectedUntilNanos > now;
    }

    CoreSnapshot.Target snapshot(long now) {
        return new CoreSnapshot.Target(
                spec.id(), running.size(), usableShare(), speed, draining, isEjected(now), probesLeft > 0);
    }

    TargetHealth health(double ejectedShare) {
        return new TargetHealth(suspicion, probesLeft > 0, ejections, ejectedShare);
    }

    /**
     * Returns whether this host's whole share is occupied by tasks that are long overdue.
     *
     * <p>Slots that other hosts occupy are ignored, because the progress of their tasks is unknown here. A single
     * overdue task gets more time, because it is more likely one of the few tasks that take several seconds.
     */
    boolean isStalled(long now) {
        if (running.isEmpty() || running.size() < Math.min(usableShare(), connectionShare)) {
            return false;
        }
        int factor = running.size() == 1 ? SINGLE_TASK_STUCK_FACTOR : STUCK_FACTOR;
        for (AttemptTable.AttemptRow attempt : running) {
            long age = now - attempt.startedNanos();
            if (age < factor * attempt.expectedNanos() + MIN_STUCK_DELAY_NANOS) {
                return false;
            }
        }
        return true;
    }

    /**
     * Updates the learned speed from a completed task.
     *
     * @param logSampleSpeed logarithm of the speed observed on the task
     * @param trust weight of the sample, 0 to 1; low while the expected work of the task is uncertain
     */
    void learnSpeed(double logSampleSpeed, double trust) {
        samples++;
        logSpeed += trust * Math.max(1 / (samples + PRIOR_SAMPLES), MIN_GAIN) * (logSampleSpeed - logSpeed);
        speed = Math.exp(logSpeed);
    }

    void attemptStarted(AttemptTable.AttemptRow attempt) {
        running.add(attempt);
    }

    void attemptEnded(AttemptTable.AttemptRow attempt) {
        running.remove(attempt);
    }
}
