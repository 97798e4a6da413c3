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
 * The order in which hosts claim a pool, the same on every host that knows the same hosts and claims.
 *
 * <p>Hosts of the pool's domain come first, those with more processors before the others; these two make a host's rank.
 */
final class ClaimOrder {
    /** Hosts that watch a pool's master at least; with so many lost at once the next one notices two seconds later. */
    private static final int MIN_CANDIDATES = 4;

    private ClaimOrder() {}

    /**
     * Returns whether a host comes before others. Of hosts of one rank the one with fewest pools does, and of those the next
     * one in a circle that starts at another host for each shard.
     *
     * @param poolCount number of pools of which a host is the master
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

    /** Returns the hosts that may claim a pool next: those of the first rank, and some more if they are few. */
    static ImmutableSet<String> candidates(PoolId pool, Stream<HostInfo> hosts) {
        List<HostInfo> allHosts = hosts.collect(Collectors.toCollection(ArrayList::new));
        List<HostInfo> localHosts = new ArrayList<>();
        for (HostInfo host : allHosts) {
            if (host.domain().equals(pool.domain())) {
                localHosts.add(host);
            }
        }
        // Hosts of the domain come first, so the others needn't be put in order if these are enough.
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
                .thenComparing(host -> tieBreaker(pool.whole(), host.id()))
                .thenComparing(HostInfo::id);
    }

    /** Spreads the pools of a domain over equal hosts. */
    private static long tieBreaker(PoolId pool, String host) {
        return Hashing.murmur3_128()
                .hashString(pool + "@" + host, StandardCharsets.UTF_8)
                .asLong();
    }
}
