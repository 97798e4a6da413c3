package org.mustardlink.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Admits jobs, refuses or redirects those that the pool can't complete in time, and ends admitted jobs. */
final class JobSystem {
    /**
     * Share of a pool's processors that tasks use while others wait. The rest is too small to be used: tasks of 14
     * cores leave 4 of 32 cores idle.
     */
    private static final double PACKING_EFFICIENCY = 0.85;

    /**
     * Time to work off the queue from which jobs are refused by {@link LoadShedding}; half the slack of the
     * shortest jobs.
     */
    private static final double SHEDDING_BACKLOG_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** Lower bound on the slowness of a target, so that a few outliers don't lead to an impossible throughput. */
    private static final double MIN_SLOWNESS = 0.25;
    /** Shortest retry delay that a refusal gives to a caller. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final PoolTables tables;
    private final PoolActions actions;
    private final Function<JobOrder, Optional<PoolId>> findOtherPool;
    private final LoadShedding shedding = new LoadShedding();

    /**
     * Creates the system that admits and ends the jobs of a pool.
     *
     * @param findOtherPool returns another pool that can start a whole job now
     */
    JobSystem(PoolTables tables, PoolActions actions, Function<JobOrder, Optional<PoolId>> findOtherPool) {
        this.tables = tables;
        this.actions = actions;
        this.findOtherPool = findOtherPool;
    }

    /**
     * Admits a job.
     *
     * @return the job if it is new, or if an order for an open job states for the first time that an earlier master may
     *     have started it; empty if the job is refused or redirected, or the order changes nothing
     */
    Optional<PoolJob> admit(JobOrder order, long now) {
        Optional<PoolJob> known = tables.job(order.job());
        if (known.isPresent()) {
            // The caller sent the job again through another entry host, or an entry host repeats its order.
            PoolJob job = known.get();
            job.recordSubmission(now);
            if (job.requests().contains(order.request())) {
                // The entry host repeats the order over a new link. This master knows which tasks it has started.
                return Optional.empty();
            }
            job.requests().add(order.request());
            if (!order.mayHaveStarted() || job.order().mayHaveStarted()) {
                return Optional.empty();
            }
            // Another request for the job was sent to an earlier master, which may have started tasks of it.
            job.markMayHaveStarted();
            return known;
        }
        PoolJob job = new PoolJob(
                order,
                tables.nextSequence(),
                now,
                tables.runTimeEstimator().expectedNanos(order.route(), order.criticalPath()),
                tables.kindSlowness());
        if (tables.hasPresentRun(job)) {
            // Runs of an earlier attempt are present here. If the job were refused or redirected, its tasks could start
            // elsewhere while those runs go on.
            job.markMayHaveStarted();
        }
        if (!job.order().mayHaveStarted()) {
            Optional<JobResult> refusal = refusalOf(job, now);
            if (refusal.isPresent()) {
                actions.sendResult(order.request(), job.summary(), refusal.get());
                return Optional.empty();
            }
        }
        tables.add(job);
        return Optional.of(job);
    }

    /** Returns the result with which a job is refused or redirected; empty if it is admitted. */
    private Optional<JobResult> refusalOf(PoolJob job, long now) {
        JobOrder order = job.order();
        if (order.mustStartImmediately()) {
            return refusalOfOffer(job, now);
        }
        boolean fitsNow = tables.queue().isEmpty() && firstStepFitsNow(order, now);
        if (!fitsNow && order.mayRedirect()) {
            Optional<PoolId> other = findOtherPool.apply(order);
            if (other.isPresent()) {
                return Optional.of(new JobResult.Redirected(other.get()));
            }
        }
        // Redirected jobs don't count as load of this pool.
        shedding.recordArrival(order.route(), job.workMilliCoreNanos(), now);
        if (fitsNow) {
            return Optional.empty();
        }
        for (StepSpec step : order.steps()) {
            boolean fits = tables.targets().stream()
                    .anyMatch(target -> !target.entryIsCurrent()
                            || target.entry().capacity().covers(step.need()));
            if (!fits && !tables.targets().isEmpty()) {
                return Optional.of(new JobResult.Failed("no target of the pool can hold a task of the job"));
            }
        }
        if (missesDeadlineOnAllTargets(job, now)) {
            return Optional.of(new JobResult.Refused(
                    "the job takes longer on every target than its caller waits", MIN_RETRY_AFTER));
        }
        double throughputMilliCores = throughputMilliCores(now);
        if (throughputMilliCores == 0) {
            return Optional.of(new JobResult.Refused("no target of the pool takes tasks", MIN_RETRY_AFTER));
        }
        double backlogMilliCoreNanos =
                tables.queue().stream().mapToDouble(PoolJob::workMilliCoreNanos).sum();
        if (backlogMilliCoreNanos > throughputMilliCores * SHEDDING_BACKLOG_NANOS
                && shedding.shouldRefuse(order.route(), job.workMilliCoreNanos(), throughputMilliCores, now)) {
            return Optional.of(new JobResult.Refused("more work arrives than the pool can do", MIN_RETRY_AFTER));
        }
        long waitNanos = (long) (workAheadMilliCoreNanos(job) / throughputMilliCores);
        if (now + waitNanos > job.latestUsefulStartNanos()) {
            return Optional.of(
                    new JobResult.Refused("the queue is longer than the job can wait", retryAfterOf(waitNanos)));
        }
        return Optional.empty();
    }

    /**
     * Returns the result with which a job that another pool has refused is refused here; empty if it can start now.
     * Only an admitted one counts as load of this pool.
     */
    private Optional<JobResult> refusalOfOffer(PoolJob job, long now) {
        if (!canStartNow(job.order(), now)) {
            return Optional.of(new JobResult.Refused("no room for a job of another pool", MIN_RETRY_AFTER));
        }
        shedding.recordArrival(job.order().route(), job.workMilliCoreNanos(), now);
        return Optional.empty();
    }

    private static Duration retryAfterOf(long waitNanos) {
        Duration wait = Duration.ofSeconds(TimeUnit.NANOSECONDS.toSeconds(waitNanos) + 1);
        return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    }

    /**
     * Returns the work per time that the targets of the pool can do now, in thousandths of a core of reference speed,
     * less the share that can't be packed.
     */
    private double throughputMilliCores(long now) {
        return PACKING_EFFICIENCY
                * tables.targets().stream()
                        .filter(target -> TaskPlacementSystem.acceptsTasks(target, now) || awaitsFirstReport(target))
                        .mapToDouble(target ->
                                target.entry().capacity().cpuMillis() / Math.max(MIN_SLOWNESS, target.slowness()))
                        .sum();
    }

    /** Returns whether no target of the pool, busy or not, is fast enough for the deadline of a job. */
    private boolean missesDeadlineOnAllTargets(PoolJob job, long now) {
        long criticalPathNanos = tables.runTimeEstimator()
                .expectedNanos(job.order().route(), job.order().criticalPath());
        return !tables.targets().isEmpty()
                && tables.targets().stream()
                        .allMatch(target -> TaskPlacementSystem.missesDeadline(
                                (long) (criticalPathNanos * target.slowness()), job.deadlineNanos(), now));
    }

    /** Returns whether the first report of a target under this master's token is expected shortly. */
    private static boolean awaitsFirstReport(PoolTarget target) {
        return !target.tokenConfirmed()
                && !target.fencedOut()
                && target.consecutiveMisses() == 0
                && target.listed()
                && target.entryIsCurrent()
                && !target.entry().draining();
    }

    /** Returns the work of the queued jobs that come before a job, in thousandths of a core times nanoseconds. */
    private double workAheadMilliCoreNanos(PoolJob job) {
        return tables.queue().headSet(job).stream()
                .mapToDouble(PoolJob::workMilliCoreNanos)
                .sum();
    }

    /**
     * Returns whether the queue is empty and all tasks of the first step of a job fit now on targets that would end the
     * job before its deadline.
     */
    boolean canStartNow(JobOrder order, long now) {
        long criticalPathNanos = tables.runTimeEstimator().expectedNanos(order.route(), order.criticalPath());
        long deadlineNanos = now + order.remaining().toNanos();
        Capacity need = order.steps().get(0).need();
        int startableTasks = 0;
        for (PoolTarget target : tables.targets()) {
            if (TaskPlacementSystem.acceptsTasks(target, now)
                    && !TaskPlacementSystem.missesDeadline(
                            (long) (criticalPathNanos * target.slowness()), deadlineNanos, now)) {
                startableTasks += target.freeCapacity().maxTasks(need);
            }
        }
        return tables.queue().isEmpty()
                && startableTasks >= order.steps().get(0).taskCount();
    }

    /** Returns whether all tasks of the first step of a job fit now, whether or not in time. */
    private boolean firstStepFitsNow(JobOrder order, long now) {
        int requiredTasks = order.steps().get(0).taskCount();
        Capacity need = order.steps().get(0).need();
        int startableTasks = 0;
        for (PoolTarget target : tables.targets()) {
            if (TaskPlacementSystem.acceptsTasks(target, now)) {
                startableTasks += target.freeCapacity().maxTasks(need);
            }
        }
        return startableTasks >= requiredTasks;
    }

    /** Ends a job and sends its result to every request that waits for it. */
    void finish(PoolJob job, JobResult result) {
        if (job.closed()) {
            return;
        }
        job.close();
        tables.remove(job);
        JobSummary summary = job.summary();
        job.requests().forEach(request -> actions.sendResult(request, summary, result));
    }

    /** Ends the jobs that can no longer be completed in time; returns those with tasks that may be running. */
    List<PoolJob> finishExpired(long now) {
        List<PoolJob> expired = new ArrayList<>(0);
        for (PoolJob job : tables.jobs()) {
            if (isTooLateToStart(job, now)
                    || now > job.deadlineNanos()
                    || job.unreachableDeadlineReason().isPresent()) {
                expired.add(job);
            }
        }
        List<PoolJob> abandoned = new ArrayList<>(0);
        for (PoolJob job : expired) {
            if (isTooLateToStart(job, now)) {
                finish(job, new JobResult.Refused("no target became free in time", MIN_RETRY_AFTER));
            } else if (now > job.deadlineNanos()) {
                finish(job, new JobResult.Abandoned("the caller's deadline has passed"));
                abandoned.add(job);
            } else if (job.unreachableDeadlineReason().isPresent()) {
                finish(
                        job,
                        new JobResult.Abandoned(job.unreachableDeadlineReason().get()));
                abandoned.add(job);
            }
        }
        return abandoned;
    }

    /** Returns whether a job has started no task and would end too late if it started now. */
    private static boolean isTooLateToStart(PoolJob job, long now) {
        return !job.started()
                && now > job.latestUsefulStartNanos()
                && !job.order().mayHaveStarted();
    }
}
