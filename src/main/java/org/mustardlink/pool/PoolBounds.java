package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Times that the platform guarantees for targets.
 *
 * @param lease longest lease that a target grants
 */
public record PoolBounds(Duration lease) {
    public PoolBounds {
        checkArgument(lease.toMillis() > 0, "lease must be at least a millisecond: %s", lease);
    }
}
