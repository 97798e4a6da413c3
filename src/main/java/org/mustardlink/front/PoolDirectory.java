package org.mustardlink.front;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;

/** What a front knows of pools and their masters. */
public interface PoolDirectory {
    /** Returns the pools of a service. */
    ImmutableList<PoolId> pools(String service);

    /** Returns the live master of a pool. */
    Optional<Claim> master(PoolId pool, long now);

    /** Returns the last load that a pool's master told. */
    PoolLoad load(PoolId pool);

    /** Returns whether a pool may be able to start the whole first step of a job now, as far as is known. */
    default boolean mayHaveCapacity(PoolId pool, JobOrder order, long now) {
        return load(pool).holds(order);
    }
}
