package org.mustardlink.ownership;

import org.mustardlink.pool.PoolId;

/** Carries out the decisions of a {@link PoolOwnership}. */
public interface OwnershipActions {
    /**
     * Writes a claim to the platform's log, on the condition that no other claim came since the last one that was read.
     * The outcome is reported through {@link PoolOwnership#completeClaimWrite}.
     */
    void writeClaim(Claim claim);

    /** Asks one target of a pool for any answer; an answer is reported through {@link PoolOwnership#recordTargetAnswer}. */
    void probePool(PoolId pool);

    /** Starts to act as the master of a pool. */
    void startMaster(Claim claim);

    /** Stops to act as the master of a pool; the claim that supersedes ours is told, if there is one. */
    void stopMaster(PoolId pool, String reason);
}
