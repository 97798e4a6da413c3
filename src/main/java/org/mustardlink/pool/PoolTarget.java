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
    private static final long INITIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Longest pause between trials of a target in bad health, so that it is back soon after its recovery. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);
    /** Weight of one sample of the slowness; five tasks change it by half. */
    private static final double SLOWNESS_WEIGHT = 0.15;
    /** Failed runs in a row, of different jobs, after which the target rather than the jobs is to blame. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final long leaseMs;
    private final Map<RunId, Run> runs = new LinkedHashMap<>();
    private final Map<Long, Long> pendingReports = new HashMap<>();
    private TargetEntry entry;
    private boolean listed = true;
    private FencingToken token;
    private boolean tokenConfirmed;
    private boolean fencedOut;
    private boolean tokensExhausted;
    private long clockMs;
    private long clockReadNanos;
    private long latestLeaseDeadlineMs;
    private long earlierLeaseEndNanos;
    private Capacity usedCapacity = Capacity.NONE;
    private long acknowledgedUpTo;
    private int consecutiveMisses;
    private long lastMissNanos;
    private long lastResponseNanos;
    private long pausedUntilNanos;
    private int pauseCount;
    private boolean onTrial;
    private double slowness;
    private String lastFailedJob = "";
    private int consecutiveFailures;

    PoolTarget(TargetEntry entry, FencingToken token, long leaseMs, double slowness, long now) {
        this.entry = entry;
        this.token = token;
        this.leaseMs = leaseMs;
        this.slowness = slowness;
        this.lastResponseNanos = now;
        this.pausedUntilNanos = now;
        this.clockReadNanos = now;
        this.earlierLeaseEndNanos = now + withClockDriftNanos(leaseMs);
    }

    private static long withClockDriftNanos(long millis) {
        return (long) (TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis)) * CLOCK_DRIFT) + LEASE_MARGIN_NANOS;
    }

    TargetEntry entry() {
        return entry;
    }

    void updateEntry(TargetEntry changed) {
        entry = changed;
        listed = true;
    }

    boolean listed() {
        return listed;
    }

    void markUnlisted() {
        listed = false;
    }

    String kind() {
        return entry.kind();
    }

    FencingToken token() {
        return token;
    }

    /** Returns whether the target knows a higher token than ours; its lease is then not ours to judge. */
    boolean fencedOut() {
        return fencedOut;
    }

    void markFencedOut(long now) {
        fencedOut = true;
        tokenConfirmed = false;
        recordMiss(now);
    }

    /** Returns whether the target has confirmed our token, so that no earlier master can start anything there. */
    boolean tokenConfirmed() {
        return tokenConfirmed;
    }

    Collection<Run> runs() {
        return runs.values();
    }

    Optional<Run> run(RunId id) {
        return Optional.ofNullable(runs.get(id));
    }

    void add(Run run) {
        runs.put(run.id(), run);
        usedCapacity = usedCapacity.plus(run.need());
    }

    void remove(Run run) {
        if (runs.remove(run.id()) != null) {
            usedCapacity = runs.values().stream().map(Run::need).reduce(Capacity.NONE, Capacity::plus);
        }
    }

    Capacity freeCapacity() {
        return entry.capacity().minus(usedCapacity);
    }

    long acknowledgedUpTo() {
        return acknowledgedUpTo;
    }

    void acknowledge(long sequenceNumber) {
        acknowledgedUpTo = Math.max(acknowledgedUpTo, sequenceNumber);
    }

    boolean clockKnown() {
        return clockMs > 0;
    }

    long clockMs() {
        return clockMs;
    }

    /** Takes the clock from an answer. */
    void recordResponse(long answeredClockMs, long now) {
        lastResponseNanos = now;
        consecutiveMisses = 0;
        if (answeredClockMs > clockMs) {
            clockMs = answeredClockMs;
            clockReadNanos = now;
        }
    }

    /**
     * Returns the end of a new lease on the target's clock. The estimate of that clock is never ahead: after a freeze of
     * this host it lies behind by the length of the freeze, and the target rejects orders that were decided before it.
     */
    long newLeaseDeadlineMs(long now) {
        long deadlineMs = clockMs + TimeUnit.NANOSECONDS.toMillis(now - clockReadNanos) + leaseMs;
        latestLeaseDeadlineMs = Math.max(latestLeaseDeadlineMs, deadlineMs);
        return deadlineMs;
    }

    /** Returns when every lease on the target has certainly expired, unless it is extended again. */
    long leaseEndNanos() {
        if (!clockKnown()) {
            return earlierLeaseEndNanos;
        }
        return Math.max(earlierLeaseEndNanos, clockReadNanos + withClockDriftNanos(latestLeaseDeadlineMs - clockMs));
    }

    void confirmToken() {
        tokenConfirmed = true;
        fencedOut = false;
    }

    /** Keeps new tasks away until the target reports under our token again. */
    void markTokenUnconfirmed() {
        tokenConfirmed = false;
    }

    /** Forgets a life of the target that is over; orders of before must not be carried out by the new one. */
    void resetAfterRestart() {
        acknowledgedUpTo = 0;
        clockMs = 0;
        latestLeaseDeadlineMs = 0;
        raiseToken();
        fencedOut = false;
    }

    /**
     * Takes a higher token for the target, which then refuses every earlier order once it has seen it, and keeps new tasks
     * away until it has. Reports that were asked for under the earlier token count no more.
     */
    void raiseToken() {
        tokensExhausted = token.isLast();
        token = token.next();
        tokenConfirmed = false;
        pendingReports.clear();
    }

    /** Returns whether the claim has no higher token left for the target, so that only a new claim can take it over. */
    boolean tokensExhausted() {
        return tokensExhausted;
    }

    int consecutiveMisses() {
        return consecutiveMisses;
    }

    long lastResponseNanos() {
        return lastResponseNanos;
    }

    void addPendingReport(long sequenceNumber, long now) {
        pendingReports.put(sequenceNumber, now);
    }

    OptionalLong removePendingReport(long sequenceNumber) {
        Long sentNanos = pendingReports.remove(sequenceNumber);
        return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
    }

    int pendingReports() {
        return pendingReports.size();
    }

    void recordMiss(long now) {
        consecutiveMisses++;
        lastMissNanos = now;
    }

    /** Returns when a report was missed last. */
    long lastMissNanos() {
        return lastMissNanos;
    }

    double slowness() {
        return slowness;
    }

    /** Keeps new tasks away for a while; the first task after that is a trial. */
    void pause(long now) {
        pausedUntilNanos = now + Math.min(MAX_PAUSE_NANOS, INITIAL_PAUSE_NANOS << Math.min(pauseCount, 3));
        pauseCount++;
        onTrial = true;
    }

    boolean paused(long now) {
        return now < pausedUntilNanos;
    }

    boolean onTrial() {
        return onTrial;
    }

    /** Notes a run that ended as done. */
    void recordSuccess(double ratio, double kindSlowness) {
        consecutiveFailures = 0;
        if (onTrial) {
            onTrial = false;
            pauseCount = 0;
            slowness = kindSlowness;
        }
        slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    }

    /** Notes a run that ended as failed; returns whether the target rather than the job is to blame. */
    boolean recordFailure(String job) {
        if (!job.equals(lastFailedJob) || onTrial) {
            consecutiveFailures++;
        }
        lastFailedJob = job;
        return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || onTrial;
    }
}
