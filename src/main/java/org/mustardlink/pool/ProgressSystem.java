package org.mustardlink.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Stops runs that are stalled or too slow, by the progress that their targets report.
 *
 * <p>A run without progress is stopped. So is a run that is projected to end after its caller's deadline while another
 * target has free capacity and could still end the task in time. The task starts elsewhere once its target reports the
 * end of the run.
 */
final class ProgressSystem {
    /** Shares of a run's expected time after which its progress is requested, unless a recent report contains it. */
    private static final double[] PROGRESS_CHECK_SHARES = {0.2, 0.4, 0.7, 1, 1.4};
    /**
     * Replaces {@link #PROGRESS_CHECK_SHARES} for a run whose task could still run in full on any other target after the
     * last check: an earlier check costs a call to the target and isn't needed to meet the caller's deadline.
     */
    private static final double[] REPEATABLE_CHECK_SHARES = {1, 1.4};
    /** Minimum age of a run at its first progress check; a report takes 3 ms between failure domains. */
    private static final long MIN_PROGRESS_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Share of a run's expected time for which a report counts as recent; ends of other runs cause reports as well. */
    private static final double FRESH_REPORT_SHARE = 0.1;
    /**
     * Share of its expected time that a run must have spent without progress to count as stalled. A target that is
     * seven times slower than expected makes 4% of progress in that time.
     */
    private static final double STALL_SHARE = 0.3;
    /**
     * Minimum time without progress of a stalled run; a busy machine can delay a process by some tens of milliseconds.
     */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Expected time from a stop order to the start elsewhere; a stop takes up to 50 ms, in the logs 18 to 42 ms. */
    private static final long MOVE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /**
     * Projected running time relative to the expected one from which a slow target is assumed to be the cause; below
     * it, the task is assumed to be longer than declared. Declared times are wrong by up to half.
     */
    private static final double MAX_WORK_FACTOR = 2.2;

    /**
     * Minimum progress, in percent, for a job to be ended because of a projection. Since targets report whole percents,
     * the projection is then exact to a tenth.
     */
    private static final int MIN_UNREACHABLE_PERCENT = 10;
    /** A run must miss the deadline by this share of its remaining time before its job is ended. */
    private static final double UNREACHABLE_MARGIN = 0.1;

    private final PoolTables tables;
    private final RunSystem runs;
    private final LeaseSystem leases;
    private final TaskPlacementSystem placement;

    ProgressSystem(PoolTables tables, RunSystem runs, LeaseSystem leases, TaskPlacementSystem placement) {
        this.tables = tables;
        this.runs = runs;
        this.leases = leases;
        this.placement = placement;
    }

    /**
     * Stops stalled and slow runs, marks jobs whose deadline is unreachable, and requests progress reports that
     * are due.
     */
    void tick(long now) {
        for (PoolTarget target : tables.targets()) {
            if (target.runs().isEmpty() || !target.tokenConfirmed() || target.consecutiveMisses() > 0) {
                continue;
            }
            boolean checkDue = false;
            for (Run run : target.runs()) {
                if (run.state() == Run.State.RUNNING && isNeeded(run)) {
                    checkRun(target, run, run.task().get(), now);
                    checkDue |= takeDueCheck(run, run.task().get(), now);
                }
            }
            if (checkDue) {
                leases.requestReport(target, now);
            }
        }
    }

    /** Returns how many tasks wait for the end of a run that is being stopped. */
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

    /** Returns whether a run belongs to a task of an open job. */
    private static boolean isNeeded(Run run) {
        return run.task().isPresent() && !run.task().get().job().closed();
    }

    /** Counts the next progress check of a run if it is due; returns whether a report must be requested for it. */
    private boolean takeDueCheck(Run run, PoolTask task, long now) {
        double[] shares = isRepeatable(run, task) ? REPEATABLE_CHECK_SHARES : PROGRESS_CHECK_SHARES;
        if (run.progressChecks() >= shares.length) {
            return false;
        }
        long dueNanos = run.startOrderedNanos()
                + Math.max(MIN_PROGRESS_CHECK_AGE_NANOS, (long) (shares[run.progressChecks()] * run.expectedNanos()));
        if (now < dueNanos) {
            return false;
        }
        run.countProgressCheck();
        return now - run.lastReportNanos() > FRESH_REPORT_SHARE * run.expectedNanos();
    }

    /**
     * Returns whether a run can be stopped after its last check, and its task run again in full on the slowest kind of
     * target before the caller's deadline. A job of several steps needs the time for the other steps.
     */
    private boolean isRepeatable(Run run, PoolTask task) {
        double lastCheckShare = REPEATABLE_CHECK_SHARES[REPEATABLE_CHECK_SHARES.length - 1];
        double repeatNanos = tables.expectedNanos(task) * tables.kindSlowness().slowest();
        return task.job().order().steps().size() == 1
                && run.startOrderedNanos()
                                + (long) (lastCheckShare * run.expectedNanos() + repeatNanos)
                                + MOVE_DELAY_NANOS
                        <= task.job().deadlineNanos();
    }

    /** Stops a run if it is stalled or its task can end in time elsewhere, or marks its deadline as unreachable. */
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
        if (placement.countTasksInTimeElsewhere(task, target, now + MOVE_DELAY_NANOS, workFactor, now)
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

    /** Returns whether neither this run nor a new one on any target, busy or not, can end before the deadline. */
    private boolean isDeadlineUnreachable(Run run, PoolTask task, long endNanos, double workFactor, long now) {
        long deadlineNanos = task.job().deadlineNanos();
        return run.percent() >= MIN_UNREACHABLE_PERCENT
                && endNanos > deadlineNanos + (long) (UNREACHABLE_MARGIN * (endNanos - now))
                && !placement.anyTargetMeetsDeadline(task, now + MOVE_DELAY_NANOS, workFactor);
    }
}
