package org.mustardlink.cli;

/** Exit codes of every subcommand. */
final class ExitCode {
    static final int OK = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int NOT_RUN = 3;
    static final int MAY_HAVE_RUN = 4;
    static final int UNAVAILABLE = 5;

    private ExitCode() {}
}
