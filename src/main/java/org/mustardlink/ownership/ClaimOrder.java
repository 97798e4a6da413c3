package org.mustardlink.ownership;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mustardlink.pool.PoolId;

/**
 * The order in which hosts claim a pool. Hosts that know the same hosts and claims compute the same order.
 *
 * <p>The rank of a host follows from its domain and CPU: hosts in the domain of the pool come before all others, and
 * within each of these two groups hosts with more CPU come first.
 */
final class ClaimOrder {
    /**
     * Minimum number of hosts that monitor the master of a pool closely. If all of them are lost at once, the next host
     * detects the loss two seconds later.
     */
    private static final int MIN_CANDIDATES = 4;

    private ClaimOrder() {}

    /**
     * Returns whether {@code self} comes before all other hosts. Among hosts of the same rank, the one with the fewest
     * pools comes first; ties are broken round-robin, starting at a different host for each shard.
     *
     * @param poolCount returns the number of pools of which a host is the master
     */
    static boolean isFirst(HostInfo self, PoolId pool, Stream<HostInfo> others, ToIntFunction<HostInfo> poolCount) {
        Comparator<HostInfo> rank = rank(pool);
        List<HostInfo> sameRank = new ArrayList<>();
        sameRank.add(self);
        for (HostInfo other : (Iterable<HostInfo>) others::iterator) {
            int comparison = rank.compare(other, self);
            if (comparison < 0) {
                return false;
            }
            if (comparison == 0) {
                sameRank.add(other);
            }
        }
        sameRank.sort(claimOrder(pool));
        int start = pool.shard() % sameRank.size();
        return sameRank.stream()
                .min(Comparator.comparingInt(poolCount)
                        .thenComparingInt(host -> Math.floorMod(sameRank.indexOf(host) - start, sameRank.size())))
                .filter(self::equals)
                .isPresent();
    }

    /** Returns the hosts that may claim a pool next: those of the first rank, and more if there are few of them. */
    static ImmutableSet<String> candidates(PoolId pool, Stream<HostInfo> hosts) {
        List<HostInfo> allHosts = hosts.collect(Collectors.toCollection(ArrayList::new));
        List<HostInfo> localHosts = new ArrayList<>();
        for (HostInfo host : allHosts) {
            if (host.domain().equals(pool.domain())) {
                localHosts.add(host);
            }
        }
        // Hosts in the domain of the pool come first. If there are enough of them, the others needn't be sorted.
        List<HostInfo> ordered = localHosts.size() >= MIN_CANDIDATES ? localHosts : allHosts;
        ordered.sort(claimOrder(pool));
        Comparator<HostInfo> rank = rank(pool);
        ImmutableSet.Builder<String> candidates = ImmutableSet.builder();
        for (int i = 0; i < ordered.size(); i++) {
            if (i < MIN_CANDIDATES || rank.compare(ordered.get(i), ordered.get(0)) == 0) {
                candidates.add(ordered.get(i).id());
            }
        }
        return candidates.build();
    }

    private static Comparator<HostInfo> rank(PoolId pool) {
        return Comparator.<HostInfo, Boolean>comparing(host -> !host.domain().equals(pool.domain()))
                .thenComparing(host -> -host.cpuMillis());
    }

    private static Comparator<HostInfo> claimOrder(PoolId pool) {
        return rank(pool)
                .thenComparing(host -> tieBreaker(pool.unsharded(), host.id()))
                .thenComparing(HostInfo::id);
    }

    /** Returns a hash that spreads the pools of a domain over hosts of equal rank. */
    private static long tieBreaker(PoolId pool, String host) {
        return Hashing.murmur3_128()
                .hashString(pool + "@" + host, StandardCharsets.UTF_8)
                .asLong();
    }
}
