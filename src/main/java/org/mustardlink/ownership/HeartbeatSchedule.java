package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.mustardlink.pool.PoolId;

/**
 * The hosts that have to notice the end of this one, by how soon, and how often they hear of it.
 *
 * <p>Those that have to notice within a second follow the hosts of one domain in number, not all hosts. Everyone else may notice
 * later: a job goes on with the claim of its pool's next master, which each host reads from the store.
 *
 * @param masterOrCandidate whether this host is the master of a pool or may become one, and so has to notice the end of others soon
 * @param urgent the hosts that may take this one's pools over, and masters that hand jobs over by the loads it tells
 * @param frequent further hosts: the masters that run its callers' jobs, and those that may compete with it for a pool
 * @param usual further hosts that need a link which is known to work: masters, hosts of its domain, and for a master everyone
 */
public record HeartbeatSchedule(
        boolean masterOrCandidate,
        ImmutableSet<String> urgent,
        ImmutableSet<String> frequent,
        ImmutableSet<String> usual) {
    /** Before anything is known of pools: no one has to notice this host's end, and it may become a master. */
    public static final HeartbeatSchedule INITIAL =
            new HeartbeatSchedule(true, ImmutableSet.of(), ImmutableSet.of(), ImmutableSet.of());

    /** Interval of heartbeats to the hosts that have to notice this one's end at once. */
    public static final Duration URGENT_INTERVAL = Duration.ofMillis(100);
    /**
     * Interval of heartbeats to the hosts that have to notice this one's end within a second, before its callers send their
     * jobs again: two may be lost.
     */
    public static final Duration FREQUENT_INTERVAL = Duration.ofMillis(300);
    /**
     * Interval of heartbeats to the hosts that need a link which is known to work; with it a host sends one message more in
     * two seconds for each further host.
     */
    public static final Duration USUAL_INTERVAL = Duration.ofSeconds(2);
    /**
     * Interval of heartbeats to all others, which only tell that the host is there. With it a host sends one message more in
     * ten seconds for each further host.
     */
    public static final Duration RARE_INTERVAL = Duration.ofSeconds(10);

    /** Masters of other domains that hear a master's loads often; jobs are handed over to the one with most room. */
    private static final int MAX_REMOTE_MASTERS = 8;

    public HeartbeatSchedule {
        checkNotNull(urgent, "urgent");
        checkNotNull(frequent, "frequent");
        checkNotNull(usual, "usual");
    }

    /**
     * Returns the hosts that have to notice the end of this one soon: known ones, without itself.
     *
     * @param self this host
     * @param ownership what this host knows of others and their claims
     * @param mastersInUse hosts that run jobs which this one waits for
     * @param now the time in nanoseconds
     */
    public static HeartbeatSchedule of(HostInfo self, PoolOwnership ownership, Set<String> mastersInUse, long now) {
        Set<String> urgent = new HashSet<>();
        Set<String> frequent = new HashSet<>(mastersInUse);
        Set<String> ownedDomains = new HashSet<>();
        ownership.ownClaims().forEach(claim -> ownedDomains.add(claim.pool().domain()));
        boolean isMaster = !ownedDomains.isEmpty();
        boolean isCandidate = false;
        for (PoolId pool : ownership.pools()) {
            // The shards of a domain have the same candidates.
            boolean isOwnDomain = pool.domain().equals(self.domain());
            if (pool.shard() == 0 && (isOwnDomain || ownedDomains.contains(pool.domain()))) {
                Set<String> candidates = ownership.candidates(pool, now);
                if (ownedDomains.contains(pool.domain())) {
                    urgent.addAll(candidates);
                } else if (isMaster || candidates.contains(self.id())) {
                    frequent.addAll(candidates);
                }
                isCandidate |= isOwnDomain && candidates.contains(self.id());
            }
        }
        for (Claim claim : ownership.claims()) {
            if (ownedDomains.contains(claim.pool().domain())) {
                urgent.add(claim.host());
            } else if ((isMaster || isCandidate) && claim.pool().domain().equals(self.domain())) {
                frequent.add(claim.host());
            }
        }
        if (isMaster) {
            ownership.otherHosts().stream()
                    .filter(host -> ownedDomains.contains(host.domain())
                            || host.domain().equals(self.domain()))
                    .forEach(host -> frequent.add(host.id()));
            ownership.claims().stream()
                    .map(Claim::host)
                    .filter(host -> !urgent.contains(host))
                    .distinct()
                    .limit(MAX_REMOTE_MASTERS)
                    .forEach(urgent::add);
        }
        // A claim may outlive its host, or be read before the host is known.
        ImmutableSet<String> knownHosts =
                ownership.otherHosts().stream().map(HostInfo::id).collect(ImmutableSet.toImmutableSet());
        frequent.removeAll(urgent);
        Set<String> usual = new HashSet<>();
        ownership.claims().forEach(claim -> usual.add(claim.host()));
        for (HostInfo host : ownership.otherHosts()) {
            if (isMaster || host.domain().equals(self.domain())) {
                usual.add(host.id());
            }
        }
        usual.removeAll(urgent);
        usual.removeAll(frequent);
        return new HeartbeatSchedule(
                isMaster || isCandidate,
                Sets.intersection(knownHosts, urgent).immutableCopy(),
                Sets.intersection(knownHosts, frequent).immutableCopy(),
                Sets.intersection(knownHosts, usual).immutableCopy());
    }

    /** Returns the interval of heartbeats to a host. */
    public Duration heartbeatInterval(String host) {
        if (urgent.contains(host)) {
            return URGENT_INTERVAL;
        }
        if (frequent.contains(host)) {
            return FREQUENT_INTERVAL;
        }
        return usual.contains(host) ? USUAL_INTERVAL : RARE_INTERVAL;
    }

    /** Returns whether a host has to notice soon. */
    public boolean mustNoticeSoon(String host) {
        return urgent.contains(host) || frequent.contains(host);
    }

    /** Returns the same with one more frequent host, unless it is one already. */
    public HeartbeatSchedule withFrequentHost(String host) {
        return mustNoticeSoon(host)
                ? this
                : new HeartbeatSchedule(
                        masterOrCandidate,
                        urgent,
                        ImmutableSet.<String>builder()
                                .addAll(frequent)
                                .add(host)
                                .build(),
                        usual);
    }
}
