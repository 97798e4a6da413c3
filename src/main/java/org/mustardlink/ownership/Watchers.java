package org.mustardlink.ownership;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.mustardlink.pool.PoolId;

/**
 * Chooses the hosts that act at once when this one falls silent.
 *
 * <p>They are the masters that run its callers' jobs; for one that may become a master, the others that may, in its domain;
 * for a master, the hosts of its pools' domains and some masters elsewhere. Their number follows the hosts of one domain,
 * not all hosts. Everyone else may notice later: a job goes on with the claim of its pool's next master, which each host reads
 * from the store.
 */
public final class Watchers {
    /** Masters of other domains that hear a master's loads often; jobs are handed over to the one with most room. */
    private static final int FOREIGN_MASTERS = 8;

    private Watchers() {}

    /**
     * Returns the hosts that have to notice the end of this one at once: known ones, without itself.
     *
     * @param self this host
     * @param ownership what this host knows of others and their claims
     * @param mastersInUse hosts that run jobs which this one waits for
     * @param now the time in nanoseconds
     */
    public static ImmutableSet<String> of(HostInfo self, PoolOwnership ownership, Set<String> mastersInUse, long now) {
        Set<String> watchers = new HashSet<>(mastersInUse);
        Set<String> domains = new HashSet<>();
        ownership.ownClaims().forEach(claim -> domains.add(claim.pool().domain()));
        boolean master = !domains.isEmpty();
        for (PoolId pool : ownership.pools()) {
            // The shards of a domain have the same candidates.
            if (pool.domain().equals(self.domain()) && pool.shard() == 0) {
                Set<String> candidates = ownership.candidates(pool, now);
                if (master || candidates.contains(self.id())) {
                    watchers.addAll(candidates);
                    domains.add(self.domain());
                }
            }
        }
        ownership.claims().stream()
                .filter(claim -> domains.contains(claim.pool().domain()))
                .forEach(claim -> watchers.add(claim.host()));
        if (master) {
            ownership.hosts().stream()
                    .filter(host -> domains.contains(host.domain()))
                    .forEach(host -> watchers.add(host.id()));
            ownership.claims().stream()
                    .map(Claim::host)
                    .filter(host -> !watchers.contains(host))
                    .distinct()
                    .limit(FOREIGN_MASTERS)
                    .forEach(watchers::add);
        }
        // A claim may outlive its host, or be read before the host is known.
        return ownership.hosts().stream()
                .map(HostInfo::id)
                .filter(watchers::contains)
                .collect(ImmutableSet.toImmutableSet());
    }
}
