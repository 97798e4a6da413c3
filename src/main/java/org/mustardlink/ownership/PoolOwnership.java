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
 * Tracks the dispatch hosts and their claims, and claims the pools of which this host should be the master.
 *
 * <p>Not thread-safe. The first live host in the claim order of a pool claims it: hosts of the pool's own failure
 * domain come before all others, then hosts with more CPU before those with less. A live master keeps its pool, with
 * two exceptions: a host of the pool's own domain takes the pool over from a master in another domain, and from a
 * master with at most half of its CPU.
 */
public final class PoolOwnership {
    /** A host is considered dead when its next heartbeat is overdue by this time, four of the shortest intervals. */
    private static final long HEARTBEAT_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /**
     * After its start a host waits this long for messages of other hosts before it claims a pool, so that the first
     * claim doesn't have to be superseded when a preferred host is discovered.
     */
    private static final long DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /**
     * Shorter waiting time after the start, for a pool whose master is known to be gone. A heartbeat of a live claimant
     * arrives within this time.
     */
    private static final long MIN_DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /**
     * The write of a claim counts as failed when the store hasn't answered for this long; it usually answers in 10 ms.
     */
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /**
     * Minimum time since its start after which a host of the pool's own domain takes the pool over from a live master.
     */
    private static final long RECLAIM_MIN_UPTIME_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * A host takes a pool of its domain over from a live master if it has at least this many times the CPU of the
     * master. A shard needs a third of a core, which the smallest hosts don't have; a smaller difference doesn't
     * justify a handover.
     */
    private static final int RECLAIM_CPU_FACTOR = 2;
    /**
     * Delay of this host's event loop from which heartbeats of other hosts may be waiting unprocessed; two of the
     * shortest intervals.
     */
    private static final long LOOP_DELAY_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * A host that reaches neither a live peer nor the store waits this long before it claims a pool, because the host
     * itself may be the one that is partitioned.
     */
    private static final long ISOLATED_CLAIM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Interval between probes of a pool in another domain. An answer is valid for twice this time. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /**
     * The targets of a pool in another domain must have answered for this long before the pool is claimed. After the
     * end of a network partition, heartbeats of the domain's own hosts arrive within this time.
     */
    private static final long MIN_REACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** A claim that was read within this time shows that its host is alive, even if no heartbeat has arrived yet. */
    private static final long FRESH_CLAIM_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time to wait for the superseding claim after a target has rejected this host's fencing token. */
    private static final long FENCED_RECLAIM_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * For a pool in another domain, hosts that haven't sent a message for this long are left out of the claim order,
     * no matter when their next heartbeat is due. A live host of the pool's own domain would have claimed it within
     * a second.
     */
    private static final long REMOTE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private final HostInfo self;
    private final OwnershipActions actions;
    private final long abandonWorkNanos;
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
        private long lastReceivedNanos;
        private long heartbeatIntervalNanos;
        private boolean heartbeatReceived;
        private boolean stopping;
        private boolean connectionRefused;

        private Peer(HostInfo info) {
            this.info = info;
        }

        private boolean isAlive(long now) {
            return heartbeatReceived && now - lastReceivedNanos < heartbeatIntervalNanos + HEARTBEAT_GRACE_NANOS;
        }
    }

    /**
     * Creates the state of a host that knows no other hosts, claims or pools.
     *
     * @param self this host
     * @param actions carries out the decisions
     * @param abandonWorkAfter minimum time without a message from a host after which the jobs of its callers are
     *     stopped
     * @param now the current time in nanoseconds on a monotonic clock
     */
    public PoolOwnership(HostInfo self, OwnershipActions actions, Duration abandonWorkAfter, long now) {
        this.self = checkNotNull(self, "self");
        this.actions = checkNotNull(actions, "actions");
        this.abandonWorkNanos = abandonWorkAfter.toNanos();
        this.startedNanos = now;
        this.lastLivePeerNanos = now;
    }

    /**
     * Adds a host that has connected to this one or is listed in the store. Returns whether this incarnation of the
     * host is new.
     *
     * @param selfReported whether the host itself sent the information. If so, a lower incarnation replaces a dead one,
     *     because the wall clock of the host may have been set back between the two.
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
     * Records a heartbeat.
     *
     * @param heartbeatInterval time until the host sends its next heartbeat
     */
    public void recordHeartbeat(
            String host, long incarnation, Duration heartbeatInterval, boolean hostIsStopping, long now) {
        Peer peer = peers.get(host);
        if (peer == null || peer.info.incarnation() != incarnation) {
            return;
        }
        peer.heartbeatReceived = true;
        peer.connectionRefused = false;
        peer.lastReceivedNanos = now;
        peer.heartbeatIntervalNanos = heartbeatInterval.toNanos();
        peer.stopping = hostIsStopping;
    }

    /** Records any other message from a host; like a heartbeat, the message shows that the host is alive. */
    public void recordMessage(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        if (peer != null && peer.heartbeatReceived && peer.info.incarnation() == incarnation) {
            peer.lastReceivedNanos = now;
        }
    }

    /**
     * Records the delay of this host's event loop. Returns whether the delay was long enough to matter. Heartbeats that
     * arrived during the delay may still be queued, so the delay is not counted as silence of the other hosts.
     */
    public boolean recordLoopDelay(long delayNanos, long now) {
        if (delayNanos < LOOP_DELAY_THRESHOLD_NANOS) {
            return false;
        }
        peers.values().forEach(peer -> peer.lastReceivedNanos = Math.min(now, peer.lastReceivedNanos + delayNanos));
        return true;
    }

    /** Records that a host has refused a connection, which shows that its process has ended. */
    public void recordConnectionRefused(String host) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.heartbeatReceived = false;
            peer.connectionRefused = true;
        }
    }

    /** Sets the pools that result from the configuration and the list of targets. */
    public void setPools(ImmutableSet<PoolId> newPools) {
        pools = newPools;
    }

    /**
     * Records a claim that was read from the log or received from another host. Returns whether it is the newest claim
     * to its pool.
     */
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
     * Applies a claim of this host that was read from the log while its write is unanswered or counts as failed. From
     * now on entry hosts learn of the claim and send jobs under it; this host hands the jobs back until it acts under
     * the claim.
     */
    private void applyOwnClaim(Claim claim) {
        if (claim.equals(pendingClaims.get(claim.pool()))) {
            pendingClaims.remove(claim.pool());
        }
        acquire(claim);
    }

    /** Outcome of the write of a claim. */
    public enum ClaimOutcome {
        /** The claim was appended to the log. */
        WRITTEN,
        /** Another claim was appended first; it will be read from the log. */
        LOST,
        /** The log did not answer. */
        NO_ANSWER
    }

    /** Handles the outcome of {@link OwnershipActions#writeClaim}. */
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

    /**
     * Returns whether this host may act under a claim that the store hasn't confirmed. A partitioned host must not take
     * a pool from a live master.
     */
    private boolean mayClaimWithoutStore(PoolId pool, long now) {
        boolean hasLivePeer = peers.values().stream().anyMatch(peer -> peer.isAlive(now));
        boolean isolatedForLong = now - lastLivePeerNanos > ISOLATED_CLAIM_DELAY_NANOS;
        return hasLivePeer || (isolatedForLong && !ownedPools.contains(pool));
    }

    /** Records that a target of a pool has answered; any answer shows that the pool can be reached. */
    public void recordTargetAnswer(PoolId pool, long now) {
        lastAnswerNanos.put(pool, now);
    }

    /**
     * Records that a target has rejected this host's fencing token. Unless a superseding claim arrives, the pool is
     * claimed again in a higher round.
     */
    public void recordFencingRejection(PoolId pool, long now) {
        if (ownedPools.contains(pool)) {
            fencedSinceNanos.putIfAbsent(pool, now);
        }
    }

    private void acquire(Claim claim) {
        Claim known = claims.get(claim.pool());
        // Another claim may have been read while this one was being written.
        boolean isNewest = known == null || known.equals(claim) || claim.supersedes(known);
        if (stopping || !isNewest) {
            return;
        }
        claims.put(claim.pool(), claim);
        fencedSinceNanos.remove(claim.pool());
        if (!ownedPools.add(claim.pool())) {
            actions.stopMaster(claim.pool(), "reclaimed by this host in round " + claim.round());
        }
        actions.startMaster(claim);
    }

    /** Releases every pool, because this process is about to end. */
    public void stop() {
        stopping = true;
        pendingClaims.clear();
        for (PoolId pool : ImmutableList.copyOf(ownedPools)) {
            ownedPools.remove(pool);
            actions.stopMaster(pool, "this host is shutting down");
        }
    }

    /** Returns whether this host is the master of a pool. */
    public boolean owns(PoolId pool) {
        return ownedPools.contains(pool);
    }

    /** Returns the claims under which this host is the master of a pool. */
    public ImmutableList<Claim> ownClaims() {
        return ownedPools.stream().map(claims::get).collect(ImmutableList.toImmutableList());
    }

    /** Returns the newest claim of each pool. */
    public ImmutableList<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }

    /** Returns the claim of the live master of a pool, as far as this host knows. */
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

    /** Returns whether an incarnation of a host is alive, judged by the messages that have arrived from it. */
    public boolean isAlive(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return peer != null && peer.info.incarnation() == incarnation && peer.isAlive(now);
    }

    /**
     * Returns whether an incarnation of a host has certainly ended: the host refuses connections, is unknown or has
     * another incarnation.
     */
    public boolean hasEnded(String host, long incarnation) {
        Peer peer = peers.get(host);
        return peer == null || peer.info.incarnation() != incarnation || peer.connectionRefused;
    }

    /**
     * Returns whether an incarnation of a host is considered gone: {@link #hasEnded} holds, or the host has sent
     * heartbeats and then fallen silent. A host that hasn't sent a heartbeat yet isn't gone.
     */
    public boolean isGone(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return peer == null || peer.info.incarnation() != incarnation || isGone(peer, now);
    }

    /**
     * Returns whether the jobs whose results an incarnation of a host waits for should be stopped. A host that is
     * merely silent keeps its jobs longer than its pools: replacing the master of a pool changes nothing for callers,
     * while stopping a job does.
     */
    public boolean shouldAbandonWork(String host, long incarnation, long now) {
        Peer peer = peers.get(host);
        return isGone(host, incarnation, now)
                && (peer == null
                        || peer.info.incarnation() != incarnation
                        || peer.connectionRefused
                        || now - peer.lastReceivedNanos > abandonWorkNanos);
    }

    private static boolean isGone(Peer peer, long now) {
        return peer.connectionRefused || (peer.heartbeatReceived && !peer.isAlive(now));
    }

    /** Returns the hosts that may claim a pool next: those of the first rank, and more if there are few of them. */
    ImmutableSet<String> candidates(PoolId pool, long now) {
        return ClaimOrder.candidates(
                pool,
                Stream.concat(
                        Stream.of(self),
                        peers.values().stream()
                                .filter(peer -> !isGone(peer, now))
                                .map(peer -> peer.info)));
    }

    /** Returns the known hosts except this one. */
    public ImmutableList<HostInfo> otherHosts() {
        return peers.values().stream().map(peer -> peer.info).collect(ImmutableList.toImmutableList());
    }

    /** Claims the pools of which this host should be the master, and releases pools that no longer exist. */
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
                actions.stopMaster(pool, "the pool no longer exists: it has no targets or was resharded");
            }
        }
    }

    /**
     * Returns a round above those of all shards of the domain, because a target that moves to another shard still
     * rejects tokens lower than the highest one it has seen.
     */
    private int nextRound(PoolId pool) {
        return 1
                + claims.values().stream()
                        .filter(claim -> claim.pool().unsharded().equals(pool.unsharded()))
                        .mapToInt(Claim::round)
                        .max()
                        .orElse(0);
    }

    /**
     * Returns whether enough is known about other hosts to claim a pool. Shortly after the start of this host, no
     * heartbeat of a live master may have arrived yet. A master whose host has restarted since the claim is known to
     * be gone.
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

    /** Returns whether the targets of a pool answer; targets in this host's own domain are assumed to. */
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

    /**
     * Returns whether the host that claimed a pool is known to be gone: it is stopping, refuses connections, has
     * another incarnation, or fell silent after a message that came later than its claim.
     */
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
        boolean receivedSinceClaim = holder.lastReceivedNanos > claimChangedNanos.getOrDefault(pool, now);
        return otherIncarnation
                || holder.stopping
                || holder.connectionRefused
                || (receivedSinceClaim && !holder.isAlive(now));
    }

    private boolean isFirstOfLiveHosts(PoolId pool, long now) {
        boolean isOwnDomain = pool.domain().equals(self.domain());
        return ClaimOrder.isFirst(
                self,
                pool,
                peers.values().stream()
                        .filter(peer -> peer.isAlive(now) && !peer.stopping)
                        .filter(peer -> isOwnDomain || now - peer.lastReceivedNanos < REMOTE_SILENCE_NANOS)
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
