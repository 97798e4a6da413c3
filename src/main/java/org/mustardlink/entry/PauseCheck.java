package org.mustardlink.entry;

import java.util.concurrent.CompletableFuture;

/** Rechecks, after a pause of the process, state of the entry host that may have become stale. */
@FunctionalInterface
public interface PauseCheck {
    /**
     * Updates one kind of state, for example the configuration.
     *
     * <p>Task starts are held until every check has completed or 500 ms have passed. A failed check counts as
     * completed.
     */
    CompletableFuture<?> recheck();
}
