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
public final class ExpectedFinish implements PlacementPolicy {
    private static final double NANOS_PER_MS = 1e6;

    /** Relative speed from which a target counts as faster; learned speeds are no more exact than this. */
    private static final double FASTER = 1.25;

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
    private static final double STAFFING = 2;

    private ExpectedFinish() {}

    /** Creates the policy. */
    public static ExpectedFinish create() {
        return new ExpectedFinish();
    }

    @Override
    public Optional<? extends TargetView> choose(QueuedTask task, PlacementView view) {
        Optional<TargetView> harmless = slowestHarmless(task, view);
        if (harmless.isPresent()) {
            return harmless;
        }
        TargetView best = fastest(view);
        double finishNow = task.work() / best.speed();
        double capacity = fasterCapacity(view, best);
        if (capacity <= 0) {
            return Optional.of(best);
        }
        double weight = waitWeight(task, best, view);
        double queueMs = task.workAhead() / capacity;
        for (TargetView target : view.all()) {
            double gainMs = finishNow - task.work() / target.speed() - weight * queueMs;
            if (target.speed() > best.speed() * FASTER
                    && gainMs > 0
                    && weight * Math.max(0, target.nextRelease(view.now()) - view.now()) / NANOS_PER_MS < gainMs) {
                return Optional.empty();
            }
        }
        return Optional.of(best);
    }

    private static Optional<TargetView> slowestHarmless(QueuedTask task, PlacementView view) {
        if (task.slackMs() <= 0) {
            return Optional.empty();
        }
        double minSpeed = task.work() * Math.exp(task.error()) / task.slackMs();
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
        List<TargetView> bySpeed = new ArrayList<>(view.all());
        bySpeed.sort(Comparator.comparingDouble(TargetView::speed).reversed());
        double capacity = 0;
        int slots = 0;
        for (TargetView target : bySpeed) {
            slots += target.outstanding() + target.freeSlots();
            capacity += (target.outstanding() + target.freeSlots()) * target.speed();
            double needed = view.offered() / (capacity / slots);
            if (slots >= needed + STAFFING * Math.sqrt(needed)) {
                return target.speed();
            }
        }
        return 0;
    }

    private static TargetView fastest(PlacementView view) {
        TargetView best = view.free().get(0);
        for (TargetView target : view.free()) {
            if (target.speed() > best.speed()) {
                best = target;
            }
        }
        return best;
    }

    private static double fasterCapacity(PlacementView view, TargetView best) {
        double capacity = 0;
        for (TargetView target : view.all()) {
            if (target.speed() > best.speed() * FASTER) {
                capacity += target.speed() * target.outstanding();
            }
        }
        return capacity;
    }
}
