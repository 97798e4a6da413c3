package org.mustardlink.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A subcommand of the {@code mustardlink} executable. */
interface Subcommand {
    /** Adds the parser of the subcommand and its arguments. */
    void register(Subparsers parsers);

    /**
     * Runs the subcommand.
     *
     * @return the exit code
     */
    int run(Namespace arguments);

    /** Returns whether the subcommand runs until the process is stopped and writes log lines instead of a result. */
    default boolean isDaemon() {
        return false;
    }
}
