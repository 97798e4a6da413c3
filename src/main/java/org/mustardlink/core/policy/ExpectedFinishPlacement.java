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
 * Takes the fastest free slot unless waiting for a faster one is expected to finish earlier.
 *
 * <p>No task is ever started twice, so a start on a slow target cannot be repaired. The wait for a faster target is the
 * expected end of its next running task plus the time that the faster targets need for the work ahead in the queue. A
 * task that ends well before the rest of its job takes the slowest slot on which it still does, and leaves the fast ones
 * to the tasks that decide when a job ends.
 */
public final class ExpectedFinishPlacement implements PlacementPolicy {
    private static final double NANOS_PER_MS = 1e6;

    /** Relative speed from which a target counts as faster; learned speeds are no more exact than this. */
    private static final double FASTER_SPEED_RATIO = 1.25;

    /**
     * Weight of a wait against the run time. A task that waits for a fast slot delays the tasks behind it, which the
     * comparison of its own finish leaves out; with a weight of 1 single tasks queue for fast slots until waiting gains
     * nothing.
     */
    private static final double WAIT_WEIGHT = 4;

    /** Weight of a wait when the free slot is slower than the recent load calls for. */
    private static final double SLOW_WAIT_WEIGHT = 2;

    /** Weight of a wait for tasks that may decide when their job ends. */
    private static final double JOB_WAIT_WEIGHT = 1;

    /** Slots beyond the offered load that count as called for, in square roots of the load. */
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

    /** Returns the speed of the slowest target that the recent load calls for when the fastest are used first. */
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
