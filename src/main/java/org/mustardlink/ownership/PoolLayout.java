package org.mustardlink.ownership;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.pool.PoolId;

/**
 * Divides the targets of a service in a failure domain into shards, so that a master's work doesn't grow with the fleet.
 *
 * <p>The claim with the highest round decides into how many shards: claims are appended on a condition, so that hosts which
 * count differently soon agree, and the fences of targets keep two masters apart until they do.
 */
public final class PoolLayout {
    /** Targets of a shard; with 12 ends a second on each, a master spends about a third of a core on them. */
    static final int TARGETS_PER_SHARD = 20;
    /** Targets relative to {@link #TARGETS_PER_SHARD} from which a domain is divided anew; a day's additions are below it. */
    private static final int RESHARD_FACTOR = 2;

    private PoolLayout() {}

    /**
     * Returns the pools into which targets are divided.
     *
     * @param targetCounts number of targets by service and failure domain
     * @param claims the newest claims of all pools
     */
    public static ImmutableSet<PoolId> pools(Map<PoolId, Integer> targetCounts, Collection<Claim> claims) {
        ImmutableSet.Builder<PoolId> pools = ImmutableSet.builder();
        targetCounts.forEach((unsharded, count) -> {
            int shardCount = shardCount(unsharded, count, claims);
            for (int shard = 0; shard < shardCount; shard++) {
                pools.add(new PoolId(unsharded.service(), unsharded.domain(), shard, shardCount));
            }
        });
        return pools.build();
    }

    private static int shardCount(PoolId unsharded, int targetCount, Collection<Claim> claims) {
        int desiredShards = (targetCount + TARGETS_PER_SHARD - 1) / TARGETS_PER_SHARD;
        Optional<Integer> claimedShards = claims.stream()
                .filter(claim -> claim.pool().whole().equals(unsharded))
                .max(Comparator.comparingInt(Claim::round).thenComparingLong(Claim::incarnation))
                .map(claim -> claim.pool().shards());
        boolean outgrown = claimedShards.isPresent() && desiredShards >= RESHARD_FACTOR * claimedShards.get();
        return claimedShards.isEmpty() || outgrown ? desiredShards : claimedShards.get();
    }
}
