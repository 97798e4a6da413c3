package org.mustardlink.core;

import java.util.function.Consumer;

/** One step of a tick, run over all tables. */
@FunctionalInterface
interface DispatchSystem {
    /**
     * Runs the step.
     *
     * @param tables the tables
     * @param now monotonic time in nanoseconds
     * @param out receives commands in order
     */
    void run(Tables tables, long now, Consumer<Command> out);
}
