package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.mustardlink.link.PeerLinks;
import org.mustardlink.link.PeerMessage;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.MessageKind;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.ownership.Watchers;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;

/**
 * Heartbeats to and from the other hosts, and what they tell about loads. Runs on the loop thread.
 *
 * <p>{@link Watchers} says how often each host hears this one. A heartbeat that tells of other claims than the last one of its
 * sender is answered at once.
 */
final class PeerMonitor {
    private static final long URGENT_INTERVAL_NANOS = Watchers.URGENT.toNanos();
    private static final long FREQUENT_INTERVAL_NANOS = Watchers.FREQUENT.toNanos();
    private static final long RARE_INTERVAL_NANOS = Watchers.RARE.toNanos();
    /** Heartbeats that are due within this time go out with the present ones, so that intervals don't grow by a round. */
    private static final long HEARTBEAT_SLACK_NANOS = Watchers.URGENT.toNanos() / 2;
    /** Interval at which watchers are chosen anew though nothing is known to have changed; hosts fall silent meanwhile. */
    private static final long WATCHERS_REVIEW_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** A heartbeat that the receiver hasn't seen for this long shows that the link to it is dead. */
    private static final long ACKNOWLEDGMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** A link is given this long to carry heartbeats before it is judged. */
    private static final long MIN_LINK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final HostInfo self;
    private final PoolOwnership ownership;
    private final EventLog log;
    private final EntryMetrics metrics;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<PoolId, PoolLoad> loads = new HashMap<>();
    private final Map<PoolId, Long> loadReceivedNanos = new HashMap<>();
    private Watchers watchers = Watchers.UNKNOWN;
    private long watchersReviewedNanos;
    private PeerLinks links;
    private long lastCycleNanos;

    private static final class Peer {
        private HostInfo info;
        /** Number of the last heartbeat to the host. */
        private long lastSentNumber;
        /** Number of its last heartbeat. */
        private long lastReceivedNumber;
        /** Number of our last heartbeat that it has seen. */
        private long acknowledgedNumber;

        /** The oldest of our heartbeats that the host hasn't shown to have seen, 0 if there is none. */
        private long unacknowledgedNumber;

        private long unacknowledgedSinceNanos;
        /** The claims that its last heartbeat told of. */
        private ImmutableList<Claim> lastReceivedClaims = ImmutableList.of();

        private long lastSentNanos;
        private long connectedNanos;
        private long lastReceivedNanos;
        /** The interval that our last heartbeat told. */
        private Duration announcedInterval = Watchers.RARE;

        private boolean alive;
        private boolean sendImmediately;
        private boolean declaredLost;
    }

    /** Hears of the end of another host's process life. */
    @FunctionalInterface
    interface LossListener {
        void onHostLost(HostInfo host, long now);
    }

    /**
     * What each host says of this one at a moment.
     *
     * @param stopping whether this host is about to end
     * @param loads loads of the pools that it is the master of
     */
    record Status(boolean stopping, ImmutableMap<PoolId, PoolLoad> loads) {}

    /**
     * Heartbeats that told every host known then of a claim.
     *
     * @param heartbeatNumbers the heartbeat's number by host
     */
    record Announcement(ImmutableMap<String, Long> heartbeatNumbers) {}

    PeerMonitor(HostInfo self, PoolOwnership ownership, EventLog log, EntryMetrics metrics, long now) {
        this.self = self;
        this.ownership = ownership;
        this.log = log;
        this.metrics = metrics;
        this.lastCycleNanos = now - URGENT_INTERVAL_NANOS;
        this.watchersReviewedNanos = now - WATCHERS_REVIEW_INTERVAL_NANOS;
    }

    void setLinks(PeerLinks openedLinks) {
        links = openedLinks;
    }

    /** Takes a host that is listed or that introduced itself. */
    void registerPeer(HostInfo info, boolean introducedItself, LossListener listener, long now) {
        if (info.id().equals(self.id()) || !ownership.introduced(info, introducedItself, now)) {
            return;
        }
        Peer previous = peers.get(info.id());
        if (previous != null) {
            listener.onHostLost(previous.info, now);
        }
        Peer peer = new Peer();
        peer.info = info;
        peer.lastSentNanos = now - RARE_INTERVAL_NANOS;
        peer.connectedNanos = now;
        peer.lastReceivedNanos = now;
        peers.put(info.id(), peer);
        links.add(info);
        requestWatchersReview(now);
        logStateChange(info, "INTRODUCED", introducedItself ? "by itself" : "by the store");
    }

    private void logStateChange(HostInfo info, String state, String reason) {
        log.line(LogEvent.PEER_CHANGED)
                .with(LogField.MEMBER, info.id())
                .with(LogField.INCARNATION, info.incarnation())
                .with(LogField.STATE, state)
                .with(LogField.REASON, reason)
                .write();
    }

    /** Notes that our link to a host was opened. */
    void recordConnection(String host, long now) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.connectedNanos = now;
            peer.sendImmediately = true;
        }
    }

    /** Takes a heartbeat; returns whether timers have to run at once, because masters have changed or it is to be answered. */
    boolean receiveHeartbeat(HostInfo sender, PeerMessage.Heartbeat heartbeat, long now) {
        Peer peer = peers.get(sender.id());
        if (peer == null || peer.info.incarnation() != sender.incarnation()) {
            return false;
        }
        metrics.count(MessageKind.HEARTBEAT_RECEIVED);
        peer.lastReceivedNumber = heartbeat.number();
        // After this host's restart another one may still tell what it has seen of the earlier life.
        if (heartbeat.seenIncarnation() == self.incarnation()) {
            peer.acknowledgedNumber = Math.max(peer.acknowledgedNumber, heartbeat.seen());
        }
        if (peer.acknowledgedNumber >= peer.unacknowledgedNumber) {
            peer.unacknowledgedNumber = 0;
        } else if (now - peer.unacknowledgedSinceNanos > ACKNOWLEDGMENT_TIMEOUT_NANOS) {
            replaceUnacknowledgedLink(peer, now);
        }
        peer.lastReceivedNanos = now;
        ownership.heard(sender.id(), sender.incarnation(), heartbeat.next(), heartbeat.stopping(), now);
        boolean claimsChanged = false;
        for (Claim claim : heartbeat.claims()) {
            claimsChanged |= ownership.claimed(claim, now);
        }
        // Its sender waits for a confirmation, also if the store has told of the claim before.
        boolean confirmationDue = !peer.lastReceivedClaims.equals(heartbeat.claims());
        if (confirmationDue) {
            peer.lastReceivedClaims = heartbeat.claims();
            peer.sendImmediately = true;
        }
        if (claimsChanged) {
            requestWatchersReview(now);
        }
        loads.putAll(heartbeat.loads());
        heartbeat.loads().keySet().forEach(pool -> loadReceivedNanos.put(pool, now));
        peer.declaredLost = false;
        if (!peer.alive) {
            peer.alive = true;
            logStateChange(sender, "ALIVE", "heard");
        }
        return claimsChanged || confirmationDue || heartbeat.stopping();
    }

    /** Replaces the link to a host that hears others but not us: something on the way has lost track of it. */
    private void replaceUnacknowledgedLink(Peer peer, long now) {
        if (now - peer.connectedNanos > MIN_LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            peer.unacknowledgedNumber = 0;
            links.replace(peer.info.id());
        }
    }

    /**
     * Sends the heartbeats that are due, and notices hosts that are gone.
     *
     * @param status what the heartbeats say
     * @param mastersInUse hosts that run jobs which this one waits for
     */
    void tick(Supplier<Status> status, Supplier<Set<String>> mastersInUse, LossListener listener, long now) {
        boolean cycleDue = now - lastCycleNanos >= cycleNanos();
        if (cycleDue) {
            lastCycleNanos = now;
            links.tick(now);
            reviewWatchers(mastersInUse.get(), now);
        }
        Status sentStatus = null;
        for (Peer peer : peers.values()) {
            if (peer.sendImmediately || (cycleDue && isHeartbeatDue(peer, now))) {
                sentStatus = sentStatus == null ? status.get() : sentStatus;
                sendHeartbeat(peer, sentStatus, now);
            }
            if (cycleDue) {
                checkLiveness(peer, listener, now);
            }
        }
    }

    private boolean isHeartbeatDue(Peer peer, long now) {
        long interval = watchers.interval(peer.info.id()).toNanos();
        return now - peer.lastSentNanos >= interval - HEARTBEAT_SLACK_NANOS;
    }

    /** Chooses the watchers anew with the next heartbeats, because hosts or claims have changed. */
    void requestWatchersReview(long now) {
        watchersReviewedNanos = now - WATCHERS_REVIEW_INTERVAL_NANOS;
    }

    /**
     * Makes a host that is about to get a job one that notices this one's silence at once. The heartbeat that says so goes
     * ahead of the job: a master that expects the next one in two seconds would let the job run on for that long after the
     * loss of its front, while the caller sends it again after 1.3 s.
     */
    void announceFrequentHeartbeats(String host, Supplier<Status> status, long now) {
        Peer peer = peers.get(host);
        if (peer == null || watchers.contains(host)) {
            return;
        }
        watchers = watchers.withFrequent(host);
        sendHeartbeat(peer, status.get(), now);
    }

    private void reviewWatchers(Set<String> mastersInUse, long now) {
        boolean mastersCovered =
                mastersInUse.stream().allMatch(host -> host.equals(self.id()) || watchers.contains(host));
        if (mastersCovered && now - watchersReviewedNanos < WATCHERS_REVIEW_INTERVAL_NANOS) {
            return;
        }
        watchersReviewedNanos = now;
        watchers = Watchers.of(self, ownership, mastersInUse, now);
        // A host that expects the next heartbeat soon must be told that it comes later.
        for (Peer peer : peers.values()) {
            peer.sendImmediately |= peer.announcedInterval.compareTo(watchers.interval(peer.info.id())) < 0;
        }
    }

    private void checkLiveness(Peer peer, LossListener listener, long now) {
        if (peer.alive && !ownership.alive(peer.info.id(), peer.info.incarnation(), now)) {
            peer.alive = false;
            logStateChange(peer.info, "GONE", "silent");
        }
        if (!peer.declaredLost && ownership.givenUp(peer.info.id(), peer.info.incarnation(), now)) {
            peer.declaredLost = true;
            logStateChange(peer.info, "GIVEN_UP", "silent for too long, or refuses connections");
            listener.onHostLost(peer.info, now);
        }
        // After a cut an old connection carries nothing until its retransmission is due, which takes seconds.
        if (!peer.alive && now - peer.connectedNanos > MIN_LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            links.replace(peer.info.id());
        }
    }

    /** Sends a heartbeat to every host now, because this one has become a master or is about to end. */
    Announcement announce(Status status, long now) {
        requestWatchersReview(now);
        ImmutableMap.Builder<String, Long> numbers = ImmutableMap.builder();
        for (Peer peer : peers.values()) {
            sendHeartbeat(peer, status, now);
            numbers.put(peer.info.id(), peer.lastSentNumber);
        }
        return new Announcement(numbers.buildOrThrow());
    }

    private void sendHeartbeat(Peer peer, Status status, long now) {
        peer.sendImmediately = false;
        peer.lastSentNanos = now;
        peer.lastSentNumber++;
        if (peer.unacknowledgedNumber == 0) {
            peer.unacknowledgedNumber = peer.lastSentNumber;
            peer.unacknowledgedSinceNanos = now;
        }
        metrics.count(MessageKind.HEARTBEAT);
        Duration nextInterval = watchers.interval(peer.info.id());
        peer.announcedInterval = nextInterval;
        links.send(
                peer.info.id(),
                new PeerMessage.Heartbeat(
                        peer.lastSentNumber,
                        peer.lastReceivedNumber,
                        peer.info.incarnation(),
                        nextInterval,
                        status.stopping(),
                        ownership.ownClaims(),
                        status.loads()));
    }

    /** Returns whether every host that may live has got an announcement; one that is silent is taken for dead. */
    boolean allAcknowledged(Announcement announcement, long now) {
        return peers.values().stream()
                .allMatch(peer -> hasAcknowledged(peer, announcement)
                        || ownership.gone(peer.info.id(), peer.info.incarnation(), now));
    }

    /** Returns whether every host has got an announcement or has certainly ended. */
    boolean allAcknowledgedOrEnded(Announcement announcement) {
        return peers.values().stream()
                .allMatch(peer -> hasAcknowledged(peer, announcement)
                        || ownership.ended(peer.info.id(), peer.info.incarnation()));
    }

    private static boolean hasAcknowledged(Peer peer, Announcement announcement) {
        return peer.acknowledgedNumber >= announcement.heartbeatNumbers().getOrDefault(peer.info.id(), 1L);
    }

    /** Returns whether this host is the master of a pool or may become one. */
    boolean isMasterOrCandidate() {
        return watchers.successor();
    }

    /** Returns the interval at which this host sends heartbeats that are due and looks for hosts that are silent. */
    long cycleNanos() {
        return watchers.successor() ? URGENT_INTERVAL_NANOS : FREQUENT_INTERVAL_NANOS;
    }

    long nextCycleNanos() {
        return lastCycleNanos + cycleNanos();
    }

    /** Returns the last load that a pool's master told. */
    PoolLoad load(PoolId pool) {
        return loads.getOrDefault(pool, PoolLoad.NONE);
    }

    /** Returns when a pool's load was told last, 0 if never. */
    long loadReceivedNanos(PoolId pool) {
        return loadReceivedNanos.getOrDefault(pool, 0L);
    }

    /** Counts a job that was pointed to a pool against its room until its master tells its load again. */
    void reserveCpu(PoolId pool, int cpuMillis) {
        loads.computeIfPresent(
                pool,
                (_pool, load) -> new PoolLoad(
                        Math.max(0, load.freeCpuMillis() - cpuMillis), load.widestCpuMillis(), load.openJobs()));
    }

    /** Returns the age of the last heartbeat of a host in milliseconds. */
    long heartbeatAgeMs(String host, long now) {
        Peer peer = peers.get(host);
        return peer == null ? 0 : TimeUnit.NANOSECONDS.toMillis(now - peer.lastReceivedNanos);
    }
}
