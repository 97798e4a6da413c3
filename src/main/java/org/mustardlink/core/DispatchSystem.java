package org.mustardlink.core;

import java.util.function.Consumer;

/** Step of a tick that processes the tables. */
@FunctionalInterface
interface DispatchSystem {
    /**
     * Runs the step.
     *
     * @param tables tables of the core
     * @param now monotonic time in nanoseconds
     * @param out receives commands in order
     */
    void run(Tables tables, long now, Consumer<Command> out);
}
