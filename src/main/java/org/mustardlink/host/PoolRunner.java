package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.MessageKind;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.platform.TargetOrderClient;
import org.mustardlink.pool.FencingToken;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.JobSummary;
import org.mustardlink.pool.LeaseExtension;
import org.mustardlink.pool.LeaseLimits;
import org.mustardlink.pool.OrderAdmission;
import org.mustardlink.pool.OrderVerdict;
import org.mustardlink.pool.PendingStart;
import org.mustardlink.pool.PendingStarts;
import org.mustardlink.pool.PoolActions;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.PoolMaster;
import org.mustardlink.pool.RequestConfirmations;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.StartTiming;
import org.mustardlink.pool.TargetEntry;

/** Runs the masters of this host's pools and sends the orders to their targets. Runs on the loop thread. */
final class PoolRunner {
    /**
     * Time within which the request dispatcher of this host hands its jobs over; it does so with the next event
     * or timer.
     */
    private static final long LOCAL_HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final HostLoop loop;
    private final TargetOrderClient targetOrders;
    private final TargetDirectory targetDirectory;
    private final LeaseLimits leaseLimits;
    private final RequestConfirmations confirmations;
    private final PendingStarts pendingStarts;
    private final EventLog log;
    private final EntryMetrics metrics;
    private final ResultHandler resultHandler;
    private final PoolFinder poolFinder;
    private final Map<PoolId, PoolMaster> masters = new LinkedHashMap<>();
    private final Map<PoolId, SentAnnouncement> openHandovers = new HashMap<>();
    /** Announcements of claims to pools of which an earlier master may still be active. */
    private final Map<PoolId, PeerMonitor.Announcement> unconfirmedClaims = new HashMap<>();

    private final OrderAdmission orderAdmission = new OrderAdmission(System.nanoTime());

    /** The heartbeats that announced a new claim to the other hosts, and the time at which they were sent. */
    private record SentAnnouncement(PeerMonitor.Announcement announcement, long sentNanos) {}

    /** Tests whether every host whose acknowledgment is needed has acknowledged an announcement. */
    @FunctionalInterface
    interface AnnouncementPredicate {
        boolean test(PeerMonitor.Announcement announcement);
    }

    /** Receives the result of a job, with the round of the claim to which its order was sent. */
    @FunctionalInterface
    interface ResultHandler {
        void handleResult(PoolId pool, int round, RequestId request, JobResult result);
    }

    /** Finds another pool with free capacity for the whole first step of a job. */
    @FunctionalInterface
    interface PoolFinder {
        Optional<PoolId> findPool(PoolId pool, JobOrder order);
    }

    PoolRunner(
            HostLoop loop,
            TargetOrderClient targetOrders,
            TargetDirectory targetDirectory,
            LeaseLimits leaseLimits,
            RequestConfirmations confirmations,
            PendingStarts pendingStarts,
            EventLog log,
            EntryMetrics metrics,
            ResultHandler resultHandler,
            PoolFinder poolFinder) {
        this.loop = loop;
        this.targetOrders = targetOrders;
        this.targetDirectory = targetDirectory;
        this.leaseLimits = leaseLimits;
        this.confirmations = confirmations;
        this.pendingStarts = pendingStarts;
        this.log = log;
        this.metrics = metrics;
        this.resultHandler = resultHandler;
        this.poolFinder = poolFinder;
    }

    /** Starts acting as the master of a pool. */
    void acquire(Claim claim, PoolOwnership ownership, long now) {
        PoolId pool = claim.pool();
        log.line(LogEvent.POOL_ACQUIRED)
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, claim.round())
                .write();
        PoolMaster master = new PoolMaster(
                pool,
                FencingToken.firstOfRound(claim.round(), claim.incarnation()),
                leaseLimits,
                confirmations,
                new MasterActions(pool, claim.round(), ownership),
                order -> poolFinder.findPool(pool, order),
                pendingStarts,
                targetDirectory::isComplete,
                now);
        masters.put(pool, master);
        master.updateTargets(targetDirectory.targets(pool), now);
    }

    /** Tracks the heartbeats that announce a new claim to the other hosts, until they are acknowledged. */
    void trackAnnouncement(PoolId pool, PeerMonitor.Announcement announcement, long now) {
        openHandovers.put(pool, new SentAnnouncement(announcement, now));
        unconfirmedClaims.put(pool, announcement);
    }

    /**
     * Notifies each new master once all earlier masters of its pool have ended; any other host may have been one. Returns
     * whether there was any.
     */
    boolean confirmEarlierMastersEnded(AnnouncementPredicate allAcknowledgedOrEnded, long now) {
        return unconfirmedClaims.entrySet().removeIf(entry -> {
            PoolMaster master = masters.get(entry.getKey());
            boolean ended = allAcknowledgedOrEnded.test(entry.getValue());
            if (ended && master != null) {
                master.confirmEarlierMastersEnded(now);
            }
            return ended || master == null;
        });
    }

    /**
     * Completes the handover of the pools whose new claim every live host has acknowledged: a host hands its jobs over
     * before it sends the heartbeat that acknowledges the claim.
     */
    void completeHandovers(AnnouncementPredicate allAcknowledged, long now) {
        openHandovers.entrySet().removeIf(entry -> {
            SentAnnouncement sent = entry.getValue();
            boolean ended = now - sent.sentNanos() > LOCAL_HANDOVER_NANOS && allAcknowledged.test(sent.announcement());
            PoolMaster master = masters.get(entry.getKey());
            if (ended && master != null) {
                log.line(LogEvent.POOL_HANDED_OVER)
                        .with(LogField.POOL, entry.getKey())
                        .with(LogField.ROUND, master.firstToken().round())
                        .with(LogField.AGE_MS, TimeUnit.NANOSECONDS.toMillis(now - sent.sentNanos()))
                        .write();
                master.endHandover();
            }
            return ended || master == null;
        });
    }

    /** Returns whether entry hosts may still hand over jobs of the earlier master of any pool. */
    boolean hasOpenHandovers() {
        return !openHandovers.isEmpty();
    }

    /** Stops acting as the master of a pool; returns the starts of the master that may still be carried out. */
    @CanIgnoreReturnValue
    ImmutableSet<PendingStart> release(PoolId pool, String reason) {
        PoolMaster master = masters.remove(pool);
        log.line(LogEvent.POOL_RELEASED)
                .with(LogField.POOL, pool)
                .with(LogField.REASON, reason)
                .write();
        if (master == null) {
            return ImmutableSet.of();
        }
        master.release();
        return ImmutableSet.<PendingStart>builder()
                .addAll(master.pendingStarts())
                .addAll(master.takeUnansweredStarts())
                .build();
    }

    /**
     * Submits a job to the master of a pool, or answers its order if {@link OrderAdmission} has a result for it.
     *
     * @param round round of the claim to which the entry host has sent the order
     */
    void submit(PoolId pool, int round, JobOrder order, long now) {
        PoolMaster master = masters.get(pool);
        OptionalInt masterRound = master == null
                ? OptionalInt.empty()
                : OptionalInt.of(master.firstToken().round());
        orderAdmission
                .admit(pool, round, masterRound, order, now)
                .ifPresentOrElse(
                        result -> resultHandler.handleResult(pool, round, order.request(), result),
                        () -> master.submitJob(order, now));
    }

    /** Withdraws a request that no caller waits for any more, whether its order has arrived or not. */
    void withdraw(PoolId pool, RequestId request, String job, long now) {
        PoolMaster master = masters.get(pool);
        if (master != null) {
            master.withdrawRequest(request, job, now);
        }
        orderAdmission.recordWithdrawal(request);
    }

    /** Cancels a job in every pool of this host; returns whether the job was open in any of them. */
    boolean cancel(String job, long now) {
        boolean found = false;
        for (PoolMaster master : masters.values()) {
            found |= master.cancelJob(job, now);
        }
        return found;
    }

    /**
     * Withdraws the requests of a lost entry host: all that have arrived, and those that arrive before
     * {@link #readmitEntryHost} accepts the entry host again.
     *
     * @param lastSentHeartbeat number of the last heartbeat that this host has sent
     */
    void handleEntryHostLoss(String host, long incarnation, long lastSentHeartbeat, long now) {
        masters.values().forEach(master -> master.handleEntryHostLoss(host, incarnation, now));
        orderAdmission.recordEntryHostLoss(host, incarnation, lastSentHeartbeat);
    }

    /**
     * Accepts new requests of an entry host that was considered lost, if it has acknowledged a heartbeat that was sent
     * after the loss.
     *
     * @param acknowledgedHeartbeat highest number of a heartbeat of this host that the entry host has acknowledged
     */
    void readmitEntryHost(String host, long incarnation, long acknowledgedHeartbeat) {
        if (orderAdmission.readmitEntryHost(host, incarnation, acknowledgedHeartbeat)) {
            log.line(LogEvent.PEER_CHANGED)
                    .with(LogField.MEMBER, host)
                    .with(LogField.INCARNATION, incarnation)
                    .with(LogField.STATE, "READMITTED")
                    .with(LogField.REASON, "acknowledged a heartbeat that was sent after its loss")
                    .write();
        }
    }

    void updateTargets(long now) {
        masters.forEach((pool, master) -> master.updateTargets(targetDirectory.targets(pool), now));
    }

    /**
     * Returns whether the list of targets should be read at once, because a target of this host's pools has started
     * again and its new entry isn't known. The entry may have been read before the restart was noticed.
     */
    boolean requestsTargetList(long now) {
        boolean requested = false;
        for (Map.Entry<PoolId, PoolMaster> entry : masters.entrySet()) {
            if (entry.getValue().requestsTargetList(now)) {
                entry.getValue().updateTargets(targetDirectory.targets(entry.getKey()), now);
                requested = true;
            }
        }
        return requested;
    }

    void tick(long now) {
        orderAdmission.expire(now);
        ImmutableList.copyOf(masters.values()).forEach(master -> master.tickIfDue(now));
    }

    long nextDueNanos(long now, long latestNanos) {
        return masters.values().stream()
                .mapToLong(master -> master.nextTickNanos(now))
                .reduce(latestNanos, Math::min);
    }

    ImmutableMap<PoolId, PoolLoad> loads(long now) {
        ImmutableMap.Builder<PoolId, PoolLoad> loads = ImmutableMap.builder();
        masters.forEach((pool, master) -> loads.put(pool, master.load(now)));
        return loads.buildOrThrow();
    }

    /** Returns the masters of this host's pools. */
    Collection<PoolMaster> masters() {
        return Collections.unmodifiableCollection(masters.values());
    }

    Optional<PoolLoad> load(PoolId pool, long now) {
        return Optional.ofNullable(masters.get(pool)).map(master -> master.load(now));
    }

    /** Requests any response from one target of a pool, with a fencing token that every target refuses or ignores. */
    void probe(PoolId pool, Runnable onResponse) {
        ImmutableList<TargetEntry> entries = targetDirectory.targets(pool);
        if (entries.isEmpty()) {
            return;
        }
        TargetEntry entry = entries.get(ThreadLocalRandom.current().nextInt(entries.size()));
        LeaseExtension order = new LeaseExtension(0, 0, OptionalLong.empty(), 0, 0);
        targetOrders.extendLease(entry, order, response -> {
            boolean responded =
                    response.verdict() != OrderVerdict.UNKNOWN && response.verdict() != OrderVerdict.NOT_SENT;
            if (responded) {
                onResponse.run();
            }
        });
    }

    /** Carries out the actions of the master of one claim. */
    private final class MasterActions implements PoolActions {
        private final PoolId pool;
        private final int round;
        private final PoolOwnership ownership;
        private final MasterLog masterLog;

        private MasterActions(PoolId pool, int round, PoolOwnership ownership) {
            this.pool = pool;
            this.round = round;
            this.ownership = ownership;
            this.masterLog = new MasterLog(log, pool, round);
        }

        /**
         * Posts an event for the master of the claim; the event is dropped if the claim is no longer in force by then.
         */
        private void postToMaster(MasterEvent event) {
            loop.post(now -> {
                PoolMaster master = masters.get(pool);
                if (master != null && master.firstToken().round() == round) {
                    event.accept(master, now);
                }
            });
        }

        @Override
        public void startRun(TargetEntry target, RunId run, String payload, long deadlineMs, long fencingToken) {
            metrics.count(MessageKind.START);
            targetOrders.start(
                    target,
                    run,
                    payload,
                    deadlineMs,
                    fencingToken,
                    response -> postToMaster((master, now) ->
                            master.handleStartResponse(target.id(), run, response.verdict(), response.clockMs(), now)));
        }

        @Override
        public void stopRun(TargetEntry target, RunId run, long fencingToken) {
            metrics.count(MessageKind.CANCEL);
            targetOrders.stop(
                    target,
                    run,
                    fencingToken,
                    response -> postToMaster((master, now) ->
                            master.handleStopResponse(target.id(), run, response.verdict(), response.clockMs(), now)));
        }

        @Override
        public void extendLease(TargetEntry target, LeaseExtension order) {
            metrics.count(MessageKind.REPORT);
            targetOrders.extendLease(
                    target,
                    order,
                    response -> postToMaster((master, now) -> response.report()
                            .ifPresentOrElse(
                                    report -> master.handleReport(target.id(), order.sequenceNumber(), report, now),
                                    () -> master.handleReportFailure(
                                            target.id(), order.sequenceNumber(), response.verdict(), now))));
        }

        @Override
        public void sendResult(RequestId request, JobSummary job, JobResult result) {
            long now = System.nanoTime();
            OptionalLong admittedNanos = orderAdmission.admittedNanos(request);
            long elapsedMs =
                    admittedNanos.isEmpty() ? -1 : TimeUnit.NANOSECONDS.toMillis(now - admittedNanos.getAsLong());
            masterLog.logJobEnd(job, result, elapsedMs, load(pool, now).orElse(PoolLoad.NONE));
            orderAdmission.recordResult(pool, round, request, result);
            resultHandler.handleResult(pool, round, request, result);
        }

        @Override
        public void reportFenced(TargetEntry _target) {
            postToMaster((_master, now) -> ownership.recordFencingRejection(pool, now));
        }

        @Override
        public void recordPlacement(int plannedJobs) {
            metrics.countPlacement(plannedJobs);
        }

        @Override
        public void logStart(TargetEntry target, RunId run, StartTiming timing) {
            masterLog.logStart(target, run, timing);
        }

        @Override
        public void logJobChange(String job, String change, String reason) {
            masterLog.logJobChange(job, change, reason);
        }

        @Override
        public void logTargetChange(TargetEntry target, String change, String reason) {
            masterLog.logTargetChange(target, change, reason);
        }
    }

    @FunctionalInterface
    private interface MasterEvent {
        void accept(PoolMaster master, long now);
    }
}
