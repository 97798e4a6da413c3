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
 * Plays a load pattern on the fronts of three hosts a domain, on the masters of several pools and on targets with leases,
 * in simulated time and without a network. The first host of a domain is the master of its pool; the others know its load
 * from heartbeats. Every run with the same seed gives the same result.
 */
final class PoolSimulation {
    private static final long WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(300);
    private static final long FAR_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(1_700);
    private static final long CALLER_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    private static final long LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Age from which a load says nothing about room, as on a host. */
    private static final long TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Interval of heartbeats to a host that is no watcher of the master. */
    private static final long SELDOM_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double STRETCH = 1.6;
    private static final int HOSTS_A_DOMAIN = 3;
    private static final long OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Draws arrivals and jobs; faults have their own, so that all code that is compared gets the same jobs. */
    private final SplittableRandom random;

    private final SplittableRandom faults;
    private final PriorityQueue<Timed> events =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::sequence));
    private final Map<PoolId, PoolMaster> masters = new LinkedHashMap<>();
    private final Map<PoolId, Claim> claims = new LinkedHashMap<>();
    private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
    private final Map<PoolId, ImmutableList<TargetEntry>> entriesOf = new HashMap<>();
    private final Map<RequestId, PoolId> placed = new HashMap<>();
    private final SetMultimap<RequestId, PoolId> asked = HashMultimap.create();
    private final List<Refusal> refusals = new ArrayList<>();
    private double lateOrders;
    private final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final Map<String, Outcome> outcomes = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long now = TimeUnit.SECONDS.toNanos(1);
    private long sequence;
    private long requestNumber;

    private record Timed(long at, long sequence, Runnable action) {}

    /** A kind of job. */
    record Kind(String name, double perSecond, int tasks, double taskMs, int cpuMillis) {
        /** Returns the same kind at a multiple of its rate. */
        Kind times(double factor) {
            return new Kind(name, perSecond * factor, tasks, taskMs, cpuMillis);
        }
    }

    /**
     * An answer that a job has not run.
     *
     * @param why the reason that the caller is told
     * @param roomElsewhere whether a pool that wasn't asked could have started the whole job at that moment
     */
    record Refusal(String kind, String why, boolean roomElsewhere) {}

    /** How one job ended. */
    private record Ended(double work, boolean served) {}

    /** How the jobs of a kind ended. */
    static final class Outcome {
        private final List<Ended> ended = new ArrayList<>();
        private int asked;
        private int inTime;
        private int late;
        private int refused;
        private int refusedLate;
        private int failed;

        double inTimeShare() {
            return asked == 0 ? 1 : inTime / (double) asked;
        }

        int asked() {
            return asked;
        }

        /** Returns the share of the jobs that ended before their deadline. */
        double servedShare() {
            return share(ended);
        }

        /** Returns the same of the tenth of the jobs with most work. */
        double largestTenthServedShare() {
            List<Ended> largestFirst = new ArrayList<>(ended);
            largestFirst.sort(Comparator.comparingDouble(job -> -job.work()));
            return share(largestFirst.subList(0, largestFirst.size() / 10));
        }

        private static double share(List<Ended> jobs) {
            return jobs.stream().filter(Ended::served).count() / (double) Math.max(1, jobs.size());
        }

        int refusedLate() {
            return refusedLate;
        }

        @Override
        public String toString() {
            return "asked %d, in time %.3f, late %d, refused %d (late %d), failed %d"
                            .formatted(asked, inTimeShare(), late, refused, refusedLate, failed)
                    + ", served %.3f, of the largest tenth %.3f".formatted(servedShare(), largestTenthServedShare());
        }
    }

    private record Request(
            Kind kind,
            JobOrder order,
            SimulatedHost host,
            long arrived,
            long chainNanos,
            ImmutableList<Long> workNanos) {
        private double work() {
            return order.steps().get(0).need().cpuMillis()
                    * workNanos.stream().mapToDouble(Long::doubleValue).sum();
        }
    }

    /** An entry host: its front, and what it knows of the pools from heartbeats. */
    private final class SimulatedHost implements PoolDirectory, DispatchActions {
        private final String id;
        private final String domain;
        private final Map<PoolId, PoolLoad> told = new HashMap<>();
        private final Map<PoolId, Long> toldNanos = new HashMap<>();
        private final RequestDispatcher front;

        private SimulatedHost(String id, String domain) {
            this.id = id;
            this.domain = domain;
            this.front = new RequestDispatcher(domain, this, this);
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
            return isMaster(pool) ? masters.get(pool).load(now) : told.getOrDefault(pool, PoolLoad.NONE);
        }

        @Override
        public boolean mayHaveCapacity(PoolId pool, JobOrder order, long _now) {
            return load(pool).holds(order)
                    || (!isMaster(pool) && now - toldNanos.getOrDefault(pool, 0L) > TELLING_NANOS);
        }

        /** Returns another pool with room for a whole job, as a host does that is asked by its own master. */
        private Optional<PoolId> withRoom(PoolId pool, JobOrder order) {
            int wanted =
                    order.steps().get(0).count() * order.steps().get(0).need().cpuMillis();
            Optional<PoolId> other = masters.keySet().stream()
                    .filter(candidate -> !candidate.equals(pool)
                            && load(candidate).freeCpuMillis() >= wanted
                            && load(candidate).widestCpuMillis()
                                    >= order.steps().get(0).need().cpuMillis())
                    .max(Comparator.comparingInt(candidate -> load(candidate).freeCpuMillis()));
            other.ifPresent(chosen -> told.computeIfPresent(
                    chosen,
                    (_pool, load) ->
                            new PoolLoad(load.freeCpuMillis() - wanted, load.widestCpuMillis(), load.openJobs())));
            return other;
        }

        private long way(PoolId pool) {
            if (isMaster(pool)) {
                return 0;
            }
            return pool.domain().equals(domain) ? WAY_NANOS : FAR_WAY_NANOS;
        }

        @Override
        public void submit(Claim master, JobOrder order) {
            PoolId pool = master.pool();
            placed.put(order.request(), pool);
            asked.put(order.request(), pool);
            at(now + way(pool), () -> {
                masters.get(pool).submit(order, now);
                tick(pool);
            });
        }

        @Override
        public void withdraw(Claim master, RequestId request, String job) {
            PoolId pool = master.pool();
            at(now + way(pool), () -> {
                masters.get(pool).withdraw(request, job, now);
                tick(pool);
            });
        }

        @Override
        public void recordSupersededResult(Claim _claim, long _request, JobResult _result) {}

        @Override
        public void respond(long request, CallerResponse answer) {
            answered(new RequestId(id, 1, request), answer);
        }
    }

    PoolSimulation(long seed) {
        random = new SplittableRandom(seed);
        faults = random.split();
    }

    long now() {
        return now;
    }

    ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    Map<String, Outcome> outcomes() {
        return outcomes;
    }

    SimulatedTarget target(String id) {
        return targets.get(id);
    }

    private void at(long when, Runnable action) {
        events.add(new Timed(when, sequence++, action));
    }

    void after(Duration time, Runnable action) {
        at(now + time.toNanos(), action);
    }

    /** Adds a pool of targets of two hardware kinds, the second one larger and faster. */
    PoolId addPool(String domain, int plain, int fast, double plainSpeed, double fastSpeed, int cpuMillis) {
        PoolId pool = new PoolId("yard", domain);
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < plain + fast; i++) {
            boolean isFast = i >= plain;
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
        entriesOf.put(pool, ImmutableList.copyOf(entries));
        for (int i = 0; i < HOSTS_A_DOMAIN; i++) {
            hosts.put(domain + "-host-" + i, new SimulatedHost(domain + "-host-" + i, domain));
        }
        newMaster(pool, 1);
        at(now, () -> tick(pool));
        at(now, () -> refreshLoad(pool));
        return pool;
    }

    private void newMaster(PoolId pool, int round) {
        Claim claim = new Claim(pool, masterHost(pool.domain()), 1, round);
        Actions actions = new Actions(claim);
        claims.put(pool, claim);
        actions.master = new PoolMaster(
                pool,
                FencingToken.of(round, round * 31L + pool.hashCode()),
                new PoolBounds(Duration.ofSeconds(1)),
                actions,
                order -> hosts.get(masterHost(pool.domain())).withRoom(pool, order),
                _now -> true,
                now);
        actions.master.targetsListed(entriesOf.get(pool), now);
        masters.put(pool, actions.master);
    }

    /**
     * Makes another host the master of a pool and hands it the pool's open jobs; the earlier master goes on as one that
     * has not heard of it.
     */
    void takeOver(PoolId pool, int round) {
        newMaster(pool, round);
        tick(pool);
        for (Request request : ImmutableList.copyOf(requests.values())) {
            if (pool.equals(placed.get(request.order().request()))) {
                Duration left = Duration.ofNanos(request.arrived() + DEADLINE_NANOS - now);
                masters.get(pool).submit(request.order().with(left, true, false), now);
            }
        }
        tick(pool);
    }

    private static String masterHost(String domain) {
        return domain + "-host-0";
    }

    private void refreshLoad(PoolId pool) {
        PoolLoad load = masters.get(pool).load(now);
        for (SimulatedHost host : hosts.values()) {
            // Masters and the hosts of the own domain hear a master often, the others seldom.
            boolean watches = host.domain.equals(pool.domain()) || host.id.equals(masterHost(host.domain));
            if (watches || now - host.toldNanos.getOrDefault(pool, 0L) >= SELDOM_NANOS) {
                host.told.put(pool, load);
                host.toldNanos.put(pool, now);
            }
        }
        at(now + LOAD_AGE_NANOS, () -> refreshLoad(pool));
    }

    private void tick(PoolId pool) {
        masters.get(pool).tickDue(now);
        at(masters.get(pool).nextDue(now), () -> masters.get(pool).tickDue(now));
    }

    /** Sends jobs of a kind to a pool between two times, with random gaps. */
    void traffic(PoolId pool, Kind kind, Duration from, Duration to) {
        long start = from.toNanos();
        long end = to.toNanos();
        for (double t = start + gap(kind); t < end; t += gap(kind)) {
            at(TimeUnit.SECONDS.toNanos(1) + (long) t, () -> arrive(pool, kind));
        }
    }

    private double gap(Kind kind) {
        return -Math.log(1 - random.nextDouble()) / kind.perSecond() * 1e9;
    }

    private double lognormal(double mean, double sigma) {
        double gauss = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return mean * Math.exp(sigma * gauss - sigma * sigma / 2);
    }

    private void arrive(PoolId pool, Kind kind) {
        int count = Math.max(1, (int) Math.round(lognormal(kind.tasks(), 0.4)));
        int cpu = (int) Math.min(kind.cpuMillis() * 1.43, lognormal(kind.cpuMillis(), 0.2));
        double jobMs = lognormal(kind.taskMs(), 0.4);
        long[] work = new long[count];
        long chain = 0;
        for (int i = 0; i < count; i++) {
            work[i] = (long) (lognormal(jobMs, 0.15) * 1e6);
            chain = Math.max(chain, work[i]);
        }
        Duration estimate = Duration.ofNanos((long) (lognormal(jobMs, 0.4) * 1e6));
        List<SimulatedHost> ofDomain = hosts.values().stream()
                .filter(host -> host.domain.equals(pool.domain()))
                .toList();
        SimulatedHost host = ofDomain.get((int) (++requestNumber % ofDomain.size()));
        RequestId id = new RequestId(host.id, 1, requestNumber);
        StepSpec step = new StepSpec(
                count, new Capacity(cpu, 64, 0), estimate, ImmutableList.of(), Optional.empty(), Integer.MAX_VALUE);
        JobOrder order = new JobOrder(
                id,
                "%016x".formatted(requestNumber),
                kind.name(),
                "",
                ImmutableList.of(step),
                3,
                Duration.ofNanos(OBJECTIVE_NANOS),
                STRETCH,
                Duration.ofNanos(DEADLINE_NANOS),
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
                        chain,
                        Longs.asList(work).stream().collect(ImmutableList.toImmutableList())));
        outcomes.computeIfAbsent(kind.name(), _name -> new Outcome()).asked++;
        at(now + CALLER_WAY_NANOS, () -> host.front.submit(order, pool.service(), now));
        at(now + DEADLINE_NANOS, () -> {
            Request open = requests.remove(id);
            if (open != null) {
                Outcome outcome = outcomes.get(kind.name());
                outcome.failed++;
                outcome.ended.add(new Ended(open.work(), false));
                host.front.handleCallerGone(id.number());
            }
        });
    }

    /** Makes a share of the starts get no answer and be carried out 2 to 12 s later. */
    void setLateOrders(double share) {
        lateOrders = share;
    }

    private void answered(RequestId id, CallerResponse answer) {
        Request request = requests.remove(id);
        if (request == null) {
            return;
        }
        Outcome outcome = outcomes.get(request.kind().name());
        long took = now + CALLER_WAY_NANOS - request.arrived();
        long objective = (long) (STRETCH * request.chainNanos()) + OBJECTIVE_NANOS;
        outcome.ended.add(new Ended(request.work(), answer.kind() == CallerResponse.Kind.COMPLETE));
        if (answer.kind() == CallerResponse.Kind.COMPLETE) {
            if (took <= objective) {
                outcome.inTime++;
            } else if (took <= 3 * objective) {
                outcome.late++;
            } else {
                outcome.failed++;
            }
        } else if (answer.kind() == CallerResponse.Kind.NOT_RUN) {
            outcome.refused++;
            outcome.refusedLate += took > objective / 4 + 2 * CALLER_WAY_NANOS ? 1 : 0;
            Duration left = Duration.ofNanos(request.arrived() + DEADLINE_NANOS - now);
            boolean roomElsewhere = masters.entrySet().stream()
                    .filter(entry -> !asked.containsEntry(id, entry.getKey()))
                    .anyMatch(entry ->
                            entry.getValue().canStartNow(request.order().with(left, false, false), now));
            refusals.add(new Refusal(request.kind().name(), answer.reason(), roomElsewhere));
        } else {
            outcome.failed++;
        }
    }

    ImmutableList<Refusal> refusals() {
        return ImmutableList.copyOf(refusals);
    }

    /** Plays until a time. */
    void run(Duration until) {
        long end = TimeUnit.SECONDS.toNanos(1) + until.toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Timed next = events.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = end;
    }

    private final class Actions implements PoolActions {
        private final Claim claim;
        private PoolMaster master;

        private Actions(Claim claim) {
            this.claim = claim;
        }

        private void onMaster(Consumer<PoolMaster> event) {
            event.accept(master);
            master.tickDue(now);
            PoolMaster ticked = master;
            at(ticked.nextDue(now), () -> ticked.tickDue(now));
        }

        @Override
        public void start(TargetEntry entry, RunId run, String _payload, long deadlineMs, long fence) {
            SimulatedTarget target = targets.get(entry.id());
            if (faults.nextDouble() < lateOrders) {
                long late = TimeUnit.SECONDS.toNanos(2) + (long) (faults.nextDouble() * 10e9);
                at(now + late, () -> target.start(run, deadlineMs, fence));
                at(
                        now + TimeUnit.MILLISECONDS.toNanos(120),
                        () -> onMaster(owner -> owner.startAnswered(entry.id(), run, OrderVerdict.UNKNOWN, 0, now)));
                return;
            }
            at(now + WAY_NANOS, () -> {
                OrderVerdict verdict = target.start(run, deadlineMs, fence);
                if (!target.losesAnswers) {
                    at(
                            now + WAY_NANOS,
                            () -> onMaster(
                                    owner -> owner.startAnswered(entry.id(), run, verdict, target.clockMs(), now)));
                } else {
                    at(
                            now + TimeUnit.MILLISECONDS.toNanos(120),
                            () -> onMaster(
                                    owner -> owner.startAnswered(entry.id(), run, OrderVerdict.UNKNOWN, 0, now)));
                }
            });
        }

        @Override
        public void stop(TargetEntry entry, RunId run, long fence) {
            SimulatedTarget target = targets.get(entry.id());
            at(now + WAY_NANOS, () -> {
                target.stop(run, fence);
                at(
                        now + WAY_NANOS,
                        () -> onMaster(master ->
                                master.stopAnswered(entry.id(), run, OrderVerdict.DONE, target.clockMs(), now)));
            });
        }

        @Override
        public void hold(TargetEntry entry, HoldOrder order) {
            SimulatedTarget target = targets.get(entry.id());
            at(
                    now + WAY_NANOS,
                    () -> target.hold(
                            order,
                            report -> at(
                                    now + WAY_NANOS,
                                    () -> onMaster(owner -> owner.reported(entry.id(), order.number(), report, now)))));
            long timeout = TimeUnit.MILLISECONDS.toNanos(order.waitMs() + 200);
            at(now + timeout, () -> {
                if (target.silent) {
                    onMaster(owner -> owner.reportFailed(entry.id(), order.number(), OrderVerdict.UNKNOWN, now));
                }
            });
        }

        @Override
        public void finished(RequestId request, String _job, JobResult result) {
            SimulatedHost host = hosts.get(request.host());
            at(now + host.way(claim.pool()), () -> host.front.handleResult(request.number(), claim, result, now));
        }

        @Override
        public void fenced(TargetEntry _target) {}

        @Override
        public void jobChanged(String _job, String _change, String _why) {}

        @Override
        public void targetChanged(TargetEntry _target, String _change, String _why) {}
    }

    /** A target with leases; its faults are fields that a test sets. */
    final class SimulatedTarget {
        private final TargetEntry entry;
        private final Map<RunId, Progress> running = new LinkedHashMap<>();
        private final List<HoldReport.RunEnd> ended = new ArrayList<>();
        private final Map<TaskName, Integer> over = new HashMap<>();
        private final List<Waiting> waiting = new ArrayList<>();
        private double speed;
        private boolean hangs;
        private boolean silent;
        private boolean losesAnswers;
        private double failing;
        private long ends;
        private long fence;
        private long leaseMs;
        private int started;

        /** A run with its length, 0 if it stands still. */
        private record Progress(long since, long length) {
            private int percent(long now) {
                return length == 0 ? 0 : (int) ((now - since) * 100 / length);
            }
        }

        private record Waiting(long until, Consumer<HoldReport> answer) {}

        private SimulatedTarget(TargetEntry entry, double speed) {
            this.entry = entry;
            this.speed = speed;
        }

        void setHangs(boolean changed) {
            hangs = changed;
        }

        void setSilent(boolean changed) {
            silent = changed;
        }

        void setLosesAnswers(boolean changed) {
            losesAnswers = changed;
        }

        void setFailing(double share) {
            failing = share;
        }

        void slowBy(double factor) {
            speed /= factor;
        }

        int started() {
            return started;
        }

        private long clockMs() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }

        private OrderVerdict start(RunId run, long deadlineMs, long token) {
            if (silent) {
                return OrderVerdict.UNKNOWN;
            }
            if (token < fence) {
                return OrderVerdict.FENCED;
            }
            fence = token;
            extend(deadlineMs);
            if (deadlineMs < clockMs()) {
                return OrderVerdict.LATE;
            }
            if (over.getOrDefault(run.task(), 0) >= run.run()) {
                return OrderVerdict.OLD;
            }
            Optional<Request> request = requests.values().stream()
                    .filter(candidate ->
                            candidate.order().job().equals(run.task().job()))
                    .findFirst();
            int need = request.map(known -> known.order().steps().get(0).need().cpuMillis())
                    .orElse(0);
            int used = running.keySet().stream().mapToInt(this::cpu).sum();
            if (used + need > entry.capacity().cpuMillis()) {
                violations.add("over the capacity of " + entry.id());
            }
            boolean elsewhere = targets.values().stream()
                    .anyMatch(other -> other.running.keySet().stream()
                            .anyMatch(present -> present.task().equals(run.task())));
            if (elsewhere) {
                violations.add("second run of " + run.task());
            }
            started++;
            long work = request.map(known -> known.workNanos().get(run.task().index()))
                    .orElse(0L);
            cpus.put(run, need);
            running.put(run, new Progress(now, hangs ? 0 : (long) (work / speed)));
            if (faults.nextDouble() < failing) {
                end(run, HoldReport.How.FAILED);
            } else if (!hangs) {
                at(now + (long) (work / speed), () -> end(run, HoldReport.How.DONE));
            }
            return OrderVerdict.DONE;
        }

        private final Map<RunId, Integer> cpus = new HashMap<>();

        private int cpu(RunId run) {
            return cpus.getOrDefault(run, 0);
        }

        private void extend(long deadlineMs) {
            leaseMs = Math.max(leaseMs, Math.min(deadlineMs, clockMs() + 1_000));
        }

        private void expire() {
            if (clockMs() > leaseMs) {
                ImmutableList.copyOf(running.keySet()).forEach(run -> end(run, HoldReport.How.LAPSED));
            }
        }

        private void end(RunId run, HoldReport.How how) {
            if (running.remove(run) == null) {
                return;
            }
            over.merge(run.task(), run.run(), Math::max);
            ended.add(new HoldReport.RunEnd(++ends, run, how));
            List<Waiting> answered = ImmutableList.copyOf(waiting);
            waiting.clear();
            answered.forEach(hold -> hold.answer().accept(report()));
        }

        private void stop(RunId run, long token) {
            if (silent || token < fence) {
                return;
            }
            over.merge(run.task(), run.run(), Math::max);
            at(now + TimeUnit.MILLISECONDS.toNanos(20), () -> end(run, HoldReport.How.STOPPED));
        }

        private void hold(HoldOrder order, Consumer<HoldReport> answer) {
            if (silent || order.fence() < fence) {
                return;
            }
            fence = order.fence();
            expire();
            order.deadlineMs().ifPresent(this::extend);
            ended.removeIf(end -> end.number() <= order.acknowledged());
            if (!ended.isEmpty() || order.waitMs() == 0) {
                answer.accept(report());
                return;
            }
            Waiting hold = new Waiting(now + TimeUnit.MILLISECONDS.toNanos(order.waitMs()), answer);
            waiting.add(hold);
            at(hold.until(), () -> {
                if (waiting.remove(hold) && !silent) {
                    answer.accept(report());
                }
            });
        }

        private HoldReport report() {
            ImmutableList.Builder<HoldReport.RunProgress> listed = ImmutableList.builder();
            running.forEach((run, progress) -> listed.add(new HoldReport.RunProgress(run, progress.percent(now))));
            return new HoldReport(clockMs(), 0, listed.build(), ImmutableList.copyOf(ended));
        }
    }

    /** Returns the mean of the kinds' shares in time. */
    double meanShare() {
        return outcomes.values().stream()
                .mapToDouble(Outcome::inTimeShare)
                .average()
                .orElse(0);
    }
}
