package org.mustardlink.core.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.PlacementView;
import org.mustardlink.core.QueuedTask;
import org.mustardlink.core.TargetView;

/**
 * Chooses the fastest free target, unless the task is expected to finish earlier if it waits for a faster one.
 *
 * <p>No task is ever started twice, so a start on a slow target cannot be corrected later. The wait for a faster target
 * is estimated as the time until its next running task ends, plus the time that the faster targets need for the work
 * ahead in the queue. A task with slack gets the slowest free target on which it still ends before the other tasks of
 * its job, which leaves the fast targets to the tasks that determine the end of a job.
 */
public final class ExpectedFinishPlacement implements PlacementPolicy {
    private static final double NANOS_PER_MS = 1e6;

    /** Ratio of speeds above which a target counts as faster; learned speeds are not more accurate than this. */
    private static final double FASTER_SPEED_RATIO = 1.25;

    /**
     * Weight of waiting time relative to run time for jobs of a single task. A task that waits for a fast slot delays
     * the tasks behind it, which the comparison of its own finish times ignores. With a weight of 1, such tasks would
     * queue for fast slots until waiting has no benefit.
     */
    private static final double WAIT_WEIGHT = 4;

    /** Weight of waiting time for single tasks if the free target is slower than the offered load requires. */
    private static final double SLOW_WAIT_WEIGHT = 2;

    /** Weight of waiting time for tasks of larger jobs, which may determine the end of their job. */
    private static final double JOB_WAIT_WEIGHT = 1;

    /** Factor of the square-root staffing rule: slots needed beyond the offered load, per square root of the load. */
    private static final double STAFFING_FACTOR = 2;

    private ExpectedFinishPlacement() {}

    /** Creates the policy. */
    public static ExpectedFinishPlacement create() {
        return new ExpectedFinishPlacement();
    }

    @Override
    public Optional<? extends TargetView> choose(QueuedTask task, PlacementView view) {
        Optional<TargetView> withinSlack = slowestWithinSlack(task, view);
        if (withinSlack.isPresent()) {
            return withinSlack;
        }
        TargetView best = fastestFree(view);
        double runMs = task.workMs() / best.speed();
        double capacity = busyFasterCapacity(view, best);
        if (capacity <= 0) {
            return Optional.of(best);
        }
        double weight = waitWeight(task, best, view);
        double queueMs = task.workAheadMs() / capacity;
        for (TargetView target : view.usable()) {
            double gainMs = runMs - task.workMs() / target.speed() - weight * queueMs;
            if (target.speed() > best.speed() * FASTER_SPEED_RATIO
                    && gainMs > 0
                    && weight * Math.max(0, target.nextReleaseNanos(view.now()) - view.now()) / NANOS_PER_MS < gainMs) {
                return Optional.empty();
            }
        }
        return Optional.of(best);
    }

    private static Optional<TargetView> slowestWithinSlack(QueuedTask task, PlacementView view) {
        if (task.slackMs() <= 0) {
            return Optional.empty();
        }
        double minSpeed = task.workMs() * Math.exp(task.logError()) / task.slackMs();
        TargetView slowest = null;
        for (TargetView target : view.free()) {
            if (target.speed() >= minSpeed && (slowest == null || target.speed() < slowest.speed())) {
                slowest = target;
            }
        }
        return Optional.ofNullable(slowest);
    }

    private static double waitWeight(QueuedTask task, TargetView best, PlacementView view) {
        if (task.jobSize() > 1) {
            return JOB_WAIT_WEIGHT;
        }
        return best.speed() >= neededSpeed(view) ? WAIT_WEIGHT : SLOW_WAIT_WEIGHT;
    }

    /** Returns the speed of the slowest target needed for the offered load if the fastest targets are used first. */
    private static double neededSpeed(PlacementView view) {
        List<TargetView> bySpeed = new ArrayList<>(view.usable());
        bySpeed.sort(Comparator.comparingDouble(TargetView::speed).reversed());
        double capacity = 0;
        int slots = 0;
        for (TargetView target : bySpeed) {
            slots += target.outstanding() + target.freeSlots();
            capacity += (target.outstanding() + target.freeSlots()) * target.speed();
            double needed = view.offeredLoad() / (capacity / slots);
            if (slots >= needed + STAFFING_FACTOR * Math.sqrt(needed)) {
                return target.speed();
            }
        }
        return 0;
    }

    private static TargetView fastestFree(PlacementView view) {
        TargetView best = view.free().get(0);
        for (TargetView target : view.free()) {
            if (target.speed() > best.speed()) {
                best = target;
            }
        }
        return best;
    }

    private static double busyFasterCapacity(PlacementView view, TargetView best) {
        double capacity = 0;
        for (TargetView target : view.usable()) {
            if (target.speed() > best.speed() * FASTER_SPEED_RATIO) {
                capacity += target.speed() * target.outstanding();
            }
        }
        return capacity;
    }
}
