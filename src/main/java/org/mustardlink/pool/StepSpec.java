package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A step of a job: equal tasks.
 *
 * @param count tasks of the step, at least one
 * @param need resources of one task
 * @param estimate rough running time of one task, as the caller declares it
 * @param after earlier steps whose tasks must all be done first
 * @param label a label that the target must have
 * @param perTarget most tasks of the step on one target, {@code Integer.MAX_VALUE} for no bound
 */
public record StepSpec(
        int count,
        Capacity need,
        Duration estimate,
        ImmutableList<Integer> after,
        Optional<String> label,
        int perTarget) {
    public StepSpec {
        checkArgument(count > 0, "count must be positive: %s", count);
        checkNotNull(need, "need");
        checkNotNull(estimate, "estimate");
        checkNotNull(after, "after");
        checkNotNull(label, "label");
        checkArgument(perTarget > 0, "perTarget must be positive: %s", perTarget);
    }
}
