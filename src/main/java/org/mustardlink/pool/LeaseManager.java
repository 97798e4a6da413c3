package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Takes each target over with our fencing token, extends its lease, and learns from its reports what runs and what has
 * ended there.
 */
final class LeaseManager {
    /** A target waits this long for an end before it reports; leaves room for two lost reports within a lease of 1 s. */
    static final int REPORT_WAIT_MS = 350;

    /** Pause before a lost report is asked for again, so that a dead target costs ten calls a second. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * A target that has missed this many reports in a row gets no longer lease, so that what runs there is over within a
     * lease if the target is gone.
     */
    private static final int MAX_MISSES_FOR_EXTENSION = 2;

    private final PoolTables tables;
    private final PoolActions actions;
    private final RunTracker runs;
    private long lastSequenceNumber;

    LeaseManager(PoolTables tables, PoolActions actions, RunTracker runs) {
        this.tables = tables;
        this.actions = actions;
        this.runs = runs;
    }

    /** Sends a report request to each target that has none open. */
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
                // Asked again, because a renewed claim may lose against another one that isn't written in the end.
                target.recordMiss(now);
                actions.reportFenced(target.entry());
            } else if (target.pendingReports() == 0) {
                extendLease(
                        target, target.tokenConfirmed() && target.consecutiveMisses() == 0 ? REPORT_WAIT_MS : 0, now);
            }
        }
    }

    private void handleLeaseExpiry(PoolTarget target, long now) {
        if (!target.listed()) {
            runs.expireAllRuns(target);
            // It may be listed again, and then refuses a start that is still on its way.
            target.raiseToken();
        } else if (target.runs().stream().anyMatch(run -> run.startConfirmed() || !run.orderedBefore(target.token()))) {
            runs.expireStartedRuns(target, now);
            target.raiseToken();
        }
    }

    /** Asks a target for an immediate report. */
    void requestReport(PoolTarget target, long now) {
        if (!target.tokensExhausted()) {
            extendLease(target, 0, now);
        }
    }

    private void extendLease(PoolTarget target, int waitMs, long now) {
        long sequenceNumber = ++lastSequenceNumber;
        target.addPendingReport(sequenceNumber, now);
        boolean extend = target.clockKnown() && target.consecutiveMisses() < MAX_MISSES_FOR_EXTENSION;
        OptionalLong leaseDeadlineMs = extend ? OptionalLong.of(target.newLeaseDeadlineMs(now)) : OptionalLong.empty();
        actions.extendLease(
                target.entry(),
                new LeaseExtension(
                        sequenceNumber, target.token().value(), leaseDeadlineMs, target.acknowledgedUpTo(), waitMs));
    }

    /** Takes a report. */
    void handleReport(String targetId, long sequenceNumber, LeaseReport report, long now) {
        PoolTarget target = tables.target(targetId).orElse(null);
        if (target == null) {
            return;
        }
        OptionalLong sentNanos = target.removePendingReport(sequenceNumber);
        if (sentNanos.isEmpty()) {
            return;
        }
        if (report.startTimeMs() != 0
                && target.entry().startTimeMs() != 0
                && report.startTimeMs() != target.entry().startTimeMs()) {
            handleRestart(target, report.startTimeMs(), now);
            return;
        }
        boolean newest = report.clockMs() >= target.clockMs();
        target.recordResponse(report.clockMs(), now);
        if (!target.tokenConfirmed()) {
            target.confirmToken();
            actions.logTargetChange(target.entry(), "taken", "first report under our token");
        }
        runs.handleReport(target, report, sentNanos.getAsLong(), newest, now);
        if (target.pendingReports() == 0) {
            // The next end frees room that tasks wait for, so it must not wait for a look at all targets.
            extendLease(target, REPORT_WAIT_MS, now);
        }
    }

    /** Forgets an earlier life of a target; which of its runs are there is told by the next report. */
    void handleRestart(PoolTarget target, long startTimeMs, long now) {
        TargetEntry oldEntry = target.entry();
        target.updateEntry(new TargetEntry(
                oldEntry.id(),
                startTimeMs,
                oldEntry.address(),
                oldEntry.pool(),
                oldEntry.draining(),
                oldEntry.capacity(),
                oldEntry.labels()));
        runs.markAllUncertain(target, now);
        target.resetAfterRestart();
        actions.logTargetChange(target.entry(), "restarted", "another life under the same id");
    }

    /** Takes the lack of a report. */
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
