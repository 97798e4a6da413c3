package org.mustardlink.ownership;

import org.mustardlink.pool.PoolId;

/** Ignores all decisions, for tests of code that uses a {@link PoolOwnership}. */
public final class NoOpOwnershipActions implements OwnershipActions {
    @Override
    public void writeClaim(Claim _claim) {}

    @Override
    public void probePool(PoolId _pool) {}

    @Override
    public void startMaster(Claim _claim) {}

    @Override
    public void stopMaster(PoolId _pool, String _reason) {}
}
