package org.mustardlink.ownership;

import org.mustardlink.pool.PoolId;

/** Carries out the decisions of a {@link PoolOwnership}. */
public interface OwnershipActions {
    /**
     * Writes a claim to the platform's log, on the condition that no other claim came since the last one that was read.
     * The outcome is reported through {@link PoolOwnership#claimAnswered}.
     */
    void writeClaim(Claim claim);

    /** Asks one target of a pool for any answer; an answer is reported through {@link PoolOwnership#reached}. */
    void probe(PoolId pool);

    /** Starts to act as the master of a pool. */
    void acquired(Claim claim);

    /** Stops to act as the master of a pool; the claim that supersedes ours is told, if there is one. */
    void released(PoolId pool, String why);
}
