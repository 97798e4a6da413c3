package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A target's response to a {@link LeaseExtension}.
 *
 * @param clockMs reading of the target's monotonic clock, in milliseconds
 * @param startTimeMs start of the target's process in milliseconds since the epoch, 0 if the target doesn't report it
 * @param running runs that are present
 * @param ended runs that have ended and aren't acknowledged yet
 */
public record LeaseReport(
        long clockMs, long startTimeMs, ImmutableList<RunProgress> running, ImmutableList<RunEnd> ended) {
    public LeaseReport {
        checkNotNull(running, "running");
        checkNotNull(ended, "ended");
    }

    /**
     * Progress of a run that is present.
     *
     * @param run the run
     * @param percent completed share of its work, 0 to 100
     */
    public record RunProgress(RunId run, int percent) {}

    /**
     * The end of a run.
     *
     * @param sequenceNumber number of the end within the target's process, from 1
     * @param run the run
     * @param outcome how it ended
     */
    public record RunEnd(long sequenceNumber, RunId run, RunOutcome outcome) {}

    /** How a run ended. */
    public enum RunOutcome {
        DONE,
        /** The task failed, by its own fault or that of the target. */
        FAILED,
        STOPPED,
        /** The lease expired. */
        LAPSED,
        /** Another member of the gang, the tasks that must run together with this one, ended or didn't start. */
        BROKEN
    }
}
