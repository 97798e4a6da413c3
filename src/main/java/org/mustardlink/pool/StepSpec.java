package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A step of a job, which consists of tasks with the same needs.
 *
 * @param taskCount number of tasks, at least one
 * @param need resources that one task needs
 * @param declaredRunTime estimated running time of one task, as the caller declares it
 * @param dependsOn indexes of earlier steps whose tasks must all be done first
 * @param requiredLabel label that a target must have to run a task of the step
 * @param maxPerTarget most tasks of the step on one target at a time, {@code Integer.MAX_VALUE} for no limit
 */
public record StepSpec(
        int taskCount,
        Capacity need,
        Duration declaredRunTime,
        ImmutableList<Integer> dependsOn,
        Optional<String> requiredLabel,
        int maxPerTarget) {
    public StepSpec {
        checkArgument(taskCount > 0, "count must be positive: %s", taskCount);
        checkNotNull(need, "need");
        checkNotNull(declaredRunTime, "declaredRunTime");
        checkNotNull(dependsOn, "dependsOn");
        checkNotNull(requiredLabel, "requiredLabel");
        checkArgument(maxPerTarget > 0, "maxPerTarget must be positive: %s", maxPerTarget);
    }
}
