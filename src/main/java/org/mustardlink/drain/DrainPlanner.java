package org.mustardlink.drain;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.DrainBody;
import org.mustardlink.config.records.WindowBody;
import org.mustardlink.core.TargetSpec;

/**
 * Decides which targets take no new tasks at a given time.
 *
 * <p>A target is drained if the platform marks it as leaving or an operator's order drains it. In all other cases, a
 * release by an operator overrides windows; without a release, the target is drained during its windows and the lead
 * times before them. A change or cancellation of a window takes effect at once, also while the window is open. Not
 * thread-safe.
 */
public final class DrainPlanner {
    /** A smaller step back of the clock does not undo drains; a larger step is taken as a correction of the clock. */
    static final Duration MAX_IGNORED_STEP_BACK = Duration.ofMinutes(5);

    private Instant effectiveTime = Instant.EPOCH;

    /**
     * Returns the targets that take no new tasks, with the cause of each drain.
     *
     * @param view the configuration
     * @param leavingTargets targets that the platform's host list marks as leaving
     * @param leadTime returns the lead time of a service
     * @param now the wall clock
     */
    public ImmutableMap<String, DrainCause> planDrains(
            ConfigView view, Set<String> leavingTargets, Function<String, Duration> leadTime, Instant now) {
        Instant time = ignoreSmallStepBack(now);
        Map<String, Duration> leadTimes = new HashMap<>();
        view.targets().forEach(target -> leadTimes.put(target.id(), leadTime.apply(target.service())));
        Map<String, DrainCause> causes = new HashMap<>();
        view.windows().forEach((name, window) -> addWindowDrains(name, window, leadTimes, time, causes));
        view.drains().forEach((name, order) -> applyOrder(name, order, time, DrainBody.Action.RELEASE, causes));
        view.drains().forEach((name, order) -> applyOrder(name, order, time, DrainBody.Action.DRAIN, causes));
        leavingTargets.forEach(
                target -> causes.put(target, new DrainCause(DrainCause.Source.LEAVING, target, Optional.empty())));
        ImmutableSet<String> declared =
                view.targets().stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        causes.keySet().retainAll(declared);
        return ImmutableMap.copyOf(causes);
    }

    private Instant ignoreSmallStepBack(Instant now) {
        boolean smallStepBack =
                now.isBefore(effectiveTime) && now.plus(MAX_IGNORED_STEP_BACK).isAfter(effectiveTime);
        effectiveTime = smallStepBack ? effectiveTime : now;
        return effectiveTime;
    }

    private static void addWindowDrains(
            String name,
            WindowBody window,
            Map<String, Duration> leadTimes,
            Instant time,
            Map<String, DrainCause> causes) {
        for (String target : window.targets()) {
            Duration leadTime = leadTimes.getOrDefault(target, Duration.ZERO);
            WeeklySchedule.findCovering(window, time, leadTime)
                    .map(open -> new DrainCause(DrainCause.Source.WINDOW, name, Optional.of(open.end())))
                    .ifPresent(cause -> causes.merge(target, cause, DrainPlanner::laterEnding));
        }
    }

    private static DrainCause laterEnding(DrainCause one, DrainCause other) {
        return one.end().orElse(Instant.MAX).isBefore(other.end().orElse(Instant.MAX)) ? other : one;
    }

    private static void applyOrder(
            String name, DrainBody order, Instant time, DrainBody.Action action, Map<String, DrainCause> causes) {
        boolean hasEnded = order.end().map(end -> !time.isBefore(end)).orElse(false);
        if (order.action() != action || hasEnded) {
            return;
        }
        if (action == DrainBody.Action.DRAIN) {
            causes.put(order.target(), new DrainCause(DrainCause.Source.ORDER, name, order.end()));
        } else {
            causes.remove(order.target());
        }
    }
}
