package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;

/**
 * What a target says about itself in the platform's list.
 *
 * @param id name of this life of the target
 * @param bornMs start of this life in milliseconds since the epoch; differs when a target starts again under its id
 * @param address where it takes orders
 * @param pool all targets of its service in its failure domain
 * @param draining whether it is leaving and takes no new tasks
 * @param capacity all of its resources
 * @param labels its kind and its rack
 */
public record TargetEntry(
        String id,
        long bornMs,
        InetSocketAddress address,
        PoolId pool,
        boolean draining,
        Capacity capacity,
        ImmutableSet<String> labels) {
    public TargetEntry {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
        checkNotNull(pool, "pool");
        checkNotNull(capacity, "capacity");
        checkNotNull(labels, "labels");
    }
}
