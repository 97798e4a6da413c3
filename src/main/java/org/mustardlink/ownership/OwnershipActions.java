package org.mustardlink.ownership;

import org.mustardlink.pool.PoolId;

/** Carries out the decisions of a {@link PoolOwnership}. */
public interface OwnershipActions {
    /**
     * Appends a claim to the platform's log, on the condition that no claim has been appended since the last one that
     * this host has read. The outcome is reported through {@link PoolOwnership#completeClaimWrite}.
     */
    void writeClaim(Claim claim);

    /**
     * Sends a request to one target of a pool to see whether it can be reached. Any answer is reported through
     * {@link PoolOwnership#recordTargetAnswer}.
     */
    void probePool(PoolId pool);

    /** Starts acting as the master of a pool. */
    void startMaster(Claim claim);

    /**
     * Stops acting as the master of a pool.
     *
     * @param reason the reason, for the log; names the superseding claim if there is one
     */
    void stopMaster(PoolId pool, String reason);
}
