package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits of leases that the platform guarantees for targets.
 *
 * @param maxLease longest duration of a lease that a target accepts
 */
public record LeaseLimits(Duration maxLease) {
    public LeaseLimits {
        checkArgument(maxLease.toMillis() > 0, "maxLease must be at least 1 ms: %s", maxLease);
    }
}
