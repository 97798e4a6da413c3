package org.mustardlink.claims;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds on claims.
 *
 * @param maxKeyAge age beyond which a key is refused; the log must keep claims for at least a minute longer
 * @param maxClockSkew how far in the future a key's time may be
 * @param maxClaims claims kept in memory; the oldest keys beyond it are refused as expired
 * @param maxPending keys waiting for their claim at once
 * @param maxBatch claims in one append
 * @param settleTimeout longest time that a submission waits for its claim to be read back
 * @param retryAfter when to come back with a key whose claim is not settled
 */
public record ClaimSettings(
        Duration maxKeyAge,
        Duration maxClockSkew,
        int maxClaims,
        int maxPending,
        int maxBatch,
        Duration settleTimeout,
        Duration retryAfter) {
    public ClaimSettings {
        checkArgument(maxKeyAge.toMillis() > 0, "maxKeyAge must be positive: %s", maxKeyAge);
        checkArgument(!maxClockSkew.isNegative(), "maxClockSkew must not be negative: %s", maxClockSkew);
        checkArgument(maxClaims > 0, "maxClaims must be positive: %s", maxClaims);
        checkArgument(maxPending > 0, "maxPending must be positive: %s", maxPending);
        checkArgument(maxBatch > 0, "maxBatch must be positive: %s", maxBatch);
        checkArgument(settleTimeout.toMillis() > 0, "settleTimeout must be positive: %s", settleTimeout);
        checkArgument(retryAfter.toMillis() > 0, "retryAfter must be positive: %s", retryAfter);
    }

    /** Returns the default bounds. 50,000 claims take about 15 MB of heap. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                Duration.ofMinutes(10),
                Duration.ofMinutes(1),
                50_000,
                10_000,
                500,
                Duration.ofSeconds(2),
                Duration.ofSeconds(1));
    }
}
