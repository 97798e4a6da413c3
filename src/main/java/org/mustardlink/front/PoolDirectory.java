package org.mustardlink.front;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;

/** The pools, masters and loads that an entry host knows. */
public interface PoolDirectory {
    /** Returns the pools of a service. */
    ImmutableList<PoolId> pools(String service);

    /** Returns the claim of the live master of a pool. */
    Optional<Claim> master(PoolId pool, long now);

    /** Returns the load that the master of a pool reported last. */
    PoolLoad load(PoolId pool);

    /**
     * Returns whether a pool can probably start the whole first step of a job now, judged by the last reported load.
     */
    default boolean mayHaveCapacity(PoolId pool, JobOrder order, long now) {
        return load(pool).coversFirstStep(order);
    }
}
