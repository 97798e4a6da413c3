package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import org.mustardlink.pool.PoolId;

/**
 * A host's claim to be the master of a pool.
 *
 * @param pool the pool
 * @param host the host
 * @param incarnation the host's incarnation
 * @param round the round of the fencing tokens that are issued under the claim; a higher round supersedes a lower one
 */
public record Claim(PoolId pool, String host, long incarnation, int round) {
    public Claim {
        checkNotNull(pool, "pool");
        checkNotNull(host, "host");
    }

    /** Returns whether this claim supersedes {@code other}, a claim to the same pool. */
    public boolean supersedes(Claim other) {
        return round != other.round ? round > other.round : incarnation > other.incarnation;
    }

    /** Returns whether the claim was made by the given incarnation of a host. */
    public boolean isHeldBy(HostInfo info) {
        return host.equals(info.id()) && incarnation == info.incarnation();
    }

    // Claims are map keys on the path of every job. The generated methods of a record are several times slower when the
    // JVM runs without its second compiler (C2).
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof Claim other
                        && round == other.round
                        && incarnation == other.incarnation
                        && host.equals(other.host)
                        && pool.equals(other.pool));
    }

    @Override
    public int hashCode() {
        return (31 * pool.hashCode() + Long.hashCode(incarnation)) * 31 + round;
    }
}
