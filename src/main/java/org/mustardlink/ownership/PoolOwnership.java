package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.mustardlink.pool.PoolId;

/**
 * Knows the entry hosts and their claims, and claims the pools that this host should be the master of.
 *
 * <p>Not thread-safe. The first live host in a pool's order claims it: hosts of the pool's own failure domain come first,
 * the ones with more processors before the others. A live master keeps its pool, except that a host of the pool's own
 * domain takes it back from one of another domain, or from one with half of its processors or less.
 */
public final class PoolOwnership {
    /** A host is taken for dead this long after its next heartbeat was due; four of the shortest intervals. */
    private static final long HEARTBEAT_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /**
     * Least silence after which the work of a host's callers is stopped. They send a job again 1.3 s after they have lost it;
     * a stop takes up to 50 ms and must be over by then.
     */
    private static final long ABANDON_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** After its start a host waits this long for others to be heard of, so that the first claim is the lasting one. */
    private static final long DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /** The same for a pool whose master is known to be gone; a heartbeat of a live claimant arrives within it. */
    private static final long MIN_DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** A write of a claim without an answer counts as failed after this long; the store usually answers within 10 ms. */
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** A host of the pool's own domain is up this long before it takes the pool back. */
    private static final long RECLAIM_MIN_UPTIME_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * A pool goes back to a host with this many times the processors of its master. A shard needs a third of a core, which the
     * smallest hosts don't have; a smaller difference isn't worth a handover.
     */
    private static final int RECLAIM_CPU_FACTOR = 2;
    /** Delay of this host's own loop from which it may have missed others' heartbeats; two of the shortest intervals. */
    private static final long LOOP_DELAY_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Without a live peer and without the store a host waits this long before it claims: it may be the one cut off. */
    private static final long ISOLATED_CLAIM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Pause between probes of a pool in another domain, and how long an answer counts. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Another domain's pool answers for this long before it is claimed: after a cut its own hosts are heard within it. */
    private static final long MIN_REACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** A claim that was read this recently shows that its host lives, even if the host isn't heard of yet. */
    private static final long FRESH_CLAIM_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time for a superseding claim to be heard of after a target has refused our token. */
    private static final long FENCED_RECLAIM_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * Hosts that haven't been heard of for this long don't keep another domain's pool from being claimed, whenever their next
     * heartbeat is due. Those of the pool's own domain would have claimed it within a second.
     */
    private static final long REMOTE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private final HostInfo self;
    private final OwnershipActions actions;
    private final long startedNanos;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<PoolId, Claim> claims = new HashMap<>();
    private final Map<PoolId, Claim> pendingClaims = new HashMap<>();
    private final Map<PoolId, Long> pendingSinceNanos = new HashMap<>();
    private final Map<PoolId, Long> claimChangedNanos = new HashMap<>();
    private final Set<PoolId> ownedPools = new HashSet<>();
    private final Map<PoolId, Long> lastProbeNanos = new HashMap<>();
    private final Map<PoolId, Long> lastAnswerNanos = new HashMap<>();
    private final Map<PoolId, Long> fencedSinceNanos = new HashMap<>();
    private final Map<PoolId, Long> reachableSinceNanos = new HashMap<>();
    private long lastLivePeerNanos;
    private ImmutableSet<PoolId> pools = ImmutableSet.of();
    private boolean stopping;

    private static final class Peer {
        private HostInfo info;
        private long lastHeardNanos;
        private long heartbeatIntervalNanos;
        private boolean heardFrom;
        private boolean stopping;
        private boolean connectionRefused;

        private Peer(HostInfo info) {
            this.info = info;
        }

        private boolean isAlive(long now) {
            return heardFrom && now - lastHeardNanos < heartbeatIntervalNanos + HEARTBEAT_GRACE_NANOS;
        }
    }

    /**
     * Creates the decision of one host.
     *
     * @param self this host
     * @param actions carries out decisions
     * @param now the time in nanoseconds on a steady clock
     */
    public PoolOwnership(HostInfo self, OwnershipActions actions, long now) {
        this.self = checkNotNull(self, "self");
        this.actions = checkNotNull(actions, "actions");
        this.startedNanos = now;
        this.lastLivePeerNanos = now;
    }

    /**
     * Takes a host that introduced itself or is listed; returns whether it is a new life.
     *
     * @param selfReported whether the host itself said so; its wall clock may have jumped back since its earlier life
     */
    public boolean addHost(HostInfo info, boolean selfReported, long now) {
        if (info.id().equals(self.id())) {
            return false;
        }
        Peer peer = peers.get(info.id());
        if (peer != null) {
            boolean newerIncarnation = info.incarnation() > peer.info.incarnation();
            boolean replacesDeadIncarnation =
                    selfReported && info.incarnation() != peer.info.incarnation() && !peer.isAlive(now);
            if (!newerIncarnation && !replacesDeadIncarnation) {
                return false;
            }
        }
        peers.put(info.id(), new Peer(info));
        return true;
    }

    /**
     * Takes a heartbeat.
     *
     * @param heartbeatInterval time after which the host sends the next one
     */
    public void recordHeartbeat(
            String host, long incarnation, Duration heartbeatInterval, boolean hostIsStopping, long now) {
        Peer peer = peers.get(host);
        if (peer == null || peer.info.incarnation() != incarnation) {
            return;
        }
        peer.heardFrom = true;
        peer.connectionRefused = false;
        peer.lastHeardNanos = now;
        peer.heartbeatIntervalNanos = heartbeatInterval.toNanos();
        peer.stopping = hostIsStopping;
    }

    /** Takes any other message of a host, which shows that it lives as a heartbeat does. */
    public void recordMessage(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        if (peer != null && peer.heardFrom && peer.info.incarnation() == incarnation) {
            peer.lastHeardNanos = now;
        }
    }

    /**
     * Takes the delay with which this host's own loop handles events; returns whether it was late. Heartbeats that came
     * meanwhile may wait behind it, so the delay doesn't count as silence of others.
     */
    public boolean recordLoopDelay(long delayNanos, long now) {
        if (delayNanos < LOOP_DELAY_THRESHOLD_NANOS) {
            return false;
        }
        peers.values().forEach(peer -> peer.lastHeardNanos = Math.min(now, peer.lastHeardNanos + delayNanos));
        return true;
    }

    /** Takes the refusal of a connection by a host: its process is gone. */
    public void recordConnectionRefused(String host) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.heardFrom = false;
            peer.connectionRefused = true;
        }
    }

    /** Takes the pools that the configuration and the list of targets make up. */
    public void setPools(ImmutableSet<PoolId> newPools) {
        pools = newPools;
    }

    /** Takes a claim that was read from the log or told by another host; returns whether it is the newest one of its pool. */
    @CanIgnoreReturnValue
    public boolean recordClaim(Claim claim, long now) {
        Claim known = claims.get(claim.pool());
        if (known != null && !claim.supersedes(known)) {
            return false;
        }
        if (known != null) {
            claimChangedNanos.put(claim.pool(), now);
        }
        claims.put(claim.pool(), claim);
        if (!claim.isHeldBy(self) && ownedPools.remove(claim.pool())) {
            fencedSinceNanos.remove(claim.pool());
            actions.stopMaster(claim.pool(), "claimed by " + claim.host() + " in round " + claim.round());
        }
        if (claim.isHeldBy(self)) {
            applyOwnClaim(claim);
        }
        return true;
    }

    /**
     * Takes an own claim that the log holds although its write isn't answered yet or counts as failed. From now on it is
     * named to fronts, whose orders under it are handed back until this host acts under it.
     */
    private void applyOwnClaim(Claim claim) {
        if (claim.equals(pendingClaims.get(claim.pool()))) {
            pendingClaims.remove(claim.pool());
        }
        acquire(claim);
    }

    /** Outcome of a write of a claim. */
    public enum ClaimOutcome {
        /** The log holds the claim. */
        WRITTEN,
        /** Another claim came first; it will be read from the log. */
        LOST,
        /** The log didn't answer. */
        NO_ANSWER
    }

    /** Takes the outcome of {@link OwnershipActions#writeClaim}. */
    public void completeClaimWrite(Claim claim, ClaimOutcome outcome, long now) {
        if (!claim.equals(pendingClaims.get(claim.pool()))) {
            return;
        }
        pendingClaims.remove(claim.pool());
        boolean claimWithoutStore = outcome == ClaimOutcome.NO_ANSWER && mayClaimWithoutStore(claim.pool(), now);
        if (outcome == ClaimOutcome.WRITTEN || claimWithoutStore) {
            acquire(claim);
        }
    }

    /** Returns whether a claim may go without the store; a host that is cut off must not take a pool from a live master. */
    private boolean mayClaimWithoutStore(PoolId pool, long now) {
        boolean hearsAnyPeer = peers.values().stream().anyMatch(peer -> peer.isAlive(now));
        boolean isolatedForLong = now - lastLivePeerNanos > ISOLATED_CLAIM_DELAY_NANOS;
        return hearsAnyPeer || (isolatedForLong && !ownedPools.contains(pool));
    }

    /** Takes any answer of a target of a pool. */
    public void recordTargetAnswer(PoolId pool, long now) {
        lastAnswerNanos.put(pool, now);
    }

    /** Takes a target's refusal of our token: unless a superseding claim turns up, the pool is claimed anew. */
    public void recordFencingRejection(PoolId pool, long now) {
        if (ownedPools.contains(pool)) {
            fencedSinceNanos.putIfAbsent(pool, now);
        }
    }

    private void acquire(Claim claim) {
        Claim known = claims.get(claim.pool());
        // Another claim may have been read since this one was written.
        boolean isNewest = known == null || known.equals(claim) || claim.supersedes(known);
        if (stopping || !isNewest) {
            return;
        }
        claims.put(claim.pool(), claim);
        fencedSinceNanos.remove(claim.pool());
        if (!ownedPools.add(claim.pool())) {
            actions.stopMaster(claim.pool(), "claimed anew in round " + claim.round());
        }
        actions.startMaster(claim);
    }

    /** Gives every pool up, because this process is about to end. */
    public void stop() {
        stopping = true;
        pendingClaims.clear();
        for (PoolId pool : ImmutableList.copyOf(ownedPools)) {
            ownedPools.remove(pool);
            actions.stopMaster(pool, "this host stops");
        }
    }

    /** Returns whether this host is the master of a pool. */
    public boolean owns(PoolId pool) {
        return ownedPools.contains(pool);
    }

    /** Returns the claims under which this host is a master. */
    public ImmutableList<Claim> ownClaims() {
        return ownedPools.stream().map(claims::get).collect(ImmutableList.toImmutableList());
    }

    /** Returns the newest claim of each pool. */
    public ImmutableList<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }

    /** Returns the live master of a pool as far as this host knows. */
    public Optional<Claim> master(PoolId pool, long now) {
        Claim claim = claims.get(pool);
        if (claim == null) {
            return Optional.empty();
        }
        if (claim.isHeldBy(self)) {
            return ownedPools.contains(pool) ? Optional.of(claim) : Optional.empty();
        }
        Peer peer = peers.get(claim.host());
        boolean live = peer != null && claim.isHeldBy(peer.info) && peer.isAlive(now) && !peer.stopping;
        return live ? Optional.of(claim) : Optional.empty();
    }

    /** Returns the known pools. */
    public ImmutableSet<PoolId> pools() {
        return pools;
    }

    /** Returns whether a process life of a host is heard of. */
    public boolean isAlive(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return peer != null && peer.info.incarnation() == incarnation && peer.isAlive(now);
    }

    /** Returns whether a process life has certainly ended: its host refuses connections or has another life. */
    public boolean hasEnded(String host, long incarnation) {
        Peer peer = peers.get(host);
        return peer == null || peer.info.incarnation() != incarnation || peer.connectionRefused;
    }

    /** Returns whether a process life is over: its host refuses connections, has been silent or has a later life. */
    public boolean isGone(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return peer == null || peer.info.incarnation() != incarnation || isGone(peer, now);
    }

    /**
     * Returns whether the work that a process life waits for is given up. A host that is only silent gets longer for it than
     * for its pools, because a pool's next master changes nothing for its callers.
     */
    public boolean shouldAbandonWork(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return isGone(host, incarnation, now)
                && (peer == null
                        || peer.info.incarnation() != incarnation
                        || peer.connectionRefused
                        || now - peer.lastHeardNanos > ABANDON_WORK_NANOS);
    }

    private static boolean isGone(Peer peer, long now) {
        return peer.connectionRefused || (peer.heardFrom && !peer.isAlive(now));
    }

    /** Returns the hosts that may claim a pool next: those of the first rank, and some more if they are few. */
    ImmutableSet<String> candidates(PoolId pool, long now) {
        return ClaimOrder.candidates(
                pool,
                Stream.concat(
                        Stream.of(self),
                        peers.values().stream()
                                .filter(peer -> !isGone(peer, now))
                                .map(peer -> peer.info)));
    }

    /** Returns the hosts that this one knows of, without itself. */
    public ImmutableList<HostInfo> otherHosts() {
        return peers.values().stream().map(peer -> peer.info).collect(ImmutableList.toImmutableList());
    }

    /** Claims the pools that this host should be the master of. */
    public void tick(long now) {
        if (stopping || now - startedNanos < MIN_DISCOVERY_NANOS) {
            return;
        }
        if (peers.values().stream().anyMatch(peer -> peer.isAlive(now))) {
            lastLivePeerNanos = now;
        }
        for (PoolId pool : pools) {
            Claim pendingClaim = pendingClaims.get(pool);
            if (pendingClaim != null) {
                if (now - pendingSinceNanos.get(pool) > CLAIM_TIMEOUT_NANOS) {
                    completeClaimWrite(pendingClaim, ClaimOutcome.NO_ANSWER, now);
                }
                continue;
            }
            if (!knowsEnoughToClaim(pool, now)) {
                continue;
            }
            boolean fencedTooLong = now - fencedSinceNanos.getOrDefault(pool, now) > FENCED_RECLAIM_DELAY_NANOS;
            if (fencedTooLong || (!ownedPools.contains(pool) && shouldClaim(pool, now) && isReachable(pool, now))) {
                fencedSinceNanos.remove(pool);
                Claim claim = new Claim(pool, self.id(), self.incarnation(), nextRound(pool));
                pendingClaims.put(pool, claim);
                pendingSinceNanos.put(pool, now);
                actions.writeClaim(claim);
            }
        }
        for (PoolId pool : ImmutableList.copyOf(ownedPools)) {
            if (!pools.contains(pool)) {
                ownedPools.remove(pool);
                actions.stopMaster(pool, "the pool has no targets");
            }
        }
    }

    /** Returns a round above those of all shards: a target keeps its highest token when it comes to another shard. */
    private int nextRound(PoolId pool) {
        return 1
                + claims.values().stream()
                        .filter(claim -> claim.pool().whole().equals(pool.whole()))
                        .mapToInt(Claim::round)
                        .max()
                        .orElse(0);
    }

    /**
     * Returns whether enough is known of other hosts to claim a pool. Shortly after this host's start a live master may
     * not have been heard of yet; a master whose host has started again since is known to be gone.
     */
    private boolean knowsEnoughToClaim(PoolId pool, long now) {
        if (now - startedNanos >= DISCOVERY_NANOS) {
            return true;
        }
        Claim claim = claims.get(pool);
        if (claim == null) {
            return false;
        }
        Peer holder = peers.get(claim.host());
        boolean holderGone =
                claim.host().equals(self.id()) || (holder != null && holder.info.incarnation() != claim.incarnation());
        return holderGone && isFirstOfKnownHosts(pool);
    }

    private boolean isFirstOfKnownHosts(PoolId pool) {
        return ClaimOrder.isFirst(self, pool, peers.values().stream().map(peer -> peer.info), this::poolCount);
    }

    /** Returns whether a pool's targets answer; those of this host's own domain are taken to do so. */
    private boolean isReachable(PoolId pool, long now) {
        if (pool.domain().equals(self.domain())) {
            return true;
        }
        Long lastAnswer = lastAnswerNanos.get(pool);
        if (lastAnswer == null || now - lastAnswer >= 2 * PROBE_INTERVAL_NANOS) {
            reachableSinceNanos.remove(pool);
        } else if (now - reachableSinceNanos.computeIfAbsent(pool, _pool -> now) > MIN_REACHABLE_NANOS) {
            return true;
        }
        Long lastProbe = lastProbeNanos.get(pool);
        if (lastProbe == null || now - lastProbe > PROBE_INTERVAL_NANOS) {
            lastProbeNanos.put(pool, now);
            actions.probePool(pool);
        }
        return false;
    }

    private boolean shouldClaim(PoolId pool, long now) {
        Optional<Claim> master = master(pool, now);
        Long changed = claimChangedNanos.get(pool);
        if (master.isEmpty() && changed != null && now - changed < FRESH_CLAIM_NANOS && !isClaimantGone(pool, now)) {
            return false;
        }
        if (master.isPresent()) {
            HostInfo holder = peers.get(master.get().host()).info;
            boolean holderIsLessSuitable = !holder.domain().equals(pool.domain())
                    || holder.cpuMillis() * RECLAIM_CPU_FACTOR <= self.cpuMillis();
            return holderIsLessSuitable
                    && self.domain().equals(pool.domain())
                    && now - startedNanos > RECLAIM_MIN_UPTIME_NANOS
                    && isFirstOfLiveHosts(pool, now);
        }
        return isFirstOfLiveHosts(pool, now);
    }

    /** Returns whether the claiming host has said that it stops, or has been heard of since its claim and is silent. */
    private boolean isClaimantGone(PoolId pool, long now) {
        Claim claim = claims.get(pool);
        if (claim.host().equals(self.id())) {
            return true;
        }
        Peer holder = peers.get(claim.host());
        if (holder == null) {
            return false;
        }
        boolean otherIncarnation = holder.info.incarnation() != claim.incarnation();
        boolean heardSince = holder.lastHeardNanos > claimChangedNanos.getOrDefault(pool, now);
        return otherIncarnation || holder.stopping || holder.connectionRefused || (heardSince && !holder.isAlive(now));
    }

    private boolean isFirstOfLiveHosts(PoolId pool, long now) {
        boolean isOwnDomain = pool.domain().equals(self.domain());
        return ClaimOrder.isFirst(
                self,
                pool,
                peers.values().stream()
                        .filter(peer -> peer.isAlive(now) && !peer.stopping)
                        .filter(peer -> isOwnDomain || now - peer.lastHeardNanos < REMOTE_SILENCE_NANOS)
                        .map(peer -> peer.info),
                this::poolCount);
    }

    private int poolCount(HostInfo host) {
        int count = 0;
        for (PoolId pool : pools) {
            Claim claim = pendingClaims.getOrDefault(pool, claims.get(pool));
            if (claim != null && claim.isHeldBy(host)) {
                count++;
            }
        }
        return count;
    }
}
