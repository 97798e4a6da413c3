package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Takes each target over with our fencing token, extends its lease, and learns from its reports what runs and what has
 * ended there.
 */
final class LeaseSystem {
    /** A target waits this long for an end before it reports; leaves room for two lost reports within a lease of 1 s. */
    static final int WAIT_MS = 350;

    /** Pause before a lost report is asked for again, so that a dead target costs ten calls a second. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * A target that has missed this many reports in a row gets no longer lease, so that what runs there is over within a
     * lease if the target is gone.
     */
    private static final int EXTENDED_MISSES = 2;

    private final PoolTables tables;
    private final PoolActions actions;
    private final RunSystem runs;
    private long holdNumber;

    LeaseSystem(PoolTables tables, PoolActions actions, RunSystem runs) {
        this.tables = tables;
        this.actions = actions;
        this.runs = runs;
    }

    /** Sends a report request to each target that has none open. */
    void tick(long now) {
        for (PoolTarget target : new ArrayList<>(tables.targets())) {
            boolean silent = target.misses() > 0 && !target.fencedOut();
            if (silent && now >= target.leaseEndNanos()) {
                expire(target, now);
            }
            if (!target.listed() && target.runs().isEmpty()) {
                tables.drop(target);
                continue;
            }
            boolean wait = target.misses() > 0 && now - target.missedNanos() < RETRY_NANOS;
            if (wait) {
                continue;
            }
            if (target.exhausted()) {
                // Asked again, because a renewed claim may lose against another one that isn't written in the end.
                target.miss(now);
                actions.fenced(target.entry());
            } else if (target.openHolds() == 0) {
                hold(target, target.taken() && target.misses() == 0 ? WAIT_MS : 0, now);
            }
        }
    }

    private void expire(PoolTarget target, long now) {
        if (!target.listed()) {
            runs.dropAll(target);
            // It may be listed again, and then refuses a start that is still on its way.
            target.raiseFence();
        } else if (target.runs().stream().anyMatch(run -> run.seen() || !run.orderedBefore(target.fence()))) {
            runs.expireAll(target, now);
            target.raiseFence();
        }
    }

    /** Asks a target for an immediate report. */
    void requestReport(PoolTarget target, long now) {
        if (!target.exhausted()) {
            hold(target, 0, now);
        }
    }

    private void hold(PoolTarget target, int waitMs, long now) {
        long number = ++holdNumber;
        target.opened(number, now);
        boolean extend = target.clockKnown() && target.misses() < EXTENDED_MISSES;
        OptionalLong deadline = extend ? OptionalLong.of(target.newDeadlineMs(now)) : OptionalLong.empty();
        actions.hold(
                target.entry(), new HoldOrder(number, target.fence().value(), deadline, target.acknowledged(), waitMs));
    }

    /** Takes a report. */
    void reported(String targetId, long number, HoldReport report, long now) {
        PoolTarget target = tables.target(targetId).orElse(null);
        if (target == null) {
            return;
        }
        OptionalLong sent = target.closed(number);
        if (sent.isEmpty()) {
            return;
        }
        if (report.bornMs() != 0
                && target.entry().bornMs() != 0
                && report.bornMs() != target.entry().bornMs()) {
            restarted(target, report.bornMs(), now);
            return;
        }
        boolean newest = report.clockMs() >= target.clockMs();
        target.hear(report.clockMs(), now);
        if (!target.taken()) {
            target.confirmFence();
            actions.targetChanged(target.entry(), "taken", "first report under our token");
        }
        runs.report(target, report, sent.getAsLong(), newest, now);
        if (target.openHolds() == 0) {
            // The next end frees room that tasks wait for, so it must not wait for a look at all targets.
            hold(target, WAIT_MS, now);
        }
    }

    /** Forgets an earlier life of a target; which of its runs are there is told by the next report. */
    void restarted(PoolTarget target, long bornMs, long now) {
        TargetEntry old = target.entry();
        target.update(new TargetEntry(
                old.id(), bornMs, old.address(), old.pool(), old.draining(), old.capacity(), old.labels()));
        runs.doubtAll(target, now);
        target.restart();
        actions.targetChanged(target.entry(), "restarted", "another life under the same id");
    }

    /** Takes the lack of a report. */
    void failed(String targetId, long number, OrderVerdict verdict, long now) {
        PoolTarget target = tables.target(targetId).orElse(null);
        if (target == null || target.closed(number).isEmpty()) {
            return;
        }
        if (verdict == OrderVerdict.FENCED) {
            target.fenceOut(now);
            actions.fenced(target.entry());
            return;
        }
        target.miss(now);
        if (target.misses() == 1) {
            actions.targetChanged(target.entry(), "silent", "no report: " + verdict);
        }
    }
}
