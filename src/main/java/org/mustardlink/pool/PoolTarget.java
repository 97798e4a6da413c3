package org.mustardlink.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Row of a target: its lease, its clock, the runs that may be present on it, and its health. */
final class PoolTarget {
    /** A target's clock may run this much slower than ours, by the platform's guarantee of 2%. */
    private static final double CLOCK_DRIFT = 1.0205;
    /** Added to the end of a lease for the rounding of clocks to milliseconds and the time of an answer's way. */
    private static final long LEASE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** First pause after a sign of bad health; twice as long after each further one. */
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Longest pause between trials of a target in bad health, so that it is back soon after its recovery. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);
    /** Weight of one sample of the slowness; five tasks change it by half. */
    private static final double SLOWNESS_WEIGHT = 0.15;
    /** Failed runs in a row, of different jobs, after which the target rather than the jobs is to blame. */
    private static final int FAILURES_IN_A_ROW = 2;

    private final long leaseMs;
    private final Map<RunId, Run> runs = new LinkedHashMap<>();
    private final Map<Long, Long> openHolds = new HashMap<>();
    private TargetEntry entry;
    private boolean listed = true;
    private FencingToken fence;
    private boolean taken;
    private boolean fencedOut;
    private boolean exhausted;
    private long clockMs;
    private long clockAtNanos;
    private long maxDeadlineMs;
    private long previousLeaseEndNanos;
    private Capacity used = Capacity.NONE;
    private long acknowledged;
    private int misses;
    private long missedNanos;
    private long heardNanos;
    private long pausedUntilNanos;
    private int pauses;
    private boolean onTrial;
    private double slowness;
    private String lastFailedJob = "";
    private int failuresInARow;

    PoolTarget(TargetEntry entry, FencingToken fence, long leaseMs, double slowness, long now) {
        this.entry = entry;
        this.fence = fence;
        this.leaseMs = leaseMs;
        this.slowness = slowness;
        this.heardNanos = now;
        this.pausedUntilNanos = now;
        this.clockAtNanos = now;
        this.previousLeaseEndNanos = now + driftNanos(leaseMs);
    }

    private static long driftNanos(long millis) {
        return (long) (TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis)) * CLOCK_DRIFT) + LEASE_MARGIN_NANOS;
    }

    TargetEntry entry() {
        return entry;
    }

    void update(TargetEntry changed) {
        entry = changed;
        listed = true;
    }

    boolean listed() {
        return listed;
    }

    void unlist() {
        listed = false;
    }

    String kind() {
        return entry.kind();
    }

    FencingToken fence() {
        return fence;
    }

    /** Returns whether the target knows a higher token than ours; its lease is then not ours to judge. */
    boolean fencedOut() {
        return fencedOut;
    }

    void fenceOut(long now) {
        fencedOut = true;
        taken = false;
        miss(now);
    }

    /** Returns whether the target has confirmed our token, so that no earlier master can start anything there. */
    boolean taken() {
        return taken;
    }

    Collection<Run> runs() {
        return runs.values();
    }

    Optional<Run> run(RunId id) {
        return Optional.ofNullable(runs.get(id));
    }

    void add(Run run) {
        runs.put(run.id(), run);
        used = used.plus(run.need());
    }

    void remove(Run run) {
        if (runs.remove(run.id()) != null) {
            used = runs.values().stream().map(Run::need).reduce(Capacity.NONE, Capacity::plus);
        }
    }

    Capacity free() {
        return entry.capacity().minus(used);
    }

    long acknowledged() {
        return acknowledged;
    }

    void acknowledge(long number) {
        acknowledged = Math.max(acknowledged, number);
    }

    boolean clockKnown() {
        return clockMs > 0;
    }

    long clockMs() {
        return clockMs;
    }

    /** Takes the clock from an answer. */
    void hear(long answeredClockMs, long now) {
        heardNanos = now;
        misses = 0;
        if (answeredClockMs > clockMs) {
            clockMs = answeredClockMs;
            clockAtNanos = now;
        }
    }

    /**
     * Returns the end of a new lease on the target's clock. The estimate of that clock is never ahead: after a freeze of
     * this host it lies behind by the length of the freeze, and the target rejects orders that were decided before it.
     */
    long newDeadlineMs(long now) {
        long deadline = clockMs + TimeUnit.NANOSECONDS.toMillis(now - clockAtNanos) + leaseMs;
        maxDeadlineMs = Math.max(maxDeadlineMs, deadline);
        return deadline;
    }

    /** Returns when every lease on the target has certainly expired, unless it is extended again. */
    long leaseEndNanos() {
        if (!clockKnown()) {
            return previousLeaseEndNanos;
        }
        return Math.max(previousLeaseEndNanos, clockAtNanos + driftNanos(maxDeadlineMs - clockMs));
    }

    void confirmFence() {
        taken = true;
        fencedOut = false;
    }

    /** Keeps new tasks away until the target reports under our token again. */
    void doubtFence() {
        taken = false;
    }

    /** Forgets a life of the target that is over; orders of before must not be carried out by the new one. */
    void restart() {
        acknowledged = 0;
        clockMs = 0;
        maxDeadlineMs = 0;
        raiseFence();
        fencedOut = false;
    }

    /**
     * Takes a higher token for the target, which then refuses every earlier order once it has seen it, and keeps new tasks
     * away until it has. Reports that were asked for under the earlier token count no more.
     */
    void raiseFence() {
        exhausted = fence.isLast();
        fence = fence.next();
        taken = false;
        openHolds.clear();
    }

    /** Returns whether the claim has no higher token left for the target, so that only a new claim can take it over. */
    boolean exhausted() {
        return exhausted;
    }

    int misses() {
        return misses;
    }

    long heardNanos() {
        return heardNanos;
    }

    void opened(long holdNumber, long now) {
        openHolds.put(holdNumber, now);
    }

    OptionalLong closed(long holdNumber) {
        Long sent = openHolds.remove(holdNumber);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }

    int openHolds() {
        return openHolds.size();
    }

    void miss(long now) {
        misses++;
        missedNanos = now;
    }

    /** Returns when a report was missed last. */
    long missedNanos() {
        return missedNanos;
    }

    double slowness() {
        return slowness;
    }

    /** Keeps new tasks away for a while; the first task after that is a trial. */
    void pause(long now) {
        pausedUntilNanos = now + Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(pauses, 3));
        pauses++;
        onTrial = true;
    }

    boolean paused(long now) {
        return now < pausedUntilNanos;
    }

    boolean onTrial() {
        return onTrial;
    }

    /** Notes a run that ended as done. */
    void succeeded(double ratio, double kindSlowness) {
        failuresInARow = 0;
        if (onTrial) {
            onTrial = false;
            pauses = 0;
            slowness = kindSlowness;
        }
        slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    }

    /** Notes a run that ended as failed; returns whether the target rather than the job is to blame. */
    boolean failed(String job) {
        if (!job.equals(lastFailedJob) || onTrial) {
            failuresInARow++;
        }
        lastFailedJob = job;
        return failuresInARow >= FAILURES_IN_A_ROW || onTrial;
    }
}
