package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
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

/**
 * Plays a load pattern on the masters of several pools and on targets with leases, in simulated time and without a
 * network. Every run with the same seed gives the same result.
 */
final class PoolSimulation {
    private static final long WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(300);
    private static final long FAR_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(1_700);
    private static final long CALLER_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    private static final long LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double STRETCH = 1.6;
    private static final long OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private final SplittableRandom random;
    private final PriorityQueue<Timed> events =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::sequence));
    private final Map<PoolId, PoolMaster> masters = new LinkedHashMap<>();
    private final Map<PoolId, PoolLoad> loads = new HashMap<>();
    private final Map<PoolId, ImmutableList<TargetEntry>> entriesOf = new HashMap<>();
    private final Map<RequestId, PoolId> placed = new HashMap<>();
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
    record Kind(String name, double perSecond, int tasks, double taskMs, int cpuMillis) {}

    /** How the jobs of a kind ended. */
    static final class Outcome {
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

        int refusedLate() {
            return refusedLate;
        }

        @Override
        public String toString() {
            return "asked %d, in time %.3f, late %d, refused %d (late %d), failed %d"
                    .formatted(asked, inTimeShare(), late, refused, refusedLate, failed);
        }
    }

    private record Request(
            Kind kind, JobOrder order, PoolId home, long arrived, long chainNanos, ImmutableList<Long> workNanos) {}

    PoolSimulation(long seed) {
        random = new SplittableRandom(seed);
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
        newMaster(pool, 1);
        loads.put(pool, PoolLoad.NONE);
        at(now, () -> tick(pool));
        at(now, () -> refreshLoad(pool));
        return pool;
    }

    private void newMaster(PoolId pool, int round) {
        Actions actions = new Actions();
        actions.master = new PoolMaster(
                pool,
                FencingToken.of(round, round * 31L + pool.hashCode()),
                new PoolBounds(Duration.ofSeconds(1)),
                actions,
                order -> otherPool(pool, order),
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

    private void refreshLoad(PoolId pool) {
        loads.put(pool, masters.get(pool).load(now));
        at(now + LOAD_AGE_NANOS, () -> refreshLoad(pool));
    }

    private Optional<PoolId> otherPool(PoolId pool, JobOrder order) {
        int wanted = order.steps().get(0).count() * order.steps().get(0).need().cpuMillis();
        Optional<PoolId> best = loads.entrySet().stream()
                .filter(entry ->
                        !entry.getKey().equals(pool) && entry.getValue().freeCpuMillis() >= wanted)
                .max(Comparator.comparingInt(entry -> entry.getValue().freeCpuMillis()))
                .map(Map.Entry::getKey);
        best.ifPresent(chosen -> loads.computeIfPresent(
                chosen,
                (_pool, load) -> new PoolLoad(load.freeCpuMillis() - wanted, load.widestCpuMillis(), load.openJobs())));
        return best;
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
        RequestId id = new RequestId("front", 1, ++requestNumber);
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
                true);
        requests.put(
                id,
                new Request(
                        kind,
                        order,
                        pool,
                        now,
                        chain,
                        Longs.asList(work).stream().collect(ImmutableList.toImmutableList())));
        outcomes.computeIfAbsent(kind.name(), _name -> new Outcome()).asked++;
        at(now + CALLER_WAY_NANOS, () -> submit(pool, order));
        at(now + DEADLINE_NANOS, () -> {
            if (requests.remove(id) != null) {
                outcomes.get(kind.name()).failed++;
                masters.forEach((_pool, master) -> {
                    master.withdraw(id, order.job(), now);
                    master.tickDue(now);
                });
            }
        });
    }

    /** Makes a share of the starts get no answer and be carried out 2 to 12 s later. */
    void setLateOrders(double share) {
        lateOrders = share;
    }

    private void submit(PoolId pool, JobOrder order) {
        placed.put(order.request(), pool);
        masters.get(pool).submit(order, now);
        tick(pool);
    }

    private void finished(RequestId id, JobResult result) {
        Request request = requests.get(id);
        if (request == null) {
            return;
        }
        if (result instanceof JobResult.Redirected redirected) {
            JobOrder moved = request.order().with(request.order().remaining(), false, false);
            at(now + FAR_WAY_NANOS, () -> submit(redirected.pool(), moved));
            return;
        }
        requests.remove(id);
        Outcome outcome = outcomes.get(request.kind().name());
        long took = now + CALLER_WAY_NANOS - request.arrived();
        long objective = (long) (STRETCH * request.chainNanos()) + OBJECTIVE_NANOS;
        if (result instanceof JobResult.Complete) {
            if (took <= objective) {
                outcome.inTime++;
            } else if (took <= 3 * objective) {
                outcome.late++;
            } else {
                outcome.failed++;
            }
        } else if (result instanceof JobResult.Refused) {
            outcome.refused++;
            outcome.refusedLate += took > objective / 4 + 2 * CALLER_WAY_NANOS ? 1 : 0;
        } else {
            outcome.failed++;
        }
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
        private PoolMaster master;

        private void onMaster(Consumer<PoolMaster> event) {
            event.accept(master);
            master.tickDue(now);
            PoolMaster ticked = master;
            at(ticked.nextDue(now), () -> ticked.tickDue(now));
        }

        @Override
        public void start(TargetEntry entry, RunId run, String _payload, long deadlineMs, long fence) {
            SimulatedTarget target = targets.get(entry.id());
            if (random.nextDouble() < lateOrders) {
                long late = TimeUnit.SECONDS.toNanos(2) + (long) (random.nextDouble() * 10e9);
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
            at(now + WAY_NANOS, () -> PoolSimulation.this.finished(request, result));
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
            if (random.nextDouble() < failing) {
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
