package org.mustardlink.core;

/**
 * What is expected of a job that just arrived.
 *
 * @param waitMs time until its turn comes, in milliseconds
 * @param runMs time from then until its last task ends, in milliseconds
 * @param deadlineMs time until its deadline, in milliseconds
 * @param logError expected error of the run time, as a standard deviation of the logarithm
 */
public record JobEstimate(double waitMs, double runMs, double deadlineMs, double logError) {}
