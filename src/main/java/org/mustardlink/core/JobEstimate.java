package org.mustardlink.core;

/**
 * Expected waiting and run time of a newly submitted job.
 *
 * @param waitMs expected time until the first task is started, in milliseconds
 * @param runMs expected time from then until the last task ends, in milliseconds
 * @param deadlineMs time until the deadline of the job, in milliseconds
 * @param logError standard error of the logarithm of the run time
 */
public record JobEstimate(double waitMs, double runMs, double deadlineMs, double logError) {}
