package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Takes over each target with this master's fencing token, extends its lease, and learns from its reports which runs
 * are present and which have ended.
 */
final class LeaseSystem {
    /**
     * How long a target may wait for the end of a run before it reports. Two reports can be lost before a lease of
     * 1 s expires.
     */
    static final int REPORT_WAIT_MS = 350;
    /** Shortest wait for a report of a target whose lease can't be extended as long as one of its runs is there. */
    private static final int MIN_REPORT_WAIT_MS = 50;

    /** Pause before a lost report is requested again; a dead target costs at most ten calls per second. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Consecutive missed reports from which the lease of a target is no longer extended, so that its runs end within
     * the time of a lease if the target is gone.
     */
    private static final int MISSES_TO_STOP_EXTENDING = 2;

    private final PoolTables tables;
    private final PoolActions actions;
    private final RunSystem runs;
    private final LeaseGrants grants;
    private long lastSequenceNumber;
    /** When a report last showed a restart of a target, as long as the new entry of any target may not be known. */
    private OptionalLong awaitsEntriesSinceNanos = OptionalLong.empty();

    LeaseSystem(PoolTables tables, PoolActions actions, RunSystem runs, LeaseGrants grants) {
        this.tables = tables;
        this.actions = actions;
        this.runs = runs;
        this.grants = grants;
    }

    /**
     * Handles expired leases, removes targets that are no longer needed, and requests a report where none is pending.
     */
    void tick(long now) {
        for (PoolTarget target : new ArrayList<>(tables.targets())) {
            boolean silent = target.consecutiveMisses() > 0 && !target.fencedOut();
            if (silent && now >= target.leaseEndNanos()) {
                handleLeaseExpiry(target, now);
            }
            if (!target.listed() && target.runs().isEmpty()) {
                tables.remove(target);
                continue;
            }
            boolean waitsForRetry =
                    target.consecutiveMisses() > 0 && now - target.lastMissNanos() < RETRY_INTERVAL_NANOS;
            if (waitsForRetry) {
                continue;
            }
            if (target.tokensExhausted()) {
                // Reported at every retry, because a renewed claim may lose against a competing claim that in the end
                // isn't written.
                target.recordMiss(now);
                actions.reportFenced(target.entry());
            } else if (target.pendingReportCount() == 0) {
                extendLease(
                        target, target.tokenConfirmed() && target.consecutiveMisses() == 0 ? REPORT_WAIT_MS : 0, now);
            }
        }
    }

    /** Ends the runs of a silent target whose leases have expired, and raises its token. */
    private void handleLeaseExpiry(PoolTarget target, long now) {
        if (!target.listed()) {
            runs.expireAllRuns(target);
            // The target may be listed again; it then refuses start orders that are still in transit.
            target.raiseToken();
        } else if (target.runs().stream().anyMatch(run -> run.startConfirmed() || !run.orderedBefore(target.token()))) {
            runs.expireStartedRuns(target, now);
            target.raiseToken();
        }
    }

    /** Requests an immediate report from a target. */
    void requestReport(PoolTarget target, long now) {
        if (!target.tokensExhausted()) {
            extendLease(target, 0, now);
        }
    }

    /**
     * Sends a lease extension, which also requests a report. Without a known clock of the target, after several missed
     * reports, or with a run for which no caller is known to wait, only the report is requested.
     *
     * @param maxWaitMs longest time for which the target waits for the end of a run; it waits less if it has a short
     *     lease, which has to be extended earlier
     */
    private void extendLease(PoolTarget target, int maxWaitMs, long now) {
        long sequenceNumber = ++lastSequenceNumber;
        target.addPendingReport(sequenceNumber, now);
        long leaseMs = grants.longestMillis(target, now);
        boolean extend = leaseMs > 0 && target.clockKnown() && target.consecutiveMisses() < MISSES_TO_STOP_EXTENDING;
        OptionalLong leaseDeadlineMs =
                extend ? OptionalLong.of(target.newLeaseDeadlineMs(leaseMs, now)) : OptionalLong.empty();
        int waitMs = Math.min(maxWaitMs, (int) Math.max(MIN_REPORT_WAIT_MS, leaseMs / 2));
        actions.extendLease(
                target.entry(),
                new LeaseExtension(
                        sequenceNumber, target.token().value(), leaseDeadlineMs, target.acknowledgedUpTo(), waitMs));
    }

    /**
     * Handles the report of a target; ignores it unless it is pending and comes from the known process of the target.
     */
    void handleReport(String targetId, long sequenceNumber, LeaseReport report, long now) {
        PoolTarget target = tables.target(targetId).orElse(null);
        if (target == null) {
            return;
        }
        OptionalLong sentNanos = target.removePendingReport(sequenceNumber);
        if (sentNanos.isEmpty()) {
            return;
        }
        if (report.startTimeMs() != 0 && target.startTimeMs() != 0 && report.startTimeMs() != target.startTimeMs()) {
            handleRestart(target, report.startTimeMs(), now);
            awaitsEntriesSinceNanos = OptionalLong.of(now);
            return;
        }
        boolean newest = report.clockMs() >= target.clockMs();
        target.recordReport(report.clockMs(), now);
        if (!target.tokenConfirmed()) {
            target.confirmToken();
            tables.markChanged();
            actions.logTargetChange(target.entry(), "taken", "first report under this master's fencing token");
        }
        runs.handleReport(target, report, sentNanos.getAsLong(), newest, now);
        if (target.pendingReportCount() == 0) {
            // Requested at once rather than in the next scan: the next end of a run frees capacity for waiting tasks.
            extendLease(target, REPORT_WAIT_MS, now);
        }
    }

    /**
     * Discards the state of a target's previous process. The next report shows which runs are present; the target gets
     * no tasks before the entry of the new process has been read as well.
     */
    void handleRestart(PoolTarget target, long startTimeMs, long now) {
        runs.markAllUncertain(target, now);
        target.resetAfterRestart(startTimeMs, tables.kindSlowness().mean(), now);
        actions.logTargetChange(target.entry(), "restarted", "a new process of the target has the same id");
    }

    /**
     * Returns when a report last showed a restart of a target; empty if the entry of the current process of every listed
     * target is known.
     */
    OptionalLong awaitsEntriesSince() {
        if (awaitsEntriesSinceNanos.isPresent()
                && tables.targets().stream().allMatch(target -> !target.listed() || target.entryIsCurrent())) {
            awaitsEntriesSinceNanos = OptionalLong.empty();
        }
        return awaitsEntriesSinceNanos;
    }

    /** Handles a lease extension that brought no report. */
    void handleReportFailure(String targetId, long sequenceNumber, OrderVerdict verdict, long now) {
        PoolTarget target = tables.target(targetId).orElse(null);
        if (target == null || target.removePendingReport(sequenceNumber).isEmpty()) {
            return;
        }
        if (verdict == OrderVerdict.FENCED) {
            target.markFencedOut(now);
            actions.reportFenced(target.entry());
            return;
        }
        target.recordMiss(now);
        if (target.consecutiveMisses() == 1) {
            actions.logTargetChange(target.entry(), "silent", "no report: " + verdict);
        }
    }
}
