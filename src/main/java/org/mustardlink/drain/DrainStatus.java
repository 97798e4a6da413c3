package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * State of the drain of a target, combined over all entry hosts.
 *
 * @param target id of the target
 * @param state progress of the drain
 * @param reason why the target is drained, empty if it is not drained
 * @param outstanding number of tasks in flight at the target, from all hosts that answered
 * @param remainingMs time until the last task in flight is expected to end, in milliseconds
 * @param notDraining hosts that still send new tasks to the target
 * @param unreachable hosts that could not be asked
 */
public record DrainStatus(
        String target,
        State state,
        String reason,
        int outstanding,
        long remainingMs,
        ImmutableList<String> notDraining,
        ImmutableList<String> unreachable) {
    public DrainStatus {
        checkNotNull(state, "state");
        checkNotNull(notDraining, "notDraining");
        checkNotNull(unreachable, "unreachable");
    }

    /** Progress of a drain. */
    public enum State {
        /** Every host that answered sends new tasks to the target. */
        ACTIVE,
        /** No host sends new tasks to the target, and no host has a task in flight there. */
        DRAINED,
        /** Tasks are in flight, or some host has not noticed the drain yet. */
        DRAINING,
        /** No host that answered has a task in flight, but some hosts could not be asked; or no host answered. */
        UNKNOWN
    }

    /**
     * Combines the reports of the hosts.
     *
     * @param target id of the target
     * @param reports reports by host id; empty for a host that could not be asked
     */
    public static DrainStatus combine(String target, Map<String, Optional<TargetReport>> reports) {
        ImmutableList<String> unreachable = keysWithValue(reports, Optional.empty());
        ImmutableMap<String, TargetReport> answers = reports.entrySet().stream()
                .filter(entry -> entry.getValue().isPresent())
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> entry.getValue().get()));
        ImmutableList<String> notDraining = answers.entrySet().stream()
                .filter(entry -> !entry.getValue().draining())
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
        int outstanding =
                answers.values().stream().mapToInt(TargetReport::outstanding).sum();
        return new DrainStatus(
                target,
                combinedState(answers, notDraining, outstanding, unreachable),
                answers.values().stream()
                        .map(TargetReport::reason)
                        .filter(reason -> !reason.isEmpty())
                        .findFirst()
                        .orElse(""),
                outstanding,
                answers.values().stream()
                        .map(TargetReport::remaining)
                        .max(Comparator.naturalOrder())
                        .orElse(Duration.ZERO)
                        .toMillis(),
                notDraining.size() == answers.size() ? ImmutableList.of() : notDraining,
                unreachable);
    }

    private static State combinedState(
            Map<String, TargetReport> answers,
            ImmutableList<String> notDraining,
            int outstanding,
            ImmutableList<String> unreachable) {
        if (notDraining.size() == answers.size()) {
            return answers.isEmpty() ? State.UNKNOWN : State.ACTIVE;
        }
        if (outstanding > 0 || !notDraining.isEmpty()) {
            return State.DRAINING;
        }
        return unreachable.isEmpty() ? State.DRAINED : State.UNKNOWN;
    }

    private static <V> ImmutableList<String> keysWithValue(Map<String, V> map, V value) {
        return map.entrySet().stream()
                .filter(entry -> entry.getValue().equals(value))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }
}
