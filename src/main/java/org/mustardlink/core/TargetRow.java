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
    private static final long MAX_REPORT_AGE_NANOS = 100_000_000;

    private final List<AttemptTable.AttemptRow> running = new ArrayList<>();
    /** Pause after the first refusal of a start, in nanoseconds; it doubles with each further one up to a second. */
    private static final long REFUSAL_PAUSE_NANOS = 20_000_000;

    private static final int MAX_REFUSAL_DOUBLINGS = 6;

    /** Real tasks that an ejected target must complete, one at a time, before it is used as before. */
    private static final int PROBE_TASKS = 3;

    /** Suspicion of a target that stalls: enough for an ejection. */
    private static final double STALL_SUSPICION = 3;

    /** Time without a failure after which earlier ejections are forgotten, in nanoseconds. */
    private static final long EJECTION_MEMORY_NANOS = 300_000_000_000L;

    /** Least delay past the expected end before a task counts as stuck, in nanoseconds. */
    private static final long MIN_STUCK_DELAY_NANOS = 1_000_000_000;

    /** Factor on the expected run time before a task counts as stuck; declared times are wrong by up to 4x. */
    private static final int STUCK_FACTOR = 4;

    /** The same factor for a task that runs alone; 3% of tasks last ten times the usual time. */
    private static final int SINGLE_TASK_STUCK_FACTOR = 40;

    /** Age up to which a load report opens slots beyond the own part, in nanoseconds. */
    private static final long MAX_BORROW_REPORT_AGE_NANOS = 20_000_000;

    /** Reported free slots that are left to the hosts whose parts they belong to. */
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

    /** Returns whether the target may take a task now or once a running one ends. */
    boolean isUsable(long now) {
        return takesNewTasks() && !isEjected(now) && usableShare() > 0 && blockedUntilNanos <= now;
    }

    /** Returns whether the target belongs to the own failure domain or has lent slots. */
    boolean hasShare() {
        return share > 0;
    }

    /** Allows slots beyond the own part, as long as the last load report is recent. */
    void allowBorrowing(boolean allowed, long now) {
        borrowingAllowed =
                allowed && reportedNanos != Long.MIN_VALUE && now - reportedNanos <= MAX_BORROW_REPORT_AGE_NANOS;
    }

    void allowSpillover(boolean allowed) {
        spilloverAllowed = allowed;
    }

    /** Returns whether the target takes new work, whoever may use it. */
    boolean takesNewTasks() {
        return !draining;
    }

    /** Returns the slots that this host may use. */
    int usableShare() {
        return spilloverAllowed && share == 0 ? spilloverShare : share;
    }

    /**
     * Sets what this host may use.
     *
     * @param slots slots
     * @param spilloverSlots slots while the own failure domain has no usable target of the service
     * @param connectionLimit connections
     */
    void setShare(int slots, int spilloverSlots, int connectionLimit) {
        share = slots;
        spilloverShare = spilloverSlots;
        connectionShare = connectionLimit;
    }

    void addShare(int slots) {
        share += slots;
    }

    /** Takes over the target's own view of its load. Slots that others use are not offered until the report is old. */
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

    /** Counts a failure that is the target's fault. */
    void recordFailure() {
        suspicion++;
    }

    /** Takes back a failure that turned out to be the job's fault. */
    void withdrawFailure() {
        suspicion = Math.max(0, suspicion - 1);
    }

    /** Marks the target as stalled: enough for an ejection, which ends with its next answer. */
    void markStalled() {
        stalled = true;
        suspicion = Math.max(suspicion, STALL_SUSPICION);
    }

    void recordSuccess(long now) {
        consecutiveRefusals = 0;
        blockedUntilNanos = Long.MIN_VALUE;
        suspicion = Math.max(0, suspicion - 0.5);
        if (stalled) {
            // Long tasks on every slot look like a stall; the answer shows that the target works.
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

    /** Pauses after a start that the target refused. */
    void recordRefusal(long now) {
        blockedUntilNanos = now + (REFUSAL_PAUSE_NANOS << Math.min(consecutiveRefusals, MAX_REFUSAL_DOUBLINGS));
        consecutiveRefusals++;
    }

    /** Takes no new work until a time, unless it is blocked for longer already. */
    void blockUntil(long untilNanos) {
        blockedUntilNanos = Math.max(blockedUntilNanos, untilNanos);
    }

    /** Returns whether the target refused so many starts in a row that its load reports cannot be true. */
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
     * Returns whether this host's whole part is taken by tasks that should have ended long ago.
     *
     * <p>Slots that other hosts fill say nothing about this host's tasks, and a single overdue task is more likely one
     * of the few that last several seconds than a stall, so it gets more time.
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
     * Learns from one completed task.
     *
     * @param logSampleSpeed logarithm of the speed that the task shows
     * @param trust weight of the sample, 0 to 1; low while the task's own size is uncertain
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
