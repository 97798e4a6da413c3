package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Times that the platform guarantees for targets.
 *
 * @param maxLease longest lease that a target grants
 */
public record LeaseLimits(Duration maxLease) {
    public LeaseLimits {
        checkArgument(maxLease.toMillis() > 0, "lease must be at least a millisecond: %s", maxLease);
    }
}
