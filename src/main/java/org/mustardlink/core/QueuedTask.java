package org.mustardlink.core;

/**
 * A task as a placement policy sees it.
 *
 * @param spec what the caller asked for
 * @param work expected run time on a target of speed 1, in milliseconds
 * @param workAhead expected work of the queued tasks whose turn comes before, in milliseconds at speed 1
 * @param slackMs time from now until the rest of its job is expected to end, in milliseconds; 0 for a task that alone
 *     decides when its job ends
 * @param jobSize tasks of its job
 * @param error expected error of {@code work}, as a standard deviation of the logarithm
 */
public record QueuedTask(TaskSpec spec, double work, double workAhead, double slackMs, int jobSize, double error) {}
