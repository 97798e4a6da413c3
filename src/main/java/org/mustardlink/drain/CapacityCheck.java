package org.mustardlink.drain;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.ServiceBody;
import org.mustardlink.core.TargetSpec;

/** Warns if drains leave a service with too little capacity in a failure domain. */
public final class CapacityCheck {
    private CapacityCheck() {}

    /**
     * Returns the warnings for a configuration, for the week that begins at an instant.
     *
     * <p>Capacity is checked now and whenever a window opens, because the set of drained targets grows only then. For a
     * service without {@code minSlots}, a warning is returned if no slot is left in a domain.
     */
    public static ImmutableList<String> warnings(ConfigView view, Instant now) {
        return Stream.concat(Stream.of(now), windowStarts(view, now))
                .flatMap(time -> shortages(view, time))
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    private static Stream<Instant> windowStarts(ConfigView view, Instant now) {
        return view.windows().values().stream()
                .map(window -> WeeklySchedule.nextOccurrence(window, now).start())
                .distinct()
                .sorted(Comparator.naturalOrder());
    }

    private static Stream<String> shortages(ConfigView view, Instant time) {
        Set<String> drained = new DrainPlanner()
                .planDrains(view, ImmutableSet.of(), _service -> Duration.ZERO, time)
                .keySet();
        Map<ServiceDomain, Integer> remainingSlots = view.targets().stream()
                .collect(Collectors.groupingBy(
                        target -> new ServiceDomain(target.service(), target.domain()),
                        Collectors.summingInt(target -> drained.contains(target.id()) ? 0 : target.slots())));
        return remainingSlots.entrySet().stream()
                .filter(entry -> entry.getValue() < requiredSlots(view, entry.getKey()))
                .filter(entry -> hasDrainedTarget(view, entry.getKey(), drained))
                .map(entry -> "service %s has %d slots left in domain %s at %s, below its minimum of %d"
                        .formatted(
                                entry.getKey().service(),
                                entry.getValue(),
                                entry.getKey().domain(),
                                time,
                                requiredSlots(view, entry.getKey())))
                .sorted();
    }

    private static boolean hasDrainedTarget(ConfigView view, ServiceDomain group, Set<String> drained) {
        return view.targets().stream().anyMatch(target -> isIn(target, group) && drained.contains(target.id()));
    }

    private static boolean isIn(TargetSpec target, ServiceDomain group) {
        return target.service().equals(group.service()) && target.domain().equals(group.domain());
    }

    private static int requiredSlots(ConfigView view, ServiceDomain group) {
        ServiceBody service = view.services().get(group.service());
        return Math.max(1, service == null ? 1 : service.minSlots());
    }

    private record ServiceDomain(String service, String domain) {}
}
