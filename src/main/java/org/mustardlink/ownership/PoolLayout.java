package org.mustardlink.ownership;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.pool.PoolId;

/**
 * Divides the targets of a service in a failure domain into shards, so that the work of a master doesn't grow with the
 * number of targets.
 *
 * <p>The claim with the highest round determines the number of shards. Hosts may count different numbers of targets;
 * they agree soon, because claims are appended conditionally. Until then the fencing tokens keep two masters from using
 * the same target.
 */
public final class PoolLayout {
    /** Targets per shard. If 12 tasks a second end on each, a master spends about a third of a core on them. */
    static final int TARGETS_PER_SHARD = 20;
    /**
     * Ratio of the desired to the claimed number of shards at which a domain is resharded. The targets that are added
     * within a day stay below it.
     */
    private static final int RESHARD_FACTOR = 2;

    private PoolLayout() {}

    /**
     * Returns the pools into which the targets are divided.
     *
     * @param targetCounts number of targets by service and failure domain
     * @param claims the newest claim of each pool
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
                .filter(claim -> claim.pool().unsharded().equals(unsharded))
                .max(Comparator.comparingInt(Claim::round).thenComparingLong(Claim::incarnation))
                .map(claim -> claim.pool().shards());
        boolean outgrown = claimedShards.isPresent() && desiredShards >= RESHARD_FACTOR * claimedShards.get();
        return claimedShards.isEmpty() || outgrown ? desiredShards : claimedShards.get();
    }
}
