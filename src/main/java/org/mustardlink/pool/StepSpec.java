package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A step of a job: equal tasks.
 *
 * @param taskCount tasks of the step, at least one
 * @param need resources of one task
 * @param declaredRunTime rough running time of one task, as the caller declares it
 * @param dependsOn earlier steps whose tasks must all be done first
 * @param requiredLabel a label that the target must have
 * @param maxPerTarget most tasks of the step on one target, {@code Integer.MAX_VALUE} for no bound
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
        checkNotNull(declaredRunTime, "estimate");
        checkNotNull(dependsOn, "after");
        checkNotNull(requiredLabel, "label");
        checkArgument(maxPerTarget > 0, "perTarget must be positive: %s", maxPerTarget);
    }
}
