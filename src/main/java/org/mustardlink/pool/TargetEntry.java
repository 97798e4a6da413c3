package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;

/**
 * What a target says about itself in the platform's list.
 *
 * @param id name of this life of the target
 * @param startTimeMs start of this life in milliseconds since the epoch; differs when a target starts again under its id
 * @param address where it takes orders
 * @param pool all targets of its service in its failure domain
 * @param draining whether it is leaving and takes no new tasks
 * @param capacity all of its resources
 * @param labels its kind and its rack
 */
public record TargetEntry(
        String id,
        long startTimeMs,
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

    /** Returns the kind of target, empty if the platform lists no labels. */
    public String kind() {
        return labels.isEmpty() ? "" : labels.asList().get(0);
    }

    // Compared for each target whenever the list is read: generated methods of records are several times slower without
    // the
    // second compiler, and linking them takes a part of a host's start.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof TargetEntry other
                        && startTimeMs == other.startTimeMs
                        && draining == other.draining
                        && id.equals(other.id)
                        && address.equals(other.address)
                        && pool.equals(other.pool)
                        && capacity.equals(other.capacity)
                        && labels.equals(other.labels));
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(startTimeMs);
    }
}
