package org.mustardlink.claims;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits and time-outs of claims.
 *
 * @param maxKeyAge age beyond which a key is rejected as expired; the log must keep claims at least a minute longer
 * @param maxClockSkew maximum time by which the creation time of a key may be in the future
 * @param maxClaims maximum number of claims kept in memory; the oldest keys beyond it are rejected as expired
 * @param maxPending maximum number of keys with a pending claim
 * @param maxBatch maximum number of claims in one append
 * @param settleTimeout maximum time that a submission waits until its claim has been read back
 * @param retryAfter delay after which a caller should retry a key whose claim was not settled
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

    /** Returns the default settings. 50,000 claims take about 15 MB of heap. */
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
