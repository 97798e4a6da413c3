package org.mustardlink.core;

import java.util.Comparator;
import java.util.Optional;

/** Chooses the target on which a queued task is started. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses one of the targets that have a free slot, or leaves the task queued. A task that is left queued is
     * offered again at the next tick, and tasks behind it may be offered in the meantime.
     *
     * @param task task to be placed
     * @param view targets of the task's service; {@link PlacementView#free()} is not empty
     * @return a free target, or empty to leave the task queued
     */
    Optional<? extends TargetView> choose(QueuedTask task, PlacementView view);

    /** Returns a policy that chooses the free target with the highest learned speed. */
    static PlacementPolicy fastestFree() {
        return (_task, view) -> view.free().stream().max(Comparator.comparingDouble(TargetView::speed));
    }
}
