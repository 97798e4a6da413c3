package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;

/**
 * The entry of a target in the platform's list of targets.
 *
 * @param id id of the target
 * @param startTimeMs start of the target's process in milliseconds since the epoch; changes when a target restarts with
 *     the same id
 * @param address address at which the target accepts orders
 * @param pool pool of all targets of its service in its failure domain
 * @param draining whether the target is shutting down and accepts no new tasks
 * @param capacity total resources of the target
 * @param labels labels of the target: its kind, then its rack
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

    /** Returns the kind of the target, which is its first label; empty if the platform lists no labels. */
    public String kind() {
        return labels.isEmpty() ? "" : labels.asList().get(0);
    }

    // Written by hand, because every entry is compared whenever the list is read: the generated methods of records are
    // several times slower without the C2 compiler, and linking them adds to the start-up time of a host.
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
