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
 * Decides which targets take no new work now.
 *
 * <p>The decision depends on the configuration, the leaving marks, the lead times and the clock, in this order of
 * weight: a leaving mark and an operator's drain always count; an operator's release overrides windows; otherwise any
 * window that covers the time counts. A window that is changed or cancelled while it is open takes effect as it now
 * stands. Not thread-safe.
 */
public final class DrainPlanner {
    /** A clock that steps back by less than this does not undo what it had decided; a larger step is a correction. */
    static final Duration MAX_IGNORED_STEP_BACK = Duration.ofMinutes(5);

    private Instant effectiveTime = Instant.EPOCH;

    /**
     * Returns the targets that take no new work, with the reason.
     *
     * @param view the configuration
     * @param leavingTargets targets that the platform's list marks as leaving
     * @param leadTime lead time of a service
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
