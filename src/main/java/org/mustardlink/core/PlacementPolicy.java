package org.mustardlink.core;

import java.util.Comparator;
import java.util.Optional;

/** Chooses the target of one queued task. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses among targets that have a free slot. A task that is left queued is offered again at the next tick, and
     * tasks behind it may be offered in the meantime.
     *
     * @param task the task
     * @param view the targets of its service; {@link PlacementView#free()} is not empty
     * @return a free target, or empty to leave the task queued
     */
    Optional<? extends TargetView> choose(QueuedTask task, PlacementView view);

    /** Returns a policy that takes the free target with the highest learned speed. */
    static PlacementPolicy fastestFree() {
        return (_task, view) -> view.free().stream().max(Comparator.comparingDouble(TargetView::speed));
    }
}
