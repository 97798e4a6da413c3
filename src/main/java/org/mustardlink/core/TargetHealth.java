package org.mustardlink.core;

/**
 * Recent failures and ejections of one target.
 *
 * @param suspicion suspicion level: 1 is added per failure and 0.5 subtracted per success, down to 0
 * @param probing whether the target was ejected and has not completed enough tasks since
 * @param ejections number of ejections, reset after the target has worked for several minutes since the last one
 * @param ejectedShare fraction of the targets of the service that are ejected if this one is, 0 to 1
 */
public record TargetHealth(double suspicion, boolean probing, int ejections, double ejectedShare) {}
