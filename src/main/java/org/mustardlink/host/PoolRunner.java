package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
import org.mustardlink.pool.HoldOrder;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.OrderVerdict;
import org.mustardlink.pool.PoolActions;
import org.mustardlink.pool.PoolBounds;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.PoolMaster;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.TargetEntry;

/** The pools that this host is the master of, and the orders to their targets. Runs on the loop thread. */
final class PoolRunner {
    /** Results kept for fronts that repeat an order after a lost link; a link is replaced within a second. */
    private static final int MAX_RESULTS = 1_000;
    /** Withdrawn requests kept for orders that arrive late; as many as results. */
    private static final int MAX_WITHDRAWN = 1_000;
    /** Lost process lives kept for orders that arrive late; each end of a host adds one. */
    private static final int MAX_LOST_FRONTS = 1_000;
    /** Within this time this host's own front hands its jobs over; it does so with the next event or timer. */
    private static final long OWN_HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final HostLoop loop;
    private final TargetOrderClient orders;
    private final TargetDirectory targets;
    private final PoolBounds bounds;
    private final EventLog log;
    private final EntryMetrics metrics;
    private final Results results;
    private final OtherPool otherPool;
    private final Map<PoolId, PoolMaster> masters = new LinkedHashMap<>();
    private final Map<PoolId, Announced> announcements = new HashMap<>();
    /** Announcements of claims beside which an earlier master of the pool may still act. */
    private final Map<PoolId, PeerMonitor.Announcement> unconfirmed = new HashMap<>();

    private final Map<RequestId, Long> arrivals = new HashMap<>();
    private final Map<Answered, Kept> recent = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Answered, Kept> _eldest) {
            return size() > MAX_RESULTS;
        }
    };

    /** Requests that nobody waits for any more; their orders may be repeated or may not have arrived yet. */
    private final Set<RequestId> withdrawn = newBoundedSet(MAX_WITHDRAWN);
    /** Process lives of other hosts that were lost and haven't been heard of since. */
    private final Set<FrontLife> lostFronts = newBoundedSet(MAX_LOST_FRONTS);

    /** One process life of a host as a front. */
    private record FrontLife(String host, long incarnation) {}

    /** The heartbeats that told the other hosts of a new claim. */
    private record Announced(PeerMonitor.Announcement announcement, long sentNanos) {}

    /** Tells whether every host that matters has got an announcement. */
    @FunctionalInterface
    interface SeenByAll {
        boolean test(PeerMonitor.Announcement announcement);
    }

    /** A request that a pool has answered. */
    private record Answered(PoolId pool, RequestId request) {}

    /** A result and the round under which it was given. */
    private record Kept(int round, JobResult result) {
        /**
         * Returns whether the result still holds for an order that is sent to a claim. That nothing of the job has started
         * holds for its own claim only: a master in between may have started tasks.
         */
        private boolean holdsFor(int claimRound) {
            boolean saysNotStarted = result instanceof JobResult.Refused || result instanceof JobResult.Redirected;
            return claimRound == round || !saysNotStarted;
        }
    }

    /** Takes the result of a job, with the round of the claim to which its order was sent. */
    @FunctionalInterface
    interface Results {
        void finished(PoolId pool, int round, RequestId request, JobResult result);
    }

    /** Finds another pool that has room for a whole job. */
    @FunctionalInterface
    interface OtherPool {
        Optional<PoolId> find(PoolId pool, JobOrder order);
    }

    PoolRunner(
            HostLoop loop,
            TargetOrderClient orders,
            TargetDirectory targets,
            Duration lease,
            EventLog log,
            EntryMetrics metrics,
            Results results,
            OtherPool otherPool) {
        this.loop = loop;
        this.orders = orders;
        this.targets = targets;
        this.bounds = new PoolBounds(lease);
        this.log = log;
        this.metrics = metrics;
        this.results = results;
        this.otherPool = otherPool;
    }

    /** Returns a set that drops its oldest element when it is full. */
    private static <T> Set<T> newBoundedSet(int bound) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<T, Boolean> _eldest) {
                return size() > bound;
            }
        });
    }

    /** Becomes the master of a pool. */
    void acquire(Claim claim, PoolOwnership ownership, long now) {
        PoolId pool = claim.pool();
        log.line(LogEvent.POOL_ACQUIRED)
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, claim.round())
                .write();
        PoolMaster master = new PoolMaster(
                pool,
                FencingToken.of(claim.round(), claim.incarnation()),
                bounds,
                new Orders(pool, claim.round(), ownership),
                order -> otherPool.find(pool, order),
                targets::complete,
                now);
        masters.put(pool, master);
        master.targetsListed(targets.targets(pool), now);
    }

    /** Notes the heartbeats that tell the other hosts of a new claim. */
    void announced(PoolId pool, PeerMonitor.Announcement announcement, long now) {
        announcements.put(pool, new Announced(announcement, now));
        unconfirmed.put(pool, announcement);
    }

    /** Notes for each pool whether its earlier masters have ended; every other host may have been one. */
    void endEarlierMasters(SeenByAll seenByAllOrEnded, long now) {
        unconfirmed.entrySet().removeIf(entry -> {
            PoolMaster master = masters.get(entry.getKey());
            boolean ended = seenByAllOrEnded.test(entry.getValue());
            if (ended && master != null) {
                master.earlierMastersEnded(now);
            }
            return ended || master == null;
        });
    }

    /**
     * Ends the handover of pools whose claim every live host knows: a host hands its jobs over before it sends the
     * heartbeat that confirms ours.
     */
    void endHandovers(SeenByAll seenByAll, long now) {
        announcements.entrySet().removeIf(entry -> {
            Announced announced = entry.getValue();
            boolean ended =
                    now - announced.sentNanos() > OWN_HANDOVER_NANOS && seenByAll.test(announced.announcement());
            PoolMaster master = masters.get(entry.getKey());
            if (ended && master != null) {
                log.line(LogEvent.POOL_HANDED_OVER)
                        .with(LogField.POOL, entry.getKey())
                        .with(LogField.ROUND, master.fence().round())
                        .with(LogField.AGE_MS, TimeUnit.NANOSECONDS.toMillis(now - announced.sentNanos()))
                        .write();
                master.handoverEnded();
            }
            return ended || master == null;
        });
    }

    /** Returns whether fronts may still hand jobs of an earlier master over. */
    boolean handingOver() {
        return !announcements.isEmpty();
    }

    /** Gives a pool up. */
    void release(PoolId pool, String why) {
        PoolMaster master = masters.remove(pool);
        log.line(LogEvent.POOL_RELEASED)
                .with(LogField.POOL, pool)
                .with(LogField.REASON, why)
                .write();
        if (master != null) {
            master.release();
        }
    }

    /**
     * Takes a job; one that was answered already gets the same answer again. An order of a withdrawn request is answered and
     * starts nothing: the caller may have sent the job again elsewhere. An order that was sent to another claim is handed
     * back, as its front doesn't know under which claim the job runs.
     *
     * @param round the round of the claim under which this host is the pool's master as far as the front knows
     */
    void submit(PoolId pool, int round, JobOrder order, long now) {
        Kept earlier = recent.get(new Answered(pool, order.request()));
        PoolMaster master = masters.get(pool);
        if (earlier != null && earlier.holdsFor(round)) {
            results.finished(pool, round, order.request(), earlier.result());
        } else if (isWithdrawn(order.request())) {
            results.finished(pool, round, order.request(), new JobResult.Abandoned("withdrawn"));
        } else if (master == null || master.fence().round() != round) {
            results.finished(pool, round, order.request(), new JobResult.Moved());
        } else {
            arrivals.putIfAbsent(order.request(), now);
            master.submit(order, now);
        }
    }

    private boolean isWithdrawn(RequestId request) {
        return withdrawn.contains(request) || lostFronts.contains(new FrontLife(request.host(), request.incarnation()));
    }

    /** Notes that nobody waits for a request any more, whether its order has arrived or not. */
    void withdraw(PoolId pool, RequestId request, String job, long now) {
        withdrawn.add(request);
        PoolMaster master = masters.get(pool);
        if (master != null) {
            master.withdraw(request, job, now);
        }
        arrivals.remove(request);
    }

    /** Cancels a job in every pool of this host; returns whether it was open. */
    boolean cancel(String job, long now) {
        boolean found = false;
        for (PoolMaster master : masters.values()) {
            found |= master.cancel(job, now);
        }
        return found;
    }

    /** Withdraws every request of a front: those that have arrived, and all others until it is heard of again. */
    void frontLost(String host, long incarnation, long now) {
        masters.values().forEach(master -> master.frontLost(host, incarnation, now));
        arrivals.keySet().removeIf(request -> {
            boolean lost = request.host().equals(host) && request.incarnation() == incarnation;
            if (lost) {
                withdrawn.add(request);
            }
            return lost;
        });
        lostFronts.add(new FrontLife(host, incarnation));
    }

    /** Notes that a front is heard of: one that was lost was only silent, and its new requests are taken again. */
    void frontHeard(String host, long incarnation) {
        if (!lostFronts.isEmpty()) {
            lostFronts.remove(new FrontLife(host, incarnation));
        }
    }

    void targetsChanged(long now) {
        masters.forEach((pool, master) -> master.targetsListed(targets.targets(pool), now));
    }

    void tick(long now) {
        ImmutableList.copyOf(masters.values()).forEach(master -> master.tickDue(now));
    }

    long nextDue(long now, long latest) {
        return masters.values().stream()
                .mapToLong(master -> master.nextDue(now))
                .reduce(latest, Math::min);
    }

    ImmutableMap<PoolId, PoolLoad> loads(long now) {
        ImmutableMap.Builder<PoolId, PoolLoad> loads = ImmutableMap.builder();
        masters.forEach((pool, master) -> loads.put(pool, master.load(now)));
        return loads.buildOrThrow();
    }

    Optional<PoolLoad> load(PoolId pool, long now) {
        return Optional.ofNullable(masters.get(pool)).map(master -> master.load(now));
    }

    /** Asks one target of a pool for any answer, with a token that every target refuses or ignores. */
    void probe(PoolId pool, Runnable onAnswer) {
        ImmutableList<TargetEntry> entries = targets.targets(pool);
        if (entries.isEmpty()) {
            return;
        }
        TargetEntry entry = entries.get(ThreadLocalRandom.current().nextInt(entries.size()));
        HoldOrder order = new HoldOrder(0, 0, OptionalLong.empty(), 0, 0);
        orders.extendLease(entry, order, answer -> {
            boolean answered = answer.verdict() != OrderVerdict.UNKNOWN && answer.verdict() != OrderVerdict.NOT_SENT;
            if (answered) {
                onAnswer.run();
            }
        });
    }

    /** Carries out the orders of one master. */
    private final class Orders implements PoolActions {
        private final PoolId pool;
        private final int round;
        private final PoolOwnership ownership;

        private Orders(PoolId pool, int round, PoolOwnership ownership) {
            this.pool = pool;
            this.round = round;
            this.ownership = ownership;
        }

        /** Runs an event on this claim's master, if it still is the master. */
        private void onMaster(MasterEvent event) {
            loop.post(now -> {
                PoolMaster master = masters.get(pool);
                if (master != null && master.fence().round() == round) {
                    event.accept(master, now);
                }
            });
        }

        @Override
        public void start(TargetEntry target, RunId run, String payload, long deadlineMs, long fence) {
            metrics.count(MessageKind.START);
            orders.start(
                    target,
                    run,
                    payload,
                    deadlineMs,
                    fence,
                    answer -> onMaster((master, now) ->
                            master.startAnswered(target.id(), run, answer.verdict(), answer.clockMs(), now)));
        }

        @Override
        public void stop(TargetEntry target, RunId run, long fence) {
            metrics.count(MessageKind.CANCEL);
            orders.stop(
                    target,
                    run,
                    fence,
                    answer -> onMaster((master, now) ->
                            master.stopAnswered(target.id(), run, answer.verdict(), answer.clockMs(), now)));
        }

        @Override
        public void hold(TargetEntry target, HoldOrder order) {
            metrics.count(MessageKind.REPORT);
            orders.extendLease(
                    target,
                    order,
                    answer -> onMaster((master, now) -> answer.report()
                            .ifPresentOrElse(
                                    report -> master.reported(target.id(), order.number(), report, now),
                                    () -> master.reportFailed(target.id(), order.number(), answer.verdict(), now))));
        }

        @Override
        public void finished(RequestId request, String job, JobResult result) {
            Long arrived = arrivals.remove(request);
            PoolLoad load = load(pool, System.nanoTime()).orElse(PoolLoad.NONE);
            log.line(LogEvent.JOB_ENDED)
                    .with(LogField.JOB, job)
                    .with(LogField.POOL, pool)
                    .with(LogField.ROUND, round)
                    .with(LogField.ANSWER, result.getClass().getSimpleName())
                    .with(LogField.REASON, result)
                    .with(LogField.ELAPSED_MS, arrived == null ? -1 : (System.nanoTime() - arrived) / 1_000_000)
                    .with(LogField.FREE_CPU, load.freeCpuMillis())
                    .with(LogField.WIDEST_CPU, load.widestCpuMillis())
                    .write();
            // A job that was redirected must not be taken when its order is repeated: it may run in the other pool.
            if (!(result instanceof JobResult.Moved)) {
                recent.put(new Answered(pool, request), new Kept(round, result));
            }
            results.finished(pool, round, request, result);
        }

        @Override
        public void fenced(TargetEntry _target) {
            onMaster((_master, now) -> ownership.fenced(pool, now));
        }

        @Override
        public void jobChanged(String job, String change, String why) {
            log.line(LogEvent.JOB_CHANGED)
                    .with(LogField.JOB, job)
                    .with(LogField.POOL, pool)
                    .with(LogField.ROUND, round)
                    .with(LogField.CHANGE, change)
                    .with(LogField.REASON, why)
                    .write();
        }

        @Override
        public void targetChanged(TargetEntry target, String change, String why) {
            log.line(LogEvent.TARGET_CHANGED)
                    .with(LogField.TARGET, target.id())
                    .with(LogField.POOL, pool)
                    .with(LogField.ROUND, round)
                    .with(LogField.CHANGE, change)
                    .with(LogField.REASON, why)
                    .write();
        }
    }

    @FunctionalInterface
    private interface MasterEvent {
        void accept(PoolMaster master, long now);
    }
}
