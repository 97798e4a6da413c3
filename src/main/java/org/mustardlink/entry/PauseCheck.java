package org.mustardlink.entry;

import java.util.concurrent.CompletableFuture;

/** Checks after a pause of the process that something is still as the entry host believes. */
@FunctionalInterface
public interface PauseCheck {
    /**
     * Brings one kind of state up to date, for example the configuration.
     *
     * <p>Starts are held until every check is done or 500 ms have passed. Failures count as done.
     */
    CompletableFuture<?> recheck();
}
