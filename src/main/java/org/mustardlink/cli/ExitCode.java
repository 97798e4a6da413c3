package org.mustardlink.cli;

import org.mustardlink.core.Outcome;
import org.mustardlink.errors.ErrorCode;

/** Exit codes of every subcommand; {@code README.md} lists them. */
final class ExitCode {
    /** The command succeeded; for a job, it is complete. */
    static final int OK = 0;
    /** A check made by the command failed, or the requested object does not exist. */
    static final int FAILED = 1;
    /** The arguments or the settings are wrong; nothing was done. */
    static final int USAGE = 2;
    /** The job certainly did not run. */
    static final int NOT_RUN = 3;
    /** The job may have run, in whole or in part. */
    static final int MAY_HAVE_RUN = 4;
    /** An address could not be reached or gave no usable response. */
    static final int UNAVAILABLE = 5;

    private ExitCode() {}

    static int of(Outcome outcome) {
        return switch (outcome) {
            case COMPLETE -> OK;
            case NOT_RUN -> NOT_RUN;
            case MAY_HAVE_RUN -> MAY_HAVE_RUN;
        };
    }

    static int of(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST, BODY_TOO_LARGE, BAD_SETTINGS -> USAGE;
            case NOT_FOUND, INTERNAL -> FAILED;
            default -> UNAVAILABLE;
        };
    }
}
