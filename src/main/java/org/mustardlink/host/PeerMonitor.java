package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
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
import org.mustardlink.ownership.HeartbeatSchedule;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RequestId;

/**
 * Exchanges heartbeats with the other hosts, and keeps the loads of pools that they report. Runs on the loop thread.
 *
 * <p>{@link HeartbeatSchedule} determines how often this host sends heartbeats to each of the others. A heartbeat whose
 * claims differ from those of the sender's previous heartbeat is answered at once, and so is the first one after a
 * silence.
 */
final class PeerMonitor {
    private static final long URGENT_INTERVAL_NANOS = HeartbeatSchedule.URGENT_INTERVAL.toNanos();
    private static final long FREQUENT_INTERVAL_NANOS = HeartbeatSchedule.FREQUENT_INTERVAL.toNanos();
    private static final long RARE_INTERVAL_NANOS = HeartbeatSchedule.RARE_INTERVAL.toNanos();
    /**
     * Heartbeats that are due within this time are sent in the current cycle, so that intervals do not grow by a cycle.
     */
    private static final long HEARTBEAT_SLACK_NANOS = HeartbeatSchedule.URGENT_INTERVAL.toNanos() / 2;
    /**
     * Interval at which the schedule is computed again without a known change, because hosts may have fallen silent.
     */
    private static final long SCHEDULE_REVIEW_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * A heartbeat that its receiver has not acknowledged after this time shows that the link to the receiver is dead.
     */
    private static final long ACKNOWLEDGMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Minimum age of a link before it is replaced for a lack of heartbeats. */
    private static final long MIN_LINK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final HostInfo self;
    private final PoolOwnership ownership;
    private final EventLog log;
    private final EntryMetrics metrics;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<PoolId, PoolLoad> loads = new HashMap<>();
    private final Map<PoolId, Long> loadReceivedNanos = new HashMap<>();
    private HeartbeatSchedule schedule = HeartbeatSchedule.INITIAL;
    private long scheduleReviewedNanos;
    private PeerLinks links;
    private long lastCycleNanos;
    /**
     * Number of the last heartbeat sent to any host. The numbers don't restart when a host is registered again, so a
     * number that a host acknowledges tells which heartbeats had been sent before.
     */
    private long lastHeartbeatNumber;

    private static final class Peer {
        private HostInfo info;
        /** Number of the last heartbeat sent to the host. */
        private long lastSentNumber;
        /** Number of the last heartbeat received from the host. */
        private long lastReceivedNumber;
        /** Number of the last heartbeat that the host has acknowledged. */
        private long acknowledgedNumber;

        /** Number of the oldest heartbeat that the host has not acknowledged, 0 if there is none. */
        private long unacknowledgedNumber;

        private long unacknowledgedSinceNanos;
        /** The claims in the last heartbeat received from the host. */
        private ImmutableList<Claim> lastReceivedClaims = ImmutableList.of();
        /**
         * Withdrawals that the host hasn't acknowledged, in the order in which heartbeats list them. None is dropped,
         * because a heartbeat that lists all withdrawals confirms the other requests.
         */
        private final Map<RequestId, UnacknowledgedWithdrawal> withdrawals = new LinkedHashMap<>();

        /** Whether the last heartbeat sent to the host listed as many withdrawals as fit. */
        private boolean moreWithdrawalsDue;

        private long lastSentNanos;
        private long connectedNanos;
        private long lastReceivedNanos;
        /** The time to the next heartbeat that the last one sent to the host announced. */
        private Duration announcedInterval = HeartbeatSchedule.RARE_INTERVAL;

        private boolean alive;
        private boolean sendImmediately;
        private boolean declaredLost;
    }

    /**
     * A withdrawal that its master may not have received.
     *
     * @param firstHeartbeatNumber number of the first heartbeat that has listed the withdrawal, as all later ones do;
     *     empty if none has
     */
    private record UnacknowledgedWithdrawal(PeerMessage.Withdraw message, OptionalLong firstHeartbeatNumber) {
        boolean isAcknowledged(long acknowledgedNumber) {
            return firstHeartbeatNumber.isPresent() && firstHeartbeatNumber.getAsLong() <= acknowledgedNumber;
        }

        UnacknowledgedWithdrawal listedIn(long heartbeatNumber) {
            return firstHeartbeatNumber.isPresent()
                    ? this
                    : new UnacknowledgedWithdrawal(message, OptionalLong.of(heartbeatNumber));
        }
    }

    /** Is notified when an incarnation of another host is lost. */
    @FunctionalInterface
    interface LossListener {
        void onHostLost(HostInfo host, long now);
    }

    /**
     * The part of a heartbeat that is the same for all receivers.
     *
     * @param stopping whether this host is about to stop
     * @param loads loads of the pools of which this host is the master
     */
    record Status(boolean stopping, ImmutableMap<PoolId, PoolLoad> loads) {}

    /**
     * The heartbeats that announced a claim to every host known at the time.
     *
     * @param heartbeatNumbers number of the heartbeat by host
     */
    record Announcement(ImmutableMap<String, Long> heartbeatNumbers) {}

    PeerMonitor(HostInfo self, PoolOwnership ownership, EventLog log, EntryMetrics metrics, long now) {
        this.self = self;
        this.ownership = ownership;
        this.log = log;
        this.metrics = metrics;
        this.lastCycleNanos = now - URGENT_INTERVAL_NANOS;
        this.scheduleReviewedNanos = now - SCHEDULE_REVIEW_INTERVAL_NANOS;
    }

    void setLinks(PeerLinks openedLinks) {
        links = openedLinks;
    }

    /** Registers a host that is listed in the store or that introduced itself. */
    void registerPeer(HostInfo info, boolean introducedItself, LossListener listener, long now) {
        if (info.id().equals(self.id()) || !ownership.addHost(info, introducedItself, now)) {
            return;
        }
        Peer previous = peers.get(info.id());
        if (previous != null) {
            listener.onHostLost(previous.info, now);
        }
        Peer peer = new Peer();
        peer.info = info;
        peer.lastSentNumber = lastHeartbeatNumber;
        peer.lastSentNanos = now - RARE_INTERVAL_NANOS;
        peer.connectedNanos = now;
        peer.lastReceivedNanos = now;
        peers.put(info.id(), peer);
        links.addPeer(info);
        requestScheduleReview(now);
        logStateChange(info, "INTRODUCED", introducedItself ? "introduced itself" : "listed in the store");
    }

    private void logStateChange(HostInfo info, String state, String reason) {
        log.line(LogEvent.PEER_CHANGED)
                .with(LogField.MEMBER, info.id())
                .with(LogField.INCARNATION, info.incarnation())
                .with(LogField.STATE, state)
                .with(LogField.REASON, reason)
                .write();
    }

    /** Records that the link to a host was opened. */
    void recordConnection(String host, long now) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.connectedNanos = now;
            peer.sendImmediately = true;
        }
    }

    /**
     * Handles a heartbeat; returns whether the timers must run at once, because claims have changed, the sender waits
     * for a confirmation or the sender is stopping.
     */
    boolean receiveHeartbeat(HostInfo sender, PeerMessage.Heartbeat heartbeat, long now) {
        Peer peer = peers.get(sender.id());
        if (peer == null || peer.info.incarnation() != sender.incarnation()) {
            return false;
        }
        metrics.count(MessageKind.HEARTBEAT_RECEIVED);
        boolean firstHeartbeat = peer.lastReceivedNumber == 0;
        peer.lastReceivedNumber = heartbeat.sequence();
        // After a restart of this host, the sender may still acknowledge heartbeats of the earlier incarnation.
        if (heartbeat.acknowledgedIncarnation() == self.incarnation()) {
            peer.acknowledgedNumber = Math.max(peer.acknowledgedNumber, heartbeat.acknowledged());
            boolean withdrawalsAcknowledged = peer.withdrawals
                    .values()
                    .removeIf(withdrawal -> withdrawal.isAcknowledged(peer.acknowledgedNumber));
            // The requests are confirmed again only by a heartbeat that lists all withdrawals.
            peer.sendImmediately |= withdrawalsAcknowledged && peer.moreWithdrawalsDue;
        }
        if (peer.acknowledgedNumber >= peer.unacknowledgedNumber) {
            peer.unacknowledgedNumber = 0;
        } else if (now - peer.unacknowledgedSinceNanos > ACKNOWLEDGMENT_TIMEOUT_NANOS) {
            replaceUnacknowledgedLink(peer, now);
        }
        peer.lastReceivedNanos = now;
        ownership.recordHeartbeat(sender.id(), sender.incarnation(), heartbeat.untilNext(), heartbeat.stopping(), now);
        boolean claimsChanged = false;
        for (Claim claim : heartbeat.claims()) {
            claimsChanged |= ownership.recordClaim(claim, now);
        }
        // The sender waits for a confirmation of its claims, even if they were read from the store before.
        boolean confirmationDue = !peer.lastReceivedClaims.equals(heartbeat.claims());
        if (confirmationDue) {
            peer.lastReceivedClaims = heartbeat.claims();
            peer.sendImmediately = true;
        }
        // The sender repeats its withdrawals in every heartbeat until they are acknowledged.
        peer.sendImmediately |= !heartbeat.withdrawals().isEmpty();
        if (claimsChanged) {
            requestScheduleReview(now);
        }
        loads.putAll(heartbeat.loads());
        heartbeat.loads().keySet().forEach(pool -> loadReceivedNanos.put(pool, now));
        peer.declaredLost = false;
        if (!peer.alive) {
            peer.alive = true;
            // Each of the two hosts may take the other for lost, until a heartbeat that it sends now is acknowledged.
            peer.sendImmediately |= !firstHeartbeat;
            logStateChange(sender, "ALIVE", "heard");
        }
        return claimsChanged || peer.sendImmediately || heartbeat.stopping();
    }

    /**
     * Replaces a link that does not deliver heartbeats although the host is alive: the network has lost the connection.
     */
    private void replaceUnacknowledgedLink(Peer peer, long now) {
        if (now - peer.connectedNanos > MIN_LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            peer.unacknowledgedNumber = 0;
            links.reconnect(peer.info.id());
        }
    }

    /**
     * Sends the heartbeats that are due, and detects hosts that are gone.
     *
     * @param status returns the status that the heartbeats report
     * @param mastersInUse returns the masters that run jobs for callers of this host
     */
    void tick(Supplier<Status> status, Supplier<Set<String>> mastersInUse, LossListener listener, long now) {
        boolean cycleDue = now - lastCycleNanos >= cycleNanos();
        if (cycleDue) {
            lastCycleNanos = now;
            links.openMissingConnections(now);
            reviewSchedule(hostsWithJobs(mastersInUse.get()), now);
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
        long interval = schedule.heartbeatInterval(peer.info.id()).toNanos();
        return now - peer.lastSentNanos >= interval - HEARTBEAT_SLACK_NANOS;
    }

    /** Makes the next cycle compute the schedule again, because hosts or claims have changed. */
    void requestScheduleReview(long now) {
        scheduleReviewedNanos = now - SCHEDULE_REVIEW_INTERVAL_NANOS;
    }

    /**
     * Increases the rate of heartbeats to a host that is about to receive a job, so that it soon notices the loss of
     * this host. The heartbeat that announces the new interval is sent ahead of the job: a master that expects the next
     * heartbeat in two seconds would let the job run on for that long after the loss of its entry host, while the
     * caller sends the job again after 1.3 s.
     */
    void announceFrequentHeartbeats(String host, Supplier<Status> status, long now) {
        Peer peer = peers.get(host);
        if (peer == null || schedule.mustDetectFailureSoon(host)) {
            return;
        }
        schedule = schedule.withFrequentHost(host);
        sendHeartbeat(peer, status.get(), now);
    }

    /**
     * Sends a withdrawal to the master of a job, and repeats it with the heartbeats to the master's host until that
     * host acknowledges one: a message that was sent on a connection that breaks is lost.
     */
    void withdraw(String host, PeerMessage.Withdraw withdrawal) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.withdrawals.put(withdrawal.request(), new UnacknowledgedWithdrawal(withdrawal, OptionalLong.empty()));
        }
        links.send(host, withdrawal);
    }

    /** Returns the hosts that need frequent heartbeats because their masters run or may run jobs of this host. */
    private Set<String> hostsWithJobs(Set<String> mastersInUse) {
        Set<String> hosts = new HashSet<>(mastersInUse);
        for (Peer peer : peers.values()) {
            if (peer.alive && !peer.withdrawals.isEmpty()) {
                hosts.add(peer.info.id());
            }
        }
        return hosts;
    }

    private void reviewSchedule(Set<String> mastersInUse, long now) {
        boolean mastersCovered =
                mastersInUse.stream().allMatch(host -> host.equals(self.id()) || schedule.mustDetectFailureSoon(host));
        if (mastersCovered && now - scheduleReviewedNanos < SCHEDULE_REVIEW_INTERVAL_NANOS) {
            return;
        }
        scheduleReviewedNanos = now;
        schedule = HeartbeatSchedule.of(self, ownership, mastersInUse, now);
        // A host that expects its next heartbeat earlier than the new interval must be informed at once.
        for (Peer peer : peers.values()) {
            peer.sendImmediately |= peer.announcedInterval.compareTo(schedule.heartbeatInterval(peer.info.id())) < 0;
        }
    }

    private void checkLiveness(Peer peer, LossListener listener, long now) {
        if (peer.alive && !ownership.isAlive(peer.info.id(), peer.info.incarnation(), now)) {
            peer.alive = false;
            logStateChange(peer.info, "GONE", "silent");
        }
        if (!peer.declaredLost && ownership.shouldAbandonWork(peer.info.id(), peer.info.incarnation(), now)) {
            peer.declaredLost = true;
            // Only the acknowledgment of a heartbeat that is sent from now on shows that the host is alive.
            peer.sendImmediately = true;
            logStateChange(peer.info, "GIVEN_UP", "no heartbeat for too long, or connections refused");
            listener.onHostLost(peer.info, now);
        }
        // After a network partition an old connection carries nothing until TCP retransmits, which takes seconds.
        if (!peer.alive && now - peer.connectedNanos > MIN_LINK_AGE_NANOS) {
            peer.connectedNanos = now;
            links.reconnect(peer.info.id());
        }
    }

    /** Sends a heartbeat to every host now, because this host has become a master or is about to stop. */
    Announcement announce(Status status, long now) {
        requestScheduleReview(now);
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
        lastHeartbeatNumber++;
        peer.lastSentNumber = lastHeartbeatNumber;
        if (peer.unacknowledgedNumber == 0) {
            peer.unacknowledgedNumber = peer.lastSentNumber;
            peer.unacknowledgedSinceNanos = now;
        }
        metrics.count(MessageKind.HEARTBEAT);
        Duration nextInterval = schedule.heartbeatInterval(peer.info.id());
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
                        status.loads(),
                        listWithdrawals(peer)));
    }

    /** Returns the withdrawals for the heartbeat to a host that was numbered last. */
    private static ImmutableList<PeerMessage.Withdraw> listWithdrawals(Peer peer) {
        ImmutableList.Builder<PeerMessage.Withdraw> listed = ImmutableList.builder();
        int count = 0;
        for (Map.Entry<RequestId, UnacknowledgedWithdrawal> entry : peer.withdrawals.entrySet()) {
            if (count == PeerMessage.Heartbeat.MAX_WITHDRAWALS) {
                break;
            }
            count++;
            entry.setValue(entry.getValue().listedIn(peer.lastSentNumber));
            listed.add(entry.getValue().message());
        }
        peer.moreWithdrawalsDue = count == PeerMessage.Heartbeat.MAX_WITHDRAWALS;
        return listed.build();
    }

    /** Returns whether every host that may be alive has acknowledged an announcement; silent hosts count as dead. */
    boolean allAcknowledged(Announcement announcement, long now) {
        return peers.values().stream()
                .allMatch(peer -> hasAcknowledged(peer, announcement)
                        || ownership.isGone(peer.info.id(), peer.info.incarnation(), now));
    }

    /** Returns whether every host has acknowledged an announcement or has certainly ended. */
    boolean allAcknowledgedOrEnded(Announcement announcement) {
        return peers.values().stream()
                .allMatch(peer -> hasAcknowledged(peer, announcement)
                        || ownership.hasEnded(peer.info.id(), peer.info.incarnation()));
    }

    private static boolean hasAcknowledged(Peer peer, Announcement announcement) {
        return peer.acknowledgedNumber >= announcement.heartbeatNumbers().getOrDefault(peer.info.id(), 1L);
    }

    /** Returns the number of the last heartbeat that this host has sent to any host. */
    long lastHeartbeatNumber() {
        return lastHeartbeatNumber;
    }

    /** Returns the highest number of a heartbeat that an incarnation of a host has acknowledged, 0 if none is known. */
    long acknowledgedNumber(String host, long incarnation) {
        Peer peer = peers.get(host);
        return peer == null || peer.info.incarnation() != incarnation ? 0 : peer.acknowledgedNumber;
    }

    /** Returns whether this host is the master of a pool or may become one. */
    boolean isMasterOrCandidate() {
        return schedule.masterOrCandidate();
    }

    /** Returns the interval at which this host sends the heartbeats that are due and checks for silent hosts. */
    long cycleNanos() {
        return schedule.masterOrCandidate() ? URGENT_INTERVAL_NANOS : FREQUENT_INTERVAL_NANOS;
    }

    long nextCycleNanos() {
        return lastCycleNanos + cycleNanos();
    }

    /** Returns the load that the master of a pool has last reported. */
    PoolLoad load(PoolId pool) {
        return loads.getOrDefault(pool, PoolLoad.NONE);
    }

    /** Returns the time at which the load of a pool was last reported, 0 if never. */
    long loadReceivedNanos(PoolId pool) {
        return loadReceivedNanos.getOrDefault(pool, 0L);
    }

    /**
     * Reduces the known free CPU of a pool by that of a job redirected to it, until its master reports a load again.
     */
    void reserveCpu(PoolId pool, int cpuMillis) {
        loads.computeIfPresent(
                pool,
                (_pool, load) -> new PoolLoad(
                        Math.max(0, load.freeCpuMillis() - cpuMillis), load.maxTargetFreeCpuMillis(), load.openJobs()));
    }

    /** Returns the age of the last heartbeat from a host in milliseconds, 0 if the host is unknown. */
    long heartbeatAgeMs(String host, long now) {
        Peer peer = peers.get(host);
        return peer == null ? 0 : TimeUnit.NANOSECONDS.toMillis(now - peer.lastReceivedNanos);
    }
}
