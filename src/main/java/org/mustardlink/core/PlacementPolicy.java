package org.mustardlink.core;

import java.util.List;
import java.util.Optional;

/** Chooses the target of one queued task. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses among targets that have a free slot.
     *
     * @param task the task
     * @param candidates targets that may take it now, never empty
     * @param now monotonic time in nanoseconds
     * @return the target, or empty to leave the task queued
     */
    Optional<? extends TargetView> choose(TaskSpec task, List<? extends TargetView> candidates, long now);

    /** Returns a policy that takes the free target with the highest declared speed. */
    static PlacementPolicy fastestFree() {
        return (_task, candidates, _now) -> candidates.stream()
                .max(java.util.Comparator.comparingDouble(view -> view.spec().declaredSpeed()));
    }
}
