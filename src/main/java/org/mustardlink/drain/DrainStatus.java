package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * State of a drain over all entry hosts.
 *
 * @param target id of the target
 * @param state what is known
 * @param reason why it is drained, empty if it is not
 * @param outstanding tasks in flight at it from all hosts that answered
 * @param remainingMs time until the last of them is expected to end, in milliseconds
 * @param notDraining hosts that still give it work
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

    /** What is known about a target. */
    public enum State {
        /** Every host that gives it work goes on doing so. */
        ACTIVE,
        /** No host gives it new work, and none has a task in flight. */
        DRAINED,
        /** Tasks are in flight, or some host has not noticed the drain yet. */
        DRAINING,
        /** Nothing is left at the hosts that answered, and some could not be asked. */
        UNKNOWN
    }

    /**
     * Combines the answers of the hosts.
     *
     * @param target id of the target
     * @param reports answers by host; empty for a host that could not be asked
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
