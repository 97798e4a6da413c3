package org.mustardlink.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Judges runs by the progress that their targets report.
 *
 * <p>A run that stands still is stopped. So is one that will end after its caller's deadline while another target has room
 * and could still end the task before it. The task starts elsewhere once the target lists the end.
 */
final class ProgressSystem {
    /** Shares of a run's expected time after which its target is asked for its progress, unless it has just told it. */
    private static final double[] LOOKS = {0.2, 0.4, 0.7, 1, 1.4};
    /** A run is younger than this at its first look at least; a report takes 3 ms between domains. */
    private static final long MIN_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Share of a run's expected time for which a report is as good as a new one; ends at its target bring reports too. */
    private static final double FRESH_SHARE = 0.1;
    /**
     * Share of the expected time without a percent of progress from which a run stands still; a target that is seven times
     * slower makes four percents in it.
     */
    private static final double STILL_SHARE = 0.3;
    /** A run isn't taken for standing still before this; a busy machine can hold a process up for some ten milliseconds. */
    private static final long MIN_STILL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** From a stop order until its task starts elsewhere: a stop takes 50 ms at most, the logs show 18 to 42 ms. */
    private static final long MOVE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /**
     * Running time relative to the expected one up to which the task is taken for longer than declared, and beyond which
     * its target for slow: declared times are off by half.
     */
    private static final double MAX_WORK_FACTOR = 2.2;

    /** Progress from which a run's projection is good enough to end its job; whole percents make it exact to a tenth. */
    private static final int MIN_LOST_PERCENT = 10;
    /** Share of the time that a run still needs by which it must miss the deadline before its job is ended. */
    private static final double LOST_MARGIN = 0.1;

    private final PoolTables tables;
    private final RunSystem runs;
    private final LeaseSystem leases;
    private final PlacementSystem placement;

    ProgressSystem(PoolTables tables, RunSystem runs, LeaseSystem leases, PlacementSystem placement) {
        this.tables = tables;
        this.runs = runs;
        this.leases = leases;
        this.placement = placement;
    }

    /** Stops runs whose tasks are better started elsewhere, and asks for the progress of others. */
    void tick(long now) {
        for (PoolTarget target : tables.targets()) {
            if (target.runs().isEmpty() || !target.taken() || target.misses() > 0) {
                continue;
            }
            boolean look = false;
            for (Run run : target.runs()) {
                if (run.state() == Run.State.RUNNING && isWanted(run)) {
                    judge(target, run, run.task().get(), now);
                    look |= lookIsDue(run, now);
                }
            }
            if (look) {
                leases.requestReport(target, now);
            }
        }
    }

    /** Returns how many tasks wait for the end of a stopped run. */
    private int moving() {
        int moving = 0;
        for (PoolTarget target : tables.targets()) {
            for (Run run : target.runs()) {
                if (run.state() == Run.State.STOPPING && isWanted(run)) {
                    moving++;
                }
            }
        }
        return moving;
    }

    private static boolean isWanted(Run run) {
        return run.task().isPresent() && !run.task().get().job().closed();
    }

    private static boolean lookIsDue(Run run, long now) {
        if (run.looks() == LOOKS.length) {
            return false;
        }
        long due = run.orderedNanos() + Math.max(MIN_LOOK_NANOS, (long) (LOOKS[run.looks()] * run.expectedNanos()));
        if (now < due) {
            return false;
        }
        run.countLook();
        return now - run.reportedNanos() > FRESH_SHARE * run.expectedNanos();
    }

    /** Stops a run if that serves its task. */
    private void judge(PoolTarget target, Run run, PoolTask task, long now) {
        if (run.percent() < 100
                && run.stillNanos() > Math.max(MIN_STILL_NANOS, (long) (STILL_SHARE * run.expectedNanos()))) {
            runs.standsStill(target, run, now);
            return;
        }
        OptionalLong end = run.projectedEndNanos();
        if (end.isEmpty() || end.getAsLong() <= task.job().deadlineNanos()) {
            return;
        }
        OptionalLong work = run.projectedNanos();
        double factor = work.getAsLong() / Math.max(1, target.slowness() * tables.expectedNanos(task));
        if (factor >= MAX_WORK_FACTOR) {
            work = OptionalLong.empty();
            factor = 1;
        }
        if (placement.roomsInTimeElsewhere(task, target, now + MOVE_NANOS, factor, now) > moving()) {
            runs.move(target, run, work, describe(target, run), now);
            return;
        }
        if (isLost(run, task, end.getAsLong(), factor, now)) {
            task.job()
                    .markLost("task " + task.name().index() + " on "
                            + target.entry().id() + ": " + describe(target, run));
        }
    }

    private static String describe(PoolTarget target, Run run) {
        return "%d%% done after %d ms, %d ms were expected at slowness %.2f; would end after the deadline"
                .formatted(
                        run.percent(),
                        TimeUnit.NANOSECONDS.toMillis(run.reportedNanos() - run.orderedNanos()),
                        TimeUnit.NANOSECONDS.toMillis(run.expectedNanos()),
                        target.slowness());
    }

    /** Returns whether neither the run nor a new one on the best target can end before the deadline, room or not. */
    private boolean isLost(Run run, PoolTask task, long end, double factor, long now) {
        long deadline = task.job().deadlineNanos();
        return run.percent() >= MIN_LOST_PERCENT
                && end > deadline + (long) (LOST_MARGIN * (end - now))
                && !placement.mayEndInTime(task, now + MOVE_NANOS, factor);
    }
}
