package org.mustardlink.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One subcommand of the command line. */
interface Subcommand {
    /** Adds the subcommand and its arguments to the parser. */
    void register(Subparsers parsers);

    /**
     * Runs the subcommand.
     *
     * @return the exit code
     */
    int run(Namespace arguments);

    /** Returns whether the command runs until it is ended and writes log lines instead of a result. */
    default boolean isDaemon() {
        return false;
    }
}
