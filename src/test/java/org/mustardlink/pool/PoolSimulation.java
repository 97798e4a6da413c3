package org.mustardlink.pool;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.SetMultimap;
import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.front.CallerResponse;
import org.mustardlink.front.DispatchActions;
import org.mustardlink.front.PoolDirectory;
import org.mustardlink.front.RequestDispatcher;
import org.mustardlink.ownership.Claim;

/**
 * Simulates traffic on three entry hosts per domain, the masters of several pools and targets with leases. Time is
 * simulated and there is no network. The first host of a domain is the master of its pool; the others learn the pool's
 * load from heartbeats. Runs with the same seed give the same result.
 */
final class PoolSimulation {
    private static final long NETWORK_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(300);
    private static final long CROSS_DOMAIN_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(1_700);
    private static final long CALLER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Age above which a known load of a pool doesn't rule out free capacity there; hosts apply the same limit. */
    private static final long MAX_LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Interval of heartbeats to hosts of other domains that aren't masters themselves. */
    private static final long SLOW_HEARTBEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long CALLER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double STRETCH = 1.6;
    private static final int HOSTS_PER_DOMAIN = 3;
    private static final long OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /**
     * Draws arrivals and jobs. Faults have their own generator, so that versions of the code are compared on the
     * same jobs.
     */
    private final SplittableRandom random;

    private final SplittableRandom faultRandom;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::timeNanos).thenComparingLong(ScheduledEvent::sequence));
    private final Map<PoolId, PoolMaster> masters = new LinkedHashMap<>();
    private final Map<PoolId, Claim> claims = new LinkedHashMap<>();
    private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
    private final Map<PoolId, ImmutableList<TargetEntry>> entriesByPool = new HashMap<>();
    private final Map<RequestId, PoolId> lastPoolByRequest = new HashMap<>();
    private final SetMultimap<RequestId, PoolId> askedPoolsByRequest = HashMultimap.create();
    private final List<Refusal> refusals = new ArrayList<>();
    private double lateStartShare;
    private final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final Map<String, KindOutcomes> outcomes = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long now = TimeUnit.SECONDS.toNanos(1);
    private long sequence;
    private long requestNumber;

    private record ScheduledEvent(long timeNanos, long sequence, Runnable action) {}

    /** A kind of job, with the rate of its arrivals and the means of its random sizes. */
    record JobKind(String name, double jobsPerSecond, int meanTaskCount, double meanTaskMs, int meanCpuMillis) {
        /** Returns the same kind with its arrival rate multiplied by a factor. */
        JobKind scaledBy(double factor) {
            return new JobKind(name, jobsPerSecond * factor, meanTaskCount, meanTaskMs, meanCpuMillis);
        }
    }

    /**
     * A response to a caller that no task of its job has run.
     *
     * @param reason the reason given to the caller
     * @param otherPoolHadCapacity whether a pool that the entry host had not asked could have started the whole job at
     *     that moment
     */
    record Refusal(String kind, String reason, boolean otherPoolHadCapacity) {}

    /** The processor time of a job that has ended, and whether it was completed before its deadline. */
    private record EndedJob(double cpuWork, boolean served) {}

    /** Counts how the jobs of a kind ended. */
    static final class KindOutcomes {
        private final List<EndedJob> endedJobs = new ArrayList<>();
        private int submitted;
        private int inTime;
        private int late;
        private int refused;
        private int refusedLate;
        private int failed;

        double inTimeShare() {
            return submitted == 0 ? 1 : inTime / (double) submitted;
        }

        int submitted() {
            return submitted;
        }

        /** Returns the share of the ended jobs that were completed before their deadline. */
        double servedShare() {
            return servedShareOf(endedJobs);
        }

        /** Returns {@link #servedShare} of the tenth of the jobs that need most processor time. */
        double largestTenthServedShare() {
            List<EndedJob> largestFirst = new ArrayList<>(endedJobs);
            largestFirst.sort(Comparator.comparingDouble(job -> -job.cpuWork()));
            return servedShareOf(largestFirst.subList(0, largestFirst.size() / 10));
        }

        private static double servedShareOf(List<EndedJob> jobs) {
            return jobs.stream().filter(EndedJob::served).count() / (double) Math.max(1, jobs.size());
        }

        int refusedLate() {
            return refusedLate;
        }

        @Override
        public String toString() {
            return "submitted %d, in time %.3f, late %d, refused %d (late %d), failed %d"
                            .formatted(submitted, inTimeShare(), late, refused, refusedLate, failed)
                    + ", served %.3f, of the largest tenth %.3f".formatted(servedShare(), largestTenthServedShare());
        }
    }

    private record Request(
            JobKind kind,
            JobOrder order,
            SimulatedHost host,
            long arrivedNanos,
            long longestTaskNanos,
            ImmutableList<Long> taskNanos) {
        private double cpuWork() {
            return order.steps().get(0).need().cpuMillis()
                    * taskNanos.stream().mapToDouble(Long::doubleValue).sum();
        }
    }

    /** An entry host, with the loads of pools that it knows from heartbeats. */
    private final class SimulatedHost implements PoolDirectory, DispatchActions {
        private final String id;
        private final String domain;
        private final Map<PoolId, PoolLoad> knownLoads = new HashMap<>();
        private final Map<PoolId, Long> heartbeatNanos = new HashMap<>();
        private final RequestDispatcher requestDispatcher;

        private SimulatedHost(String id, String domain) {
            this.id = id;
            this.domain = domain;
            this.requestDispatcher = new RequestDispatcher(domain, this, this);
        }

        private boolean isMaster(PoolId pool) {
            return claims.get(pool).host().equals(id);
        }

        @Override
        public ImmutableList<PoolId> pools(String _service) {
            return ImmutableList.copyOf(masters.keySet());
        }

        @Override
        public Optional<Claim> master(PoolId pool, long _now) {
            return Optional.ofNullable(claims.get(pool));
        }

        @Override
        public PoolLoad load(PoolId pool) {
            return isMaster(pool) ? masters.get(pool).load(now) : knownLoads.getOrDefault(pool, PoolLoad.NONE);
        }

        @Override
        public boolean mayHaveCapacity(PoolId pool, JobOrder order, long _now) {
            return load(pool).coversFirstStep(order)
                    || (!isMaster(pool) && now - heartbeatNanos.getOrDefault(pool, 0L) > MAX_LOAD_AGE_NANOS);
        }

        /**
         * Returns another pool with capacity for a whole job, for redirections by the master on this host. Subtracts
         * the job from the known load of that pool until its next heartbeat.
         */
        private Optional<PoolId> poolWithCapacity(PoolId pool, JobOrder order) {
            int neededCpuMillis = order.steps().get(0).taskCount()
                    * order.steps().get(0).need().cpuMillis();
            Optional<PoolId> other = masters.keySet().stream()
                    .filter(candidate -> !candidate.equals(pool)
                            && load(candidate).freeCpuMillis() >= neededCpuMillis
                            && load(candidate).maxTargetFreeCpuMillis()
                                    >= order.steps().get(0).need().cpuMillis())
                    .max(Comparator.comparingInt(candidate -> load(candidate).freeCpuMillis()));
            other.ifPresent(chosen -> knownLoads.computeIfPresent(
                    chosen,
                    (_pool, load) -> new PoolLoad(
                            load.freeCpuMillis() - neededCpuMillis, load.maxTargetFreeCpuMillis(), load.openJobs())));
            return other;
        }

        private long delayNanos(PoolId pool) {
            if (isMaster(pool)) {
                return 0;
            }
            return pool.domain().equals(domain) ? NETWORK_DELAY_NANOS : CROSS_DOMAIN_DELAY_NANOS;
        }

        @Override
        public void submit(Claim master, JobOrder order) {
            PoolId pool = master.pool();
            lastPoolByRequest.put(order.request(), pool);
            askedPoolsByRequest.put(order.request(), pool);
            schedule(now + delayNanos(pool), () -> {
                masters.get(pool).submitJob(order, now);
                tickMaster(pool);
            });
        }

        @Override
        public void withdraw(Claim master, RequestId request, String job) {
            PoolId pool = master.pool();
            schedule(now + delayNanos(pool), () -> {
                masters.get(pool).withdrawRequest(request, job, now);
                tickMaster(pool);
            });
        }

        @Override
        public void recordSupersededResult(Claim _claim, long _request, JobResult _result) {}

        @Override
        public void respond(long request, CallerResponse response) {
            handleResponse(new RequestId(id, 1, request), response);
        }
    }

    PoolSimulation(long seed) {
        random = new SplittableRandom(seed);
        faultRandom = random.split();
    }

    long now() {
        return now;
    }

    ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    Map<String, KindOutcomes> outcomes() {
        return outcomes;
    }

    SimulatedTarget target(String id) {
        return targets.get(id);
    }

    private void schedule(long timeNanos, Runnable action) {
        events.add(new ScheduledEvent(timeNanos, sequence++, action));
    }

    void scheduleAfter(Duration delay, Runnable action) {
        schedule(now + delay.toNanos(), action);
    }

    /** Adds a pool with targets of two hardware kinds, the second kind with 1.5 times the processors. */
    PoolId addPool(String domain, int plainCount, int fastCount, double plainSpeed, double fastSpeed, int cpuMillis) {
        PoolId pool = new PoolId("yard", domain);
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < plainCount + fastCount; i++) {
            boolean isFast = i >= plainCount;
            String id = domain + '-' + i;
            TargetEntry entry = new TargetEntry(
                    id,
                    0,
                    InetSocketAddress.createUnresolved(id, 1),
                    pool,
                    false,
                    new Capacity(isFast ? cpuMillis * 3 / 2 : cpuMillis, 1 << 16, 0),
                    ImmutableSet.of(isFast ? "b" : "a"));
            entries.add(entry);
            targets.put(id, new SimulatedTarget(entry, isFast ? fastSpeed : plainSpeed));
        }
        entriesByPool.put(pool, ImmutableList.copyOf(entries));
        for (int i = 0; i < HOSTS_PER_DOMAIN; i++) {
            hosts.put(domain + "-host-" + i, new SimulatedHost(domain + "-host-" + i, domain));
        }
        startMaster(pool, 1);
        schedule(now, () -> tickMaster(pool));
        schedule(now, () -> sendHeartbeats(pool));
        return pool;
    }

    private void startMaster(PoolId pool, int round) {
        Claim claim = new Claim(pool, masterHost(pool.domain()), 1, round);
        SimulatedActions actions = new SimulatedActions(claim);
        claims.put(pool, claim);
        actions.master = new PoolMaster(
                pool,
                FencingToken.firstOfRound(round, round * 31L + pool.hashCode()),
                new LeaseLimits(Duration.ofSeconds(1), Duration.ofMillis(1_300)),
                (_request, nanos) -> nanos,
                actions,
                order -> hosts.get(masterHost(pool.domain())).poolWithCapacity(pool, order),
                new PendingStarts(),
                (_since, _now) -> true,
                now);
        actions.master.updateTargets(entriesByPool.get(pool), now);
        masters.put(pool, actions.master);
    }

    /**
     * Starts a new master of a pool under a claim of a higher round and hands it the pool's open jobs. The earlier
     * master continues, as if it had not learned of the new claim.
     */
    void takeOver(PoolId pool, int round) {
        startMaster(pool, round);
        tickMaster(pool);
        for (Request request : ImmutableList.copyOf(requests.values())) {
            if (pool.equals(lastPoolByRequest.get(request.order().request()))) {
                Duration remaining = Duration.ofNanos(request.arrivedNanos() + CALLER_TIMEOUT_NANOS - now);
                masters.get(pool).submitJob(request.order().copyWith(remaining, true, false), now);
            }
        }
        tickMaster(pool);
    }

    private static String masterHost(String domain) {
        return domain + "-host-0";
    }

    private void sendHeartbeats(PoolId pool) {
        PoolLoad load = masters.get(pool).load(now);
        for (SimulatedHost host : hosts.values()) {
            // Masters and hosts of the pool's domain get every heartbeat, other hosts one every two seconds.
            boolean frequentHeartbeats = host.domain.equals(pool.domain()) || host.id.equals(masterHost(host.domain));
            if (frequentHeartbeats
                    || now - host.heartbeatNanos.getOrDefault(pool, 0L) >= SLOW_HEARTBEAT_INTERVAL_NANOS) {
                host.knownLoads.put(pool, load);
                host.heartbeatNanos.put(pool, now);
            }
        }
        schedule(now + HEARTBEAT_INTERVAL_NANOS, () -> sendHeartbeats(pool));
    }

    private void tickMaster(PoolId pool) {
        masters.get(pool).tickIfDue(now);
        schedule(masters.get(pool).nextTickNanos(now), () -> masters.get(pool).tickIfDue(now));
    }

    /** Submits jobs of a kind to a pool between two times, with exponentially distributed gaps. */
    void scheduleTraffic(PoolId pool, JobKind kind, Duration from, Duration to) {
        long startNanos = from.toNanos();
        long endNanos = to.toNanos();
        for (double offsetNanos = startNanos + interarrivalNanos(kind);
                offsetNanos < endNanos;
                offsetNanos += interarrivalNanos(kind)) {
            schedule(TimeUnit.SECONDS.toNanos(1) + (long) offsetNanos, () -> submitJob(pool, kind));
        }
    }

    private double interarrivalNanos(JobKind kind) {
        return -Math.log(1 - random.nextDouble()) / kind.jobsPerSecond() * 1e9;
    }

    private double lognormal(double mean, double sigma) {
        double gauss = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return mean * Math.exp(sigma * gauss - sigma * sigma / 2);
    }

    private void submitJob(PoolId pool, JobKind kind) {
        int taskCount = Math.max(1, (int) Math.round(lognormal(kind.meanTaskCount(), 0.4)));
        int cpuMillis = (int) Math.min(kind.meanCpuMillis() * 1.43, lognormal(kind.meanCpuMillis(), 0.2));
        double jobMs = lognormal(kind.meanTaskMs(), 0.4);
        long[] taskNanos = new long[taskCount];
        long longestTaskNanos = 0;
        for (int i = 0; i < taskCount; i++) {
            taskNanos[i] = (long) (lognormal(jobMs, 0.15) * 1e6);
            longestTaskNanos = Math.max(longestTaskNanos, taskNanos[i]);
        }
        Duration estimate = Duration.ofNanos((long) (lognormal(jobMs, 0.4) * 1e6));
        List<SimulatedHost> domainHosts = hosts.values().stream()
                .filter(host -> host.domain.equals(pool.domain()))
                .toList();
        SimulatedHost host = domainHosts.get((int) (++requestNumber % domainHosts.size()));
        RequestId id = new RequestId(host.id, 1, requestNumber);
        StepSpec step = new StepSpec(
                taskCount,
                new Capacity(cpuMillis, 64, 0),
                estimate,
                ImmutableList.of(),
                Optional.empty(),
                Integer.MAX_VALUE);
        JobOrder order = new JobOrder(
                id,
                "%016x".formatted(requestNumber),
                kind.name(),
                "",
                ImmutableList.of(step),
                3,
                Duration.ofNanos(OBJECTIVE_NANOS),
                STRETCH,
                Duration.ofNanos(CALLER_TIMEOUT_NANOS),
                false,
                true,
                false);
        requests.put(
                id,
                new Request(
                        kind,
                        order,
                        host,
                        now,
                        longestTaskNanos,
                        Longs.asList(taskNanos).stream().collect(ImmutableList.toImmutableList())));
        outcomes.computeIfAbsent(kind.name(), _name -> new KindOutcomes()).submitted++;
        schedule(now + CALLER_DELAY_NANOS, () -> host.requestDispatcher.submit(order, pool.service(), now));
        schedule(now + CALLER_TIMEOUT_NANOS, () -> {
            Request open = requests.remove(id);
            if (open != null) {
                KindOutcomes outcome = outcomes.get(kind.name());
                outcome.failed++;
                outcome.endedJobs.add(new EndedJob(open.cpuWork(), false));
                host.requestDispatcher.handleCallerGone(id.number());
            }
        });
    }

    /** Sets the share of start orders that get no response and are carried out 2 to 12 s later. */
    void setLateStartShare(double share) {
        lateStartShare = share;
    }

    private void handleResponse(RequestId id, CallerResponse response) {
        Request request = requests.remove(id);
        if (request == null) {
            return;
        }
        KindOutcomes outcome = outcomes.get(request.kind().name());
        long elapsedNanos = now + CALLER_DELAY_NANOS - request.arrivedNanos();
        long objectiveNanos = (long) (STRETCH * request.longestTaskNanos()) + OBJECTIVE_NANOS;
        outcome.endedJobs.add(new EndedJob(request.cpuWork(), response.kind() == CallerResponse.Kind.COMPLETE));
        if (response.kind() == CallerResponse.Kind.COMPLETE) {
            if (elapsedNanos <= objectiveNanos) {
                outcome.inTime++;
            } else if (elapsedNanos <= 3 * objectiveNanos) {
                outcome.late++;
            } else {
                outcome.failed++;
            }
        } else if (response.kind() == CallerResponse.Kind.NOT_RUN) {
            outcome.refused++;
            outcome.refusedLate += elapsedNanos > objectiveNanos / 4 + 2 * CALLER_DELAY_NANOS ? 1 : 0;
            Duration remaining = Duration.ofNanos(request.arrivedNanos() + CALLER_TIMEOUT_NANOS - now);
            boolean otherPoolHadCapacity = masters.entrySet().stream()
                    .filter(entry -> !askedPoolsByRequest.containsEntry(id, entry.getKey()))
                    .anyMatch(entry ->
                            entry.getValue().canStartNow(request.order().copyWith(remaining, false, false), now));
            refusals.add(new Refusal(request.kind().name(), response.reason(), otherPoolHadCapacity));
        } else {
            outcome.failed++;
        }
    }

    ImmutableList<Refusal> refusals() {
        return ImmutableList.copyOf(refusals);
    }

    /** Runs the simulation until a time. */
    void run(Duration until) {
        long endNanos = TimeUnit.SECONDS.toNanos(1) + until.toNanos();
        while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
            ScheduledEvent next = events.poll();
            now = Math.max(now, next.timeNanos());
            next.action().run();
        }
        now = endNanos;
    }

    private final class SimulatedActions implements PoolActions {
        private final Claim claim;
        private PoolMaster master;

        private SimulatedActions(Claim claim) {
            this.claim = claim;
        }

        private void notifyMaster(Consumer<PoolMaster> event) {
            event.accept(master);
            master.tickIfDue(now);
            PoolMaster current = master;
            schedule(current.nextTickNanos(now), () -> current.tickIfDue(now));
        }

        @Override
        public void startRun(TargetEntry entry, RunId run, String _payload, long deadlineMs, long fencingToken) {
            SimulatedTarget target = targets.get(entry.id());
            if (faultRandom.nextDouble() < lateStartShare) {
                long delayNanos = TimeUnit.SECONDS.toNanos(2) + (long) (faultRandom.nextDouble() * 10e9);
                schedule(now + delayNanos, () -> target.start(run, deadlineMs, fencingToken));
                schedule(
                        now + TimeUnit.MILLISECONDS.toNanos(120),
                        () -> notifyMaster(poolMaster ->
                                poolMaster.handleStartResponse(entry.id(), run, OrderVerdict.UNKNOWN, 0, now)));
                return;
            }
            schedule(now + NETWORK_DELAY_NANOS, () -> {
                OrderVerdict verdict = target.start(run, deadlineMs, fencingToken);
                if (!target.losesResponses) {
                    schedule(
                            now + NETWORK_DELAY_NANOS,
                            () -> notifyMaster(poolMaster ->
                                    poolMaster.handleStartResponse(entry.id(), run, verdict, target.clockMs(), now)));
                } else {
                    schedule(
                            now + TimeUnit.MILLISECONDS.toNanos(120),
                            () -> notifyMaster(poolMaster ->
                                    poolMaster.handleStartResponse(entry.id(), run, OrderVerdict.UNKNOWN, 0, now)));
                }
            });
        }

        @Override
        public void stopRun(TargetEntry entry, RunId run, long fencingToken) {
            SimulatedTarget target = targets.get(entry.id());
            schedule(now + NETWORK_DELAY_NANOS, () -> {
                target.stop(run, fencingToken);
                schedule(
                        now + NETWORK_DELAY_NANOS,
                        () -> notifyMaster(poolMaster -> poolMaster.handleStopResponse(
                                entry.id(), run, OrderVerdict.DONE, target.clockMs(), now)));
            });
        }

        @Override
        public void extendLease(TargetEntry entry, LeaseExtension order) {
            SimulatedTarget target = targets.get(entry.id());
            schedule(
                    now + NETWORK_DELAY_NANOS,
                    () -> target.handleExtension(
                            order,
                            report -> schedule(
                                    now + NETWORK_DELAY_NANOS,
                                    () -> notifyMaster(poolMaster -> poolMaster.handleReport(
                                            entry.id(), order.sequenceNumber(), report, now)))));
            long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(order.waitMs() + 200);
            schedule(now + timeoutNanos, () -> {
                if (target.silent) {
                    notifyMaster(poolMaster -> poolMaster.handleReportFailure(
                            entry.id(), order.sequenceNumber(), OrderVerdict.UNKNOWN, now));
                }
            });
        }

        @Override
        public void sendResult(RequestId request, JobSummary _job, JobResult result) {
            SimulatedHost host = hosts.get(request.host());
            schedule(
                    now + host.delayNanos(claim.pool()),
                    () -> host.requestDispatcher.handleResult(request, claim, result, now));
        }

        @Override
        public void reportFenced(TargetEntry _target) {}

        @Override
        public void recordPlacement(int _plannedJobs) {}

        @Override
        public void logStart(TargetEntry _target, RunId _run, StartTiming _timing) {}

        @Override
        public void logJobChange(String _job, String _change, String _reason) {}

        @Override
        public void logTargetChange(TargetEntry _target, String _change, String _reason) {}
    }

    /** A target with one lease for all its runs; tests set its faults. */
    final class SimulatedTarget {
        private final TargetEntry entry;
        private final Map<RunId, ActiveRun> running = new LinkedHashMap<>();
        private final List<LeaseReport.RunEnd> unacknowledgedEnds = new ArrayList<>();
        private final Map<TaskName, Integer> highestEndedRun = new HashMap<>();
        private final List<PendingReport> pendingReports = new ArrayList<>();
        private double speed;
        private boolean hangs;
        private boolean silent;
        private boolean losesResponses;
        private double failureShare;
        private long endCount;
        private long fencingToken;
        private long leaseEndMs;
        private int startCount;

        /** A present run and its running time, 0 if it hangs. */
        private record ActiveRun(long startNanos, long lengthNanos) {
            private int percent(long now) {
                return lengthNanos == 0 ? 0 : (int) ((now - startNanos) * 100 / lengthNanos);
            }
        }

        private record PendingReport(long untilNanos, Consumer<LeaseReport> onReport) {}

        private SimulatedTarget(TargetEntry entry, double speed) {
            this.entry = entry;
            this.speed = speed;
        }

        void setHangs(boolean value) {
            hangs = value;
        }

        void setSilent(boolean value) {
            silent = value;
        }

        void setLosesResponses(boolean value) {
            losesResponses = value;
        }

        void setFailureShare(double share) {
            failureShare = share;
        }

        void slowDownBy(double factor) {
            speed /= factor;
        }

        int startCount() {
            return startCount;
        }

        private long clockMs() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }

        private OrderVerdict start(RunId run, long deadlineMs, long token) {
            if (silent) {
                return OrderVerdict.UNKNOWN;
            }
            if (token < fencingToken) {
                return OrderVerdict.FENCED;
            }
            fencingToken = token;
            extendLease(deadlineMs);
            if (deadlineMs < clockMs()) {
                return OrderVerdict.LATE;
            }
            if (highestEndedRun.getOrDefault(run.task(), 0) >= run.attempt()) {
                return OrderVerdict.OLD;
            }
            Optional<Request> request = requests.values().stream()
                    .filter(candidate ->
                            candidate.order().job().equals(run.task().job()))
                    .findFirst();
            int neededCpuMillis = request.map(
                            found -> found.order().steps().get(0).need().cpuMillis())
                    .orElse(0);
            int usedCpuMillis =
                    running.keySet().stream().mapToInt(this::cpuMillis).sum();
            if (usedCpuMillis + neededCpuMillis > entry.capacity().cpuMillis()) {
                violations.add("capacity exceeded on target " + entry.id());
            }
            boolean alreadyRuns = targets.values().stream()
                    .anyMatch(other -> other.running.keySet().stream()
                            .anyMatch(present -> present.task().equals(run.task())));
            if (alreadyRuns) {
                violations.add("second run of a task: " + run.task());
            }
            startCount++;
            long workNanos = request.map(
                            found -> found.taskNanos().get(run.task().index()))
                    .orElse(0L);
            cpuMillisByRun.put(run, neededCpuMillis);
            running.put(run, new ActiveRun(now, hangs ? 0 : (long) (workNanos / speed)));
            if (faultRandom.nextDouble() < failureShare) {
                end(run, LeaseReport.RunOutcome.FAILED);
            } else if (!hangs) {
                schedule(now + (long) (workNanos / speed), () -> end(run, LeaseReport.RunOutcome.DONE));
            }
            return OrderVerdict.DONE;
        }

        private final Map<RunId, Integer> cpuMillisByRun = new HashMap<>();

        private int cpuMillis(RunId run) {
            return cpuMillisByRun.getOrDefault(run, 0);
        }

        private void extendLease(long deadlineMs) {
            leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, clockMs() + 1_000));
        }

        private void expireLease() {
            if (clockMs() > leaseEndMs) {
                ImmutableList.copyOf(running.keySet()).forEach(run -> end(run, LeaseReport.RunOutcome.LAPSED));
            }
        }

        private void end(RunId run, LeaseReport.RunOutcome outcome) {
            if (running.remove(run) == null) {
                return;
            }
            highestEndedRun.merge(run.task(), run.attempt(), Math::max);
            unacknowledgedEnds.add(new LeaseReport.RunEnd(++endCount, run, outcome));
            List<PendingReport> answeredReports = ImmutableList.copyOf(pendingReports);
            pendingReports.clear();
            answeredReports.forEach(pending -> pending.onReport().accept(report()));
        }

        private void stop(RunId run, long token) {
            if (silent || token < fencingToken) {
                return;
            }
            highestEndedRun.merge(run.task(), run.attempt(), Math::max);
            schedule(now + TimeUnit.MILLISECONDS.toNanos(20), () -> end(run, LeaseReport.RunOutcome.STOPPED));
        }

        private void handleExtension(LeaseExtension order, Consumer<LeaseReport> onReport) {
            if (silent || order.fencingToken() < fencingToken) {
                return;
            }
            fencingToken = order.fencingToken();
            expireLease();
            order.leaseDeadlineMs().ifPresent(this::extendLease);
            unacknowledgedEnds.removeIf(end -> end.sequenceNumber() <= order.acknowledgedUpTo());
            if (!unacknowledgedEnds.isEmpty() || order.waitMs() == 0) {
                onReport.accept(report());
                return;
            }
            PendingReport pending = new PendingReport(now + TimeUnit.MILLISECONDS.toNanos(order.waitMs()), onReport);
            pendingReports.add(pending);
            schedule(pending.untilNanos(), () -> {
                if (pendingReports.remove(pending) && !silent) {
                    onReport.accept(report());
                }
            });
        }

        private LeaseReport report() {
            ImmutableList.Builder<LeaseReport.RunProgress> runProgress = ImmutableList.builder();
            running.forEach(
                    (run, progress) -> runProgress.add(new LeaseReport.RunProgress(run, progress.percent(now))));
            return new LeaseReport(clockMs(), 0, runProgress.build(), ImmutableList.copyOf(unacknowledgedEnds));
        }
    }

    /** Returns the mean over the kinds of the share of jobs that were completed in time. */
    double meanInTimeShare() {
        return outcomes.values().stream()
                .mapToDouble(KindOutcomes::inTimeShare)
                .average()
                .orElse(0);
    }
}
