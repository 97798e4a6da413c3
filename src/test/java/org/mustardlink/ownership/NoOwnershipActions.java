package org.mustardlink.ownership;

import org.mustardlink.pool.PoolId;

/** Carries no decision out, for tests of what surrounds {@link PoolOwnership}. */
public final class NoOwnershipActions implements OwnershipActions {
    @Override
    public void writeClaim(Claim _claim) {}

    @Override
    public void probe(PoolId _pool) {}

    @Override
    public void acquired(Claim _claim) {}

    @Override
    public void released(PoolId _pool, String _why) {}
}
