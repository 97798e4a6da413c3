package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * The id of a pool: the targets of one service in one failure domain, or one of several shards of them.
 *
 * @param service the service
 * @param domain the failure domain
 * @param shard number of the shard, from 0
 * @param shards number of shards into which the targets are divided
 */
public record PoolId(String service, String domain, int shard, int shards) implements Comparable<PoolId> {
    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final Comparator<PoolId> ORDER = Comparator.comparing(PoolId::service)
            .thenComparing(PoolId::domain)
            .thenComparingInt(PoolId::shards)
            .thenComparingInt(PoolId::shard);

    public PoolId {
        checkNotNull(service, "service");
        checkNotNull(domain, "domain");
        checkArgument(shard >= 0 && shard < shards, "shard %s out of range: pool has %s shards", shard, shards);
    }

    /** Creates the id of the pool of all targets of a service in a failure domain. */
    public PoolId(String service, String domain) {
        this(service, domain, 0, 1);
    }

    /** Returns the id of the pool of all targets of the service in the failure domain, without shards. */
    public PoolId unsharded() {
        return shards == 1 ? this : new PoolId(service, domain);
    }

    /**
     * Returns whether a target of the service in the domain belongs to this shard. Hashing is consistent, so that few
     * targets move to another shard when shards are added.
     */
    public boolean contains(String target) {
        return shards == 1 || Hashing.consistentHash(HASH.hashString(target, StandardCharsets.UTF_8), shards) == shard;
    }

    @Override
    public int compareTo(PoolId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return shards == 1 ? service + '/' + domain : service + '/' + domain + '/' + shard + "of" + shards;
    }

    // Written by hand, because this is a hash key on the path of every job, and the generated methods of records are
    // several times slower without the C2 compiler.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof PoolId other
                        && shard == other.shard
                        && shards == other.shards
                        && domain.equals(other.domain)
                        && service.equals(other.service));
    }

    @Override
    public int hashCode() {
        return ((31 * service.hashCode() + domain.hashCode()) * 31 + shard) * 31 + shards;
    }
}
