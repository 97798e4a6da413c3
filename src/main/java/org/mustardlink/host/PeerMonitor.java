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
    private static final long URGENT_NANOS = Watchers.URGENT.toNanos();
    private static final long FREQUENT_NANOS = Watchers.FREQUENT.toNanos();
    private static final long RARE_NANOS = Watchers.RARE.toNanos();
    /** Heartbeats that are due within this time go out with the present ones, so that intervals don't grow by a round. */
    private static final long SLACK_NANOS = Watchers.URGENT.toNanos() / 2;
    /** Interval at which watchers are chosen anew though nothing is known to have changed; hosts fall silent meanwhile. */
    private static final long REVIEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** A heartbeat that the receiver hasn't seen for this long shows that the link to it is dead. */
    private static final long UNSEEN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** A link is given this long to carry heartbeats before it is judged. */
    private static final long LINK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final HostInfo self;
    private final PoolOwnership ownership;
    private final EventLog log;
    private final EntryMetrics metrics;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<PoolId, PoolLoad> loads = new HashMap<>();
    private final Map<PoolId, Long> loadsToldNanos = new HashMap<>();
    private Watchers watchers = Watchers.UNKNOWN;
    private long watchersNanos;
    private PeerLinks links;
    private long sentNanos;

    private static final class Peer {
        private HostInfo info;
        /** Number of the last heartbeat to the host. */
        private long number;
        /** Number of its last heartbeat. */
        private long seen;
        /** Number of our last heartbeat that it has seen. */
        private long seenOurs;

        /** The oldest of our heartbeats that the host hasn't shown to have seen, 0 if there is none. */
        private long unseenNumber;

        private long unseenSinceNanos;
        /** The claims that its last heartbeat told of. */
        private ImmutableList<Claim> claims = ImmutableList.of();

        private long sentNanos;
        private long connectedNanos;
        private long heardNanos;
        /** The interval that our last heartbeat told. */
        private Duration toldInterval = Watchers.RARE;

        private boolean alive;
        private boolean owed;
        private boolean givenUp;
    }

    /** Hears of the end of another host's process life. */
    @FunctionalInterface
    interface LossListener {
        void lost(HostInfo host, long now);
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
     * @param numbers the heartbeat's number by host
     */
    record Announcement(ImmutableMap<String, Long> numbers) {}

    PeerMonitor(HostInfo self, PoolOwnership ownership, EventLog log, EntryMetrics metrics, long now) {
        this.self = self;
        this.ownership = ownership;
        this.log = log;
        this.metrics = metrics;
        this.sentNanos = now - URGENT_NANOS;
        this.watchersNanos = now - REVIEW_NANOS;
    }

    void use(PeerLinks opened) {
        links = opened;
    }

    /** Takes a host that is listed or that introduced itself. */
    void introduced(HostInfo info, boolean direct, LossListener listener, long now) {
        if (info.id().equals(self.id()) || !ownership.introduced(info, direct, now)) {
            return;
        }
        Peer old = peers.get(info.id());
        if (old != null) {
            listener.lost(old.info, now);
        }
        Peer peer = new Peer();
        peer.info = info;
        peer.sentNanos = now - RARE_NANOS;
        peer.connectedNanos = now;
        peer.heardNanos = now;
        peers.put(info.id(), peer);
        links.addPeer(info);
        reviewWatchers(now);
        changed(info, "INTRODUCED", direct ? "by itself" : "by the store");
    }

    private void changed(HostInfo info, String state, String why) {
        log.line(LogEvent.PEER_CHANGED)
                .with(LogField.MEMBER, info.id())
                .with(LogField.INCARNATION, info.incarnation())
                .with(LogField.STATE, state)
                .with(LogField.REASON, why)
                .write();
    }

    /** Notes that our link to a host was opened. */
    void connected(String host, long now) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.connectedNanos = now;
            peer.owed = true;
        }
    }

    /** Takes a heartbeat; returns whether timers have to run at once, because masters have changed or it is to be answered. */
    boolean heard(HostInfo sender, PeerMessage.Heartbeat heartbeat, long now) {
        Peer peer = peers.get(sender.id());
        if (peer == null || peer.info.incarnation() != sender.incarnation()) {
            return false;
        }
        metrics.count(MessageKind.HEARTBEAT_RECEIVED);
        peer.seen = heartbeat.sequence();
        // After this host's restart another one may still tell what it has seen of the earlier life.
        if (heartbeat.acknowledgedIncarnation() == self.incarnation()) {
            peer.seenOurs = Math.max(peer.seenOurs, heartbeat.acknowledged());
        }
        if (peer.seenOurs >= peer.unseenNumber) {
            peer.unseenNumber = 0;
        } else if (now - peer.unseenSinceNanos > UNSEEN_NANOS) {
            replaceUnseen(peer, now);
        }
        peer.heardNanos = now;
        ownership.heard(sender.id(), sender.incarnation(), heartbeat.untilNext(), heartbeat.stopping(), now);
        boolean news = false;
        for (Claim claim : heartbeat.claims()) {
            news |= ownership.claimed(claim, now);
        }
        // Its sender waits for a confirmation, also if the store has told of the claim before.
        boolean confirmationDue = !peer.claims.equals(heartbeat.claims());
        if (confirmationDue) {
            peer.claims = heartbeat.claims();
            peer.owed = true;
        }
        if (news) {
            reviewWatchers(now);
        }
        loads.putAll(heartbeat.loads());
        heartbeat.loads().keySet().forEach(pool -> loadsToldNanos.put(pool, now));
        peer.givenUp = false;
        if (!peer.alive) {
            peer.alive = true;
            changed(sender, "ALIVE", "heard");
        }
        return news || confirmationDue || heartbeat.stopping();
    }

    /** Replaces the link to a host that hears others but not us: something on the way has lost track of it. */
    private void replaceUnseen(Peer peer, long now) {
        if (now - peer.connectedNanos > LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            peer.unseenNumber = 0;
            links.reconnect(peer.info.id());
        }
    }

    /**
     * Sends the heartbeats that are due, and notices hosts that are gone.
     *
     * @param status what the heartbeats say
     * @param mastersInUse hosts that run jobs which this one waits for
     */
    void tick(Supplier<Status> status, Supplier<Set<String>> mastersInUse, LossListener listener, long now) {
        boolean roundDue = now - sentNanos >= roundNanos();
        if (roundDue) {
            sentNanos = now;
            links.openMissingConnections(now);
            watch(mastersInUse.get(), now);
        }
        Status told = null;
        for (Peer peer : peers.values()) {
            if (peer.owed || (roundDue && isDue(peer, now))) {
                told = told == null ? status.get() : told;
                send(peer, told, now);
            }
            if (roundDue) {
                check(peer, listener, now);
            }
        }
    }

    private boolean isDue(Peer peer, long now) {
        long interval = watchers.interval(peer.info.id()).toNanos();
        return now - peer.sentNanos >= interval - SLACK_NANOS;
    }

    /** Chooses the watchers anew with the next heartbeats, because hosts or claims have changed. */
    void reviewWatchers(long now) {
        watchersNanos = now - REVIEW_NANOS;
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
        send(peer, status.get(), now);
    }

    private void watch(Set<String> mastersInUse, long now) {
        boolean complete = mastersInUse.stream().allMatch(host -> host.equals(self.id()) || watchers.contains(host));
        if (complete && now - watchersNanos < REVIEW_NANOS) {
            return;
        }
        watchersNanos = now;
        watchers = Watchers.of(self, ownership, mastersInUse, now);
        // A host that expects the next heartbeat soon must be told that it comes later.
        for (Peer peer : peers.values()) {
            peer.owed |= peer.toldInterval.compareTo(watchers.interval(peer.info.id())) < 0;
        }
    }

    private void check(Peer peer, LossListener listener, long now) {
        if (peer.alive && !ownership.alive(peer.info.id(), peer.info.incarnation(), now)) {
            peer.alive = false;
            changed(peer.info, "GONE", "silent");
        }
        if (!peer.givenUp && ownership.givenUp(peer.info.id(), peer.info.incarnation(), now)) {
            peer.givenUp = true;
            changed(peer.info, "GIVEN_UP", "silent for too long, or refuses connections");
            listener.lost(peer.info, now);
        }
        // After a cut an old connection carries nothing until its retransmission is due, which takes seconds.
        if (!peer.alive && now - peer.connectedNanos > LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            links.reconnect(peer.info.id());
        }
    }

    /** Sends a heartbeat to every host now, because this one has become a master or is about to end. */
    Announcement announce(Status status, long now) {
        reviewWatchers(now);
        ImmutableMap.Builder<String, Long> numbers = ImmutableMap.builder();
        for (Peer peer : peers.values()) {
            send(peer, status, now);
            numbers.put(peer.info.id(), peer.number);
        }
        return new Announcement(numbers.buildOrThrow());
    }

    private void send(Peer peer, Status status, long now) {
        peer.owed = false;
        peer.sentNanos = now;
        peer.number++;
        if (peer.unseenNumber == 0) {
            peer.unseenNumber = peer.number;
            peer.unseenSinceNanos = now;
        }
        metrics.count(MessageKind.HEARTBEAT);
        Duration next = watchers.interval(peer.info.id());
        peer.toldInterval = next;
        links.send(
                peer.info.id(),
                new PeerMessage.Heartbeat(
                        peer.number,
                        peer.seen,
                        peer.info.incarnation(),
                        next,
                        status.stopping(),
                        ownership.ownClaims(),
                        status.loads()));
    }

    /** Returns whether every host that may live has got an announcement; one that is silent is taken for dead. */
    boolean allHaveSeen(Announcement announcement, long now) {
        return peers.values().stream()
                .allMatch(peer ->
                        hasSeen(peer, announcement) || ownership.gone(peer.info.id(), peer.info.incarnation(), now));
    }

    /** Returns whether every host has got an announcement or has certainly ended. */
    boolean allHaveSeenOrEnded(Announcement announcement) {
        return peers.values().stream()
                .allMatch(peer ->
                        hasSeen(peer, announcement) || ownership.ended(peer.info.id(), peer.info.incarnation()));
    }

    private static boolean hasSeen(Peer peer, Announcement announcement) {
        return peer.seenOurs >= announcement.numbers().getOrDefault(peer.info.id(), 1L);
    }

    /** Returns whether this host is the master of a pool or may become one. */
    boolean isSuccessor() {
        return watchers.successor();
    }

    /** Returns the interval at which this host sends heartbeats that are due and looks for hosts that are silent. */
    long roundNanos() {
        return watchers.successor() ? URGENT_NANOS : FREQUENT_NANOS;
    }

    long nextHeartbeat() {
        return sentNanos + roundNanos();
    }

    /** Returns the last load that a pool's master told. */
    PoolLoad load(PoolId pool) {
        return loads.getOrDefault(pool, PoolLoad.NONE);
    }

    /** Returns when a pool's load was told last, 0 if never. */
    long loadToldNanos(PoolId pool) {
        return loadsToldNanos.getOrDefault(pool, 0L);
    }

    /** Counts a job that was pointed to a pool against its room until its master tells its load again. */
    void reserve(PoolId pool, int cpuMillis) {
        loads.computeIfPresent(
                pool,
                (_pool, load) -> new PoolLoad(
                        Math.max(0, load.freeCpuMillis() - cpuMillis), load.widestCpuMillis(), load.openJobs()));
    }

    /** Returns the age of the last heartbeat of a host in milliseconds. */
    long ageMs(String host, long now) {
        Peer peer = peers.get(host);
        return peer == null ? 0 : TimeUnit.NANOSECONDS.toMillis(now - peer.heardNanos);
    }
}
