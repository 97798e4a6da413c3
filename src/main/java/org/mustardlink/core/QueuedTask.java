package org.mustardlink.core;

/**
 * Properties of a queued task that a placement policy may use.
 *
 * @param spec payload and declared run time
 * @param workMs expected run time on a target of speed 1, in milliseconds
 * @param workAheadMs expected work of the queued tasks ahead of this one, in milliseconds at speed 1
 * @param slackMs time until the other tasks of the job are expected to end, in milliseconds; 0 for the task that
 *     determines the end of the job
 * @param jobSize number of tasks of the job
 * @param logError standard error of the logarithm of {@code workMs}
 */
public record QueuedTask(
        TaskSpec spec, double workMs, double workAheadMs, double slackMs, int jobSize, double logError) {}
