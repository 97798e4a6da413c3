package org.mustardlink.ownership;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.mustardlink.pool.PoolId;

/**
 * Chooses the hosts that act at once when this one falls silent.
 *
 * <p>They are the first successors of each pool of its domain, the masters that run its callers' jobs and, for a master,
 * the other masters and the hosts of its pools' domains. Their number follows the pools and the hosts of one domain, not
 * all hosts. Everyone else may notice later: a job goes on with the claim of its pool's next master, which each host reads
 * from the store.
 */
public final class Watchers {
    /** Successors of a pool that watch its master; with so many lost at once the next one follows a second later. */
    static final int SUCCESSORS = 4;

    private Watchers() {}

    /**
     * Returns the hosts that have to notice the end of this one at once, without itself.
     *
     * @param self this host
     * @param ownership what this host knows of others and their claims
     * @param mastersInUse hosts that run jobs which this one waits for
     * @param now the time in nanoseconds
     */
    public static ImmutableSet<String> of(HostInfo self, PoolOwnership ownership, Set<String> mastersInUse, long now) {
        Set<String> watchers = new HashSet<>(mastersInUse);
        Set<String> domains = new HashSet<>();
        domains.add(self.domain());
        ownership.ownClaims().forEach(claim -> domains.add(claim.pool().domain()));
        for (PoolId pool : ownership.pools()) {
            if (domains.contains(pool.domain())) {
                ownership.successors(pool, SUCCESSORS, now).forEach(host -> watchers.add(host.id()));
            }
        }
        boolean master = !ownership.ownClaims().isEmpty();
        for (Claim claim : ownership.claims()) {
            if (master || claim.pool().domain().equals(self.domain())) {
                watchers.add(claim.host());
            }
        }
        if (master) {
            ownership.hosts().stream()
                    .filter(host -> domains.contains(host.domain()))
                    .forEach(host -> watchers.add(host.id()));
        }
        watchers.remove(self.id());
        return ImmutableSet.copyOf(watchers);
    }
}
