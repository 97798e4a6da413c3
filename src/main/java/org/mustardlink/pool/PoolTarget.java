package org.mustardlink.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** State of a target: its lease, its clock, its health, and the runs that may be present on it. */
final class PoolTarget {
    /** Added to the end of a lease for the rounding of clocks to milliseconds and the network delay of a response. */
    private static final long LEASE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** First pause of an unhealthy target; each further pause is twice as long. */
    private static final long INITIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Longest pause between trial runs of an unhealthy target, so that it gets tasks again soon after it recovers. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);
    /** Weight of a sample in the moving average of the slowness; about five tasks make up half of the average. */
    private static final double SLOWNESS_WEIGHT = 0.15;
    /** Consecutive failed runs of different jobs from which the target, rather than the jobs, counts as faulty. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final Map<RunId, Run> runs = new LinkedHashMap<>();
    private final Map<Long, Long> pendingReportSentNanos = new HashMap<>();
    private final long maxLeaseMs;
    private TargetEntry entry;
    private long startTimeMs;
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
    private int runsOfUnknownNeed;
    private long acknowledgedUpTo;
    private int consecutiveMisses;
    private long lastMissNanos;
    private long lastReportNanos;
    private long pausedUntilNanos;
    private int pauseCount;
    private boolean onTrial;
    private double slowness;
    private String lastFailedJob = "";
    private int consecutiveFailures;

    PoolTarget(TargetEntry entry, FencingToken token, long maxLeaseMs, double slowness, long now) {
        this.entry = entry;
        this.startTimeMs = entry.startTimeMs();
        this.token = token;
        this.maxLeaseMs = maxLeaseMs;
        this.slowness = slowness;
        this.lastReportNanos = now;
        this.pausedUntilNanos = now;
        this.clockReadNanos = now;
        this.earlierLeaseEndNanos = now + withClockDriftNanos(maxLeaseMs);
    }

    /** Converts a duration on the clock of a target to the longest time that it may take on the clock of this host. */
    private static long withClockDriftNanos(long millis) {
        return (long) (TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis)) * LeaseLimits.CLOCK_DRIFT)
                + LEASE_MARGIN_NANOS;
    }

    /** Returns the entry that was read last, of the current process or of an earlier one. */
    TargetEntry entry() {
        return entry;
    }

    /**
     * Returns the start of the newest process of the target that an entry or a report has shown, in milliseconds since
     * the epoch; 0 if the platform doesn't state it.
     */
    long startTimeMs() {
        return startTimeMs;
    }

    /**
     * Returns whether the entry was written by the current process. The next process of a target may have other labels,
     * another capacity and another state, so the entry of an earlier one says nothing about it.
     */
    boolean entryIsCurrent() {
        return entry.startTimeMs() == startTimeMs;
    }

    /**
     * Replaces the entry with one of the current process.
     *
     * @param kindSlowness slowness of the kind of target, from which the average starts if the entry is the first one of
     *     its process
     */
    void updateEntry(TargetEntry changed, double kindSlowness) {
        if (changed.startTimeMs() != entry.startTimeMs()) {
            slowness = kindSlowness;
        }
        entry = changed;
        startTimeMs = changed.startTimeMs();
        listed = true;
    }

    boolean listed() {
        return listed;
    }

    void markUnlisted() {
        listed = false;
    }

    /** Returns the kind of the target; empty as long as no entry of its current process is known. */
    String kind() {
        return entryIsCurrent() ? entry.kind() : "";
    }

    FencingToken token() {
        return token;
    }

    /**
     * Returns whether the target has refused this master's token because it has seen a higher one. Its lease then
     * belongs to another master, and this master must not conclude that it has expired.
     */
    boolean fencedOut() {
        return fencedOut;
    }

    void markFencedOut(long now) {
        fencedOut = true;
        tokenConfirmed = false;
        recordMiss(now);
    }

    /**
     * Returns whether the target has confirmed this master's token, so that no earlier master can start a run there.
     */
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
        runsOfUnknownNeed += run.task().isEmpty() ? 1 : 0;
    }

    void remove(Run run) {
        if (runs.remove(run.id()) != null) {
            usedCapacity = runs.values().stream().map(Run::need).reduce(Capacity.NONE, Capacity::plus);
            runsOfUnknownNeed -= run.task().isEmpty() ? 1 : 0;
        }
    }

    /** Returns the capacity that no run uses. A run that belongs to no known task may use all of it. */
    Capacity freeCapacity() {
        return runsOfUnknownNeed > 0 ? Capacity.NONE : entry.capacity().minus(usedCapacity);
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

    /** Records that the current process of the target has sent a report, and the reading of its clock in the report. */
    void recordReport(long reportClockMs, long now) {
        lastReportNanos = now;
        consecutiveMisses = 0;
        recordClock(reportClockMs, now);
    }

    /**
     * Records the reading of the target's clock in the response to an order. Such a response doesn't state which process
     * of the target has sent it, so it doesn't end the silence of a target.
     */
    void recordClock(long responseClockMs, long now) {
        if (responseClockMs > clockMs) {
            clockMs = responseClockMs;
            clockReadNanos = now;
        }
    }

    /**
     * Returns the end of a new lease on the clock of the target, and records it. The estimate of that clock is never
     * ahead of the clock itself. If this host was suspended, the estimate is behind by the length of the suspension,
     * and the target rejects the orders that were decided before it.
     */
    long newLeaseDeadlineMs(long leaseMs, long now) {
        long deadlineMs = clockMs + TimeUnit.NANOSECONDS.toMillis(now - clockReadNanos) + leaseMs;
        latestLeaseDeadlineMs = Math.max(latestLeaseDeadlineMs, deadlineMs);
        return deadlineMs;
    }

    /** Returns the time at which every lease granted to the target so far has certainly expired. */
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

    /** Keeps new tasks off the target until it reports under this master's token again. */
    void markTokenUnconfirmed() {
        tokenConfirmed = false;
    }

    /**
     * Discards what is known about the previous process of the target. The token is raised so that the new process
     * doesn't execute orders that were sent to the previous one; those that it has executed already may have given it a
     * lease.
     *
     * @param newStartTimeMs start of the new process, in milliseconds since the epoch
     * @param meanSlowness mean slowness of all kinds of targets, which holds until the kind of the new process is known
     */
    void resetAfterRestart(long newStartTimeMs, double meanSlowness, long now) {
        startTimeMs = newStartTimeMs;
        acknowledgedUpTo = 0;
        clockMs = 0;
        latestLeaseDeadlineMs = 0;
        earlierLeaseEndNanos = now + withClockDriftNanos(maxLeaseMs);
        slowness = meanSlowness;
        pausedUntilNanos = now;
        pauseCount = 0;
        onTrial = false;
        lastFailedJob = "";
        consecutiveFailures = 0;
        raiseToken();
        fencedOut = false;
    }

    /**
     * Moves to a higher token for the target, which refuses every earlier order once it has seen the new token. Until
     * it has, it gets no new tasks. Reports that were requested under the earlier token are ignored.
     */
    void raiseToken() {
        tokensExhausted = token.isLast();
        token = token.next();
        tokenConfirmed = false;
        pendingReportSentNanos.clear();
    }

    /** Returns whether the claim has no higher token left for the target, so that only a new claim can take over. */
    boolean tokensExhausted() {
        return tokensExhausted;
    }

    int consecutiveMisses() {
        return consecutiveMisses;
    }

    long lastReportNanos() {
        return lastReportNanos;
    }

    /** Records that a report was requested by the lease extension with the given sequence number. */
    void addPendingReport(long sequenceNumber, long now) {
        pendingReportSentNanos.put(sequenceNumber, now);
    }

    /** Removes a requested report; returns when it was requested, empty if it isn't pending. */
    OptionalLong removePendingReport(long sequenceNumber) {
        Long sentNanos = pendingReportSentNanos.remove(sequenceNumber);
        return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
    }

    int pendingReportCount() {
        return pendingReportSentNanos.size();
    }

    void recordMiss(long now) {
        consecutiveMisses++;
        lastMissNanos = now;
    }

    /** Returns when the last report was missed. */
    long lastMissNanos() {
        return lastMissNanos;
    }

    /** Returns the moving average of actual to expected running time on the target; 1 is the reference speed. */
    double slowness() {
        return slowness;
    }

    /** Keeps new tasks off the target for a while; the first run after the pause is a trial. */
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

    /**
     * Records a successful run.
     *
     * @param ratio running time relative to the expected one at the reference speed
     * @param kindSlowness slowness of the kind of target, from which the average starts again after a trial
     */
    void recordSuccess(double ratio, double kindSlowness) {
        consecutiveFailures = 0;
        if (onTrial) {
            onTrial = false;
            pauseCount = 0;
            slowness = kindSlowness;
        }
        slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    }

    /** Records a failed run of a job; returns whether the target, rather than the job, counts as faulty. */
    boolean recordFailure(String job) {
        if (!job.equals(lastFailedJob) || onTrial) {
            consecutiveFailures++;
        }
        lastFailedJob = job;
        return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || onTrial;
    }
}
