package org.mustardlink.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Takes jobs in, refuses or redirects those that the pool can't serve in time, and ends them. */
final class JobSystem {
    /** Share of a pool's processors that is in use while tasks wait; tasks of 14 cores leave gaps on 32. */
    private static final double PACKING = 0.85;

    /** Time that the queued work takes from which jobs are refused by rate; half the slack of the shortest jobs. */
    private static final double BACKLOG_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** Bound on the learned speed of a target, so that a few odd samples don't promise more than hardware can. */
    private static final double MIN_SLOWNESS = 0.25;
    /** Shortest time to come back that a caller is told. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final PoolTables tables;
    private final PoolActions actions;
    private final Function<JobOrder, Optional<PoolId>> otherPool;
    private final LoadShedding shedding = new LoadShedding();

    /**
     * Creates the system.
     *
     * @param otherPool returns another pool that can start a whole job now
     */
    JobSystem(PoolTables tables, PoolActions actions, Function<JobOrder, Optional<PoolId>> otherPool) {
        this.tables = tables;
        this.actions = actions;
        this.otherPool = otherPool;
    }

    /** Takes a job in; returns its row unless it is refused or redirected, or is known and says nothing new. */
    Optional<PoolJob> submit(JobOrder order, long now) {
        Optional<PoolJob> known = tables.job(order.job());
        if (known.isPresent()) {
            // The caller sent the job again through another host, or the front repeats an order.
            PoolJob job = known.get();
            if (job.requests().contains(order.request())) {
                // The order came over a new link, and this master knows what it has started of the job.
                return Optional.empty();
            }
            job.requests().add(order.request());
            if (!order.resumed() || job.order().resumed()) {
                return Optional.empty();
            }
            // Another request for it went to an earlier master, which may have started it.
            job.resume();
            return known;
        }
        PoolJob job = new PoolJob(
                order,
                tables.nextSequence(),
                now,
                tables.runningTimes().expectedNanos(order.route(), order.longestChain()),
                tables.slowness());
        if (tables.mayRun(job)) {
            // An earlier try left runs here, beside which the job would start in another pool or after a refusal.
            job.resume();
        }
        if (!job.order().resumed()) {
            Optional<JobResult> refusal = refusal(job, now);
            if (refusal.isPresent()) {
                actions.finished(order.request(), order.job(), refusal.get());
                return Optional.empty();
            }
        }
        tables.add(job);
        return Optional.of(job);
    }

    private Optional<JobResult> refusal(PoolJob job, long now) {
        JobOrder order = job.order();
        if (order.onlyNow()) {
            return offer(job, now);
        }
        boolean roomNow = tables.queue().isEmpty() && hasRoomNow(order, now);
        if (!roomNow && order.mayMove()) {
            Optional<PoolId> other = otherPool.apply(order);
            if (other.isPresent()) {
                return Optional.of(new JobResult.Redirected(other.get()));
            }
        }
        // What another pool does is no work of this one.
        shedding.offered(order.route(), job.work(), now);
        if (roomNow) {
            return Optional.empty();
        }
        for (StepSpec step : order.steps()) {
            boolean fits = tables.targets().stream()
                    .anyMatch(target -> target.entry().capacity().holds(step.need()));
            if (!fits && !tables.targets().isEmpty()) {
                return Optional.of(new JobResult.Failed("no target of the pool can hold a task of the job"));
            }
        }
        if (missesDeadline(job, now)) {
            return Optional.of(new JobResult.Refused(
                    "the job takes longer on every target than its caller waits", MIN_RETRY_AFTER));
        }
        double throughput = throughput(now);
        if (throughput == 0) {
            return Optional.of(new JobResult.Refused("no target of the pool takes tasks", MIN_RETRY_AFTER));
        }
        double backlog = tables.queue().stream().mapToDouble(PoolJob::work).sum();
        if (backlog > throughput * BACKLOG_NANOS && shedding.shed(order.route(), throughput, now)) {
            return Optional.of(new JobResult.Refused("more work arrives than the pool can do", MIN_RETRY_AFTER));
        }
        long wait = (long) (workAhead(job) / throughput);
        if (now + wait > job.lastStartNanos()) {
            return Optional.of(new JobResult.Refused("the queue is longer than the job can wait", retryAfter(wait)));
        }
        return Optional.empty();
    }

    /** Judges a job that another pool has refused: it is taken if it can start, and counts as work of this pool only then. */
    private Optional<JobResult> offer(PoolJob job, long now) {
        if (!canStartNow(job.order(), now)) {
            return Optional.of(new JobResult.Refused("no room for a job of another pool", MIN_RETRY_AFTER));
        }
        shedding.offered(job.order().route(), job.work(), now);
        return Optional.empty();
    }

    private static Duration retryAfter(long waitNanos) {
        Duration wait = Duration.ofSeconds(TimeUnit.NANOSECONDS.toSeconds(waitNanos) + 1);
        return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    }

    /** Returns the work that targets do now, in thousandths of a core of usual speed, less what can't be packed. */
    private double throughput(long now) {
        return PACKING
                * tables.targets().stream()
                        .filter(target -> PlacementSystem.usable(target, now) || awaitsFirstReport(target))
                        .mapToDouble(target ->
                                target.entry().capacity().cpuMillis() / Math.max(MIN_SLOWNESS, target.slowness()))
                        .sum();
    }

    /** Returns whether no target of the pool is fast enough for a job's deadline, free or not. */
    private boolean missesDeadline(PoolJob job, long now) {
        long chain = tables.runningTimes()
                .expectedNanos(job.order().route(), job.order().longestChain());
        return !tables.targets().isEmpty()
                && tables.targets().stream()
                        .allMatch(target -> PlacementSystem.missesDeadline(
                                (long) (chain * target.slowness()), job.deadlineNanos(), now));
    }

    /** Returns whether a target's first report under our token is on its way. */
    private static boolean awaitsFirstReport(PoolTarget target) {
        return !target.taken()
                && !target.fencedOut()
                && target.misses() == 0
                && target.listed()
                && !target.entry().draining();
    }

    /** Returns the work of queued jobs that come before a job, in thousandths of a core times nanoseconds. */
    private double workAhead(PoolJob job) {
        return tables.queue().headSet(job).stream().mapToDouble(PoolJob::work).sum();
    }

    /** Returns whether nothing waits and a whole job could start now on targets that end it before its deadline. */
    boolean canStartNow(JobOrder order, long now) {
        long chain = tables.runningTimes().expectedNanos(order.route(), order.longestChain());
        long deadline = now + order.remaining().toNanos();
        Capacity need = order.steps().get(0).need();
        int room = 0;
        for (PoolTarget target : tables.targets()) {
            if (PlacementSystem.usable(target, now)
                    && !PlacementSystem.missesDeadline((long) (chain * target.slowness()), deadline, now)) {
                room += target.free().rooms(need);
            }
        }
        return tables.queue().isEmpty() && room >= order.steps().get(0).count();
    }

    private boolean hasRoomNow(JobOrder order, long now) {
        int tasks = order.steps().get(0).count();
        Capacity need = order.steps().get(0).need();
        int room = 0;
        for (PoolTarget target : tables.targets()) {
            if (PlacementSystem.usable(target, now)) {
                room += target.free().rooms(need);
            }
        }
        return room >= tasks;
    }

    /** Ends a job with a result for every request that waits for it. */
    void finish(PoolJob job, JobResult result) {
        if (job.closed()) {
            return;
        }
        job.close();
        tables.drop(job);
        job.requests().forEach(request -> actions.finished(request, job.id(), result));
    }

    /** Ends the jobs that can't be finished in time; returns those of which something may run. */
    List<PoolJob> expire(long now) {
        List<PoolJob> due = new ArrayList<>(0);
        for (PoolJob job : tables.jobs()) {
            if (mayNotStart(job, now) || now > job.deadlineNanos() || job.lost().isPresent()) {
                due.add(job);
            }
        }
        List<PoolJob> abandoned = new ArrayList<>(0);
        for (PoolJob job : due) {
            if (mayNotStart(job, now)) {
                finish(job, new JobResult.Refused("no target became free in time", MIN_RETRY_AFTER));
            } else if (now > job.deadlineNanos()) {
                finish(job, new JobResult.Abandoned("the caller's deadline has passed"));
                abandoned.add(job);
            } else if (job.lost().isPresent()) {
                finish(job, new JobResult.Abandoned(job.lost().get()));
                abandoned.add(job);
            }
        }
        return abandoned;
    }

    /** Returns whether a job that hasn't started would come too late. */
    private static boolean mayNotStart(PoolJob job, long now) {
        return !job.started() && now > job.lastStartNanos() && !job.order().resumed();
    }
}
