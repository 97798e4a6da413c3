package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.mustardlink.pool.PoolId;

/**
 * How often this host sends heartbeats to each other host, depending on how soon the other host must detect
 * its failure.
 *
 * <p>The number of hosts that must detect the failure within a second grows with the hosts of one domain, not with all
 * hosts. All others may detect it later, because a job continues under the claim of the pool's next master, which each
 * host reads from the store.
 *
 * @param masterOrCandidate whether this host is the master of a pool or may become one, and so must detect failures of
 *     others soon
 * @param urgent the hosts that may take over pools of this host, and the masters that hand over jobs based on the load
 *     that this host reports
 * @param frequent further hosts: the masters that run jobs of this host's callers, and the hosts that may compete with
 *     this host for a pool
 * @param usual further hosts to which the connection must be known to work: masters, hosts of this host's domain, and
 *     if this host is a master all hosts
 */
public record HeartbeatSchedule(
        boolean masterOrCandidate,
        ImmutableSet<String> urgent,
        ImmutableSet<String> frequent,
        ImmutableSet<String> usual) {
    /**
     * Used before any pool is known: no host needs to detect the failure of this one, and this host may become
     * a master.
     */
    public static final HeartbeatSchedule INITIAL =
            new HeartbeatSchedule(true, ImmutableSet.of(), ImmutableSet.of(), ImmutableSet.of());

    /** Heartbeat interval for the hosts that must detect the failure of this host immediately. */
    public static final Duration URGENT_INTERVAL = Duration.ofMillis(100);
    /**
     * Heartbeat interval for the hosts that must detect the failure of this host within a second, before its callers
     * resend their jobs. Two heartbeats may be lost.
     */
    public static final Duration FREQUENT_INTERVAL = Duration.ofMillis(300);
    /**
     * Heartbeat interval for the hosts to which the connection must be known to work. Each such host adds one message
     * every two seconds.
     */
    public static final Duration USUAL_INTERVAL = Duration.ofSeconds(2);
    /**
     * Heartbeat interval for all other hosts, which only need to know that this host exists. Each such host adds one
     * message every ten seconds.
     */
    public static final Duration RARE_INTERVAL = Duration.ofSeconds(10);

    /**
     * Maximum number of masters of other domains that receive the load of a master at the urgent interval. Jobs are
     * handed over to the master with the most free capacity.
     */
    private static final int MAX_REMOTE_MASTERS = 8;

    public HeartbeatSchedule {
        checkNotNull(urgent, "urgent");
        checkNotNull(frequent, "frequent");
        checkNotNull(usual, "usual");
    }

    /**
     * Returns the schedule that follows from the known hosts and claims. It contains only known hosts and never
     * this host.
     *
     * @param self this host
     * @param ownership the hosts and claims that this host knows
     * @param mastersInUse hosts that run jobs for callers of this host
     * @param now the current time in nanoseconds
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
        // The host of a claim may be gone, or not be known yet when the claim is read.
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

    /** Returns the interval between heartbeats to a host. */
    public Duration heartbeatInterval(String host) {
        if (urgent.contains(host)) {
            return URGENT_INTERVAL;
        }
        if (frequent.contains(host)) {
            return FREQUENT_INTERVAL;
        }
        return usual.contains(host) ? USUAL_INTERVAL : RARE_INTERVAL;
    }

    /** Returns whether a host must detect the failure of this one within a second. */
    public boolean mustDetectFailureSoon(String host) {
        return urgent.contains(host) || frequent.contains(host);
    }

    /** Returns this schedule with {@code host} added to the frequent hosts, unless it is urgent or frequent already. */
    public HeartbeatSchedule withFrequentHost(String host) {
        return mustDetectFailureSoon(host)
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
