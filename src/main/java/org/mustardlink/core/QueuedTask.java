package org.mustardlink.core;

/**
 * A task as a placement policy sees it.
 *
 * @param spec what the caller asked for
 * @param workMs expected run time on a target of speed 1, in milliseconds
 * @param workAheadMs expected work of the queued tasks whose turn comes before, in milliseconds at speed 1
 * @param slackMs time from now until the rest of its job is expected to end, in milliseconds; 0 for a task that alone
 *     decides when its job ends
 * @param jobSize tasks of its job
 * @param logError expected error of {@code workMs}, as a standard deviation of the logarithm
 */
public record QueuedTask(
        TaskSpec spec, double workMs, double workAheadMs, double slackMs, int jobSize, double logError) {}
