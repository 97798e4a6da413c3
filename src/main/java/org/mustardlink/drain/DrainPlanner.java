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
    static final Duration SMALL_STEP = Duration.ofMinutes(5);

    private Instant latest = Instant.EPOCH;

    /**
     * Returns the targets that take no new work, with the reason.
     *
     * @param view the configuration
     * @param leaving targets that the platform's list marks as leaving
     * @param lead lead time of a service
     * @param now the wall clock
     */
    public ImmutableMap<String, DrainCause> decide(
            ConfigView view, Set<String> leaving, Function<String, Duration> lead, Instant now) {
        Instant time = steady(now);
        Map<String, Duration> leads = new HashMap<>();
        view.targets().forEach(target -> leads.put(target.id(), lead.apply(target.service())));
        Map<String, DrainCause> causes = new HashMap<>();
        view.windows().forEach((name, window) -> addWindow(name, window, leads, time, causes));
        view.drains().forEach((name, order) -> apply(name, order, time, DrainBody.Action.RELEASE, causes));
        view.drains().forEach((name, order) -> apply(name, order, time, DrainBody.Action.DRAIN, causes));
        leaving.forEach(
                target -> causes.put(target, new DrainCause(DrainCause.Source.LEAVING, target, Optional.empty())));
        ImmutableSet<String> declared =
                view.targets().stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        causes.keySet().retainAll(declared);
        return ImmutableMap.copyOf(causes);
    }

    private Instant steady(Instant now) {
        boolean smallStepBack = now.isBefore(latest) && now.plus(SMALL_STEP).isAfter(latest);
        latest = smallStepBack ? latest : now;
        return latest;
    }

    private static void addWindow(
            String name, WindowBody window, Map<String, Duration> leads, Instant time, Map<String, DrainCause> causes) {
        for (String target : window.targets()) {
            Duration lead = leads.getOrDefault(target, Duration.ZERO);
            WeeklySchedule.covering(window, time, lead)
                    .map(open -> new DrainCause(DrainCause.Source.WINDOW, name, Optional.of(open.end())))
                    .ifPresent(cause -> causes.merge(target, cause, DrainPlanner::longer));
        }
    }

    private static DrainCause longer(DrainCause one, DrainCause other) {
        return one.end().orElse(Instant.MAX).isBefore(other.end().orElse(Instant.MAX)) ? other : one;
    }

    private static void apply(
            String name, DrainBody order, Instant time, DrainBody.Action action, Map<String, DrainCause> causes) {
        boolean over = order.end().map(end -> !time.isBefore(end)).orElse(false);
        if (order.action() != action || over) {
            return;
        }
        if (action == DrainBody.Action.DRAIN) {
            causes.put(order.target(), new DrainCause(DrainCause.Source.ORDER, name, order.end()));
        } else {
            causes.remove(order.target());
        }
    }
}
