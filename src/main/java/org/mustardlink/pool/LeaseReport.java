package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What a target answers to a {@link LeaseExtension}.
 *
 * @param clockMs the target's steady clock
 * @param startTimeMs start of the target's life in milliseconds since the epoch, 0 if it isn't told
 * @param running what runs
 * @param ended what has ended and isn't acknowledged
 */
public record LeaseReport(
        long clockMs, long startTimeMs, ImmutableList<RunProgress> running, ImmutableList<RunEnd> ended) {
    public LeaseReport {
        checkNotNull(running, "running");
        checkNotNull(ended, "ended");
    }

    /**
     * A run that is present.
     *
     * @param run the run
     * @param percent share of its work that is done, 0 to 100
     */
    public record RunProgress(RunId run, int percent) {}

    /**
     * The end of a run.
     *
     * @param sequenceNumber number of the end within the target's life, from 1
     * @param run the run
     * @param outcome how it ended
     */
    public record RunEnd(long sequenceNumber, RunId run, RunOutcome outcome) {}

    /** How a run ended. */
    public enum RunOutcome {
        DONE,
        /** Through the task's fault or the target's. */
        FAILED,
        STOPPED,
        /** The lease expired. */
        LAPSED,
        /** Another member of the gang ended, or the others didn't come. */
        BROKEN
    }
}
