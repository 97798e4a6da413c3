package org.mustardlink.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Judges runs by the progress that their targets report.
 *
 * <p>A run that stands still is stopped. So is one that will end after its caller's deadline while another target has room
 * and could still end the task before it. The task starts elsewhere once the target lists the end.
 */
final class ProgressMonitor {
    /** Shares of a run's expected time after which its target is asked for its progress, unless it has just told it. */
    private static final double[] CHECK_SHARES = {0.2, 0.4, 0.7, 1, 1.4};
    /** A run is younger than this at its first look at least; a report takes 3 ms between domains. */
    private static final long MIN_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Share of a run's expected time for which a report is as good as a new one; ends at its target bring reports too. */
    private static final double FRESH_REPORT_SHARE = 0.1;
    /**
     * Share of the expected time without a percent of progress from which a run stands still; a target that is seven times
     * slower makes four percents in it.
     */
    private static final double STALL_SHARE = 0.3;
    /** A run isn't taken for standing still before this; a busy machine can hold a process up for some ten milliseconds. */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** From a stop order until its task starts elsewhere: a stop takes 50 ms at most, the logs show 18 to 42 ms. */
    private static final long MOVE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /**
     * Running time relative to the expected one up to which the task is taken for longer than declared, and beyond which
     * its target for slow: declared times are off by half.
     */
    private static final double MAX_WORK_FACTOR = 2.2;

    /** Progress from which a run's projection is good enough to end its job; whole percents make it exact to a tenth. */
    private static final int MIN_UNREACHABLE_PERCENT = 10;
    /** Share of the time that a run still needs by which it must miss the deadline before its job is ended. */
    private static final double UNREACHABLE_MARGIN = 0.1;

    private final PoolTables tables;
    private final RunTracker runs;
    private final LeaseManager leases;
    private final TaskPlacer placer;

    ProgressMonitor(PoolTables tables, RunTracker runs, LeaseManager leases, TaskPlacer placer) {
        this.tables = tables;
        this.runs = runs;
        this.leases = leases;
        this.placer = placer;
    }

    /** Stops runs whose tasks are better started elsewhere, and asks for the progress of others. */
    void tick(long now) {
        for (PoolTarget target : tables.targets()) {
            if (target.runs().isEmpty() || !target.tokenConfirmed() || target.consecutiveMisses() > 0) {
                continue;
            }
            boolean checkDue = false;
            for (Run run : target.runs()) {
                if (run.state() == Run.State.RUNNING && isNeeded(run)) {
                    checkRun(target, run, run.task().get(), now);
                    checkDue |= takeDueCheck(run, now);
                }
            }
            if (checkDue) {
                leases.requestReport(target, now);
            }
        }
    }

    /** Returns how many tasks wait for the end of a stopped run. */
    private int countMovingTasks() {
        int movingTasks = 0;
        for (PoolTarget target : tables.targets()) {
            for (Run run : target.runs()) {
                if (run.state() == Run.State.STOPPING && isNeeded(run)) {
                    movingTasks++;
                }
            }
        }
        return movingTasks;
    }

    private static boolean isNeeded(Run run) {
        return run.task().isPresent() && !run.task().get().job().closed();
    }

    private static boolean takeDueCheck(Run run, long now) {
        if (run.progressChecks() == CHECK_SHARES.length) {
            return false;
        }
        long dueNanos = run.startOrderedNanos()
                + Math.max(MIN_CHECK_AGE_NANOS, (long) (CHECK_SHARES[run.progressChecks()] * run.expectedNanos()));
        if (now < dueNanos) {
            return false;
        }
        run.countProgressCheck();
        return now - run.lastReportNanos() > FRESH_REPORT_SHARE * run.expectedNanos();
    }

    /** Stops a run if that serves its task. */
    private void checkRun(PoolTarget target, Run run, PoolTask task, long now) {
        if (run.percent() < 100
                && run.stalledNanos() > Math.max(MIN_STALL_NANOS, (long) (STALL_SHARE * run.expectedNanos()))) {
            runs.stopStalledRun(target, run, now);
            return;
        }
        OptionalLong endNanos = run.projectedEndNanos();
        if (endNanos.isEmpty() || endNanos.getAsLong() <= task.job().deadlineNanos()) {
            return;
        }
        OptionalLong runNanos = run.projectedRunNanos();
        double workFactor = runNanos.getAsLong() / Math.max(1, target.slowness() * tables.expectedNanos(task));
        if (workFactor >= MAX_WORK_FACTOR) {
            runNanos = OptionalLong.empty();
            workFactor = 1;
        }
        if (placer.countTasksInTimeElsewhere(task, target, now + MOVE_DELAY_NANOS, workFactor, now)
                > countMovingTasks()) {
            runs.moveRun(target, run, runNanos, describe(target, run), now);
            return;
        }
        if (isDeadlineUnreachable(run, task, endNanos.getAsLong(), workFactor, now)) {
            task.job()
                    .markDeadlineUnreachable("task " + task.name().index() + " on "
                            + target.entry().id() + ": " + describe(target, run));
        }
    }

    private static String describe(PoolTarget target, Run run) {
        return "%d%% done after %d ms, %d ms were expected at slowness %.2f; would end after the deadline"
                .formatted(
                        run.percent(),
                        TimeUnit.NANOSECONDS.toMillis(run.lastReportNanos() - run.startOrderedNanos()),
                        TimeUnit.NANOSECONDS.toMillis(run.expectedNanos()),
                        target.slowness());
    }

    /** Returns whether neither the run nor a new one on the best target can end before the deadline, room or not. */
    private boolean isDeadlineUnreachable(Run run, PoolTask task, long endNanos, double workFactor, long now) {
        long deadlineNanos = task.job().deadlineNanos();
        return run.percent() >= MIN_UNREACHABLE_PERCENT
                && endNanos > deadlineNanos + (long) (UNREACHABLE_MARGIN * (endNanos - now))
                && !placer.anyTargetMeetsDeadline(task, now + MOVE_DELAY_NANOS, workFactor);
    }
}
