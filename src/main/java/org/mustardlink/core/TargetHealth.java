package org.mustardlink.core;

/**
 * What was seen of one target's failures.
 *
 * @param suspicion failures less half of the successes since, never below 0
 * @param probing whether the target was ejected and has not yet shown by real tasks that it works
 * @param ejections earlier ejections since the target last worked for long
 * @param ejectedShare share of the service's targets that would be ejected with this one, 0 to 1
 */
public record TargetHealth(double suspicion, boolean probing, int ejections, double ejectedShare) {}
