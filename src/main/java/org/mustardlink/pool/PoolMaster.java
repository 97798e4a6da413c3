package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongPredicate;

/**
 * The master of one pool: takes jobs from fronts, starts their tasks on the pool's targets, and reports how they end.
 *
 * <p>Not thread-safe. Every method takes the time of the event on a steady clock in nanoseconds; {@link #tickIfDue} has to
 * follow events and timers. Nothing is kept beyond the process: a later master finds what runs in the targets' reports.
 */
public final class PoolMaster {
    /** Least time between two looks at every run and target; all that they wait for takes tens of milliseconds. */
    private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Least time between two attempts to start tasks that found no room. */
    private static final long PLACEMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    /** Interval of timers while nothing is open. */
    private static final long IDLE_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PoolId id;
    private final FencingToken firstToken;
    private final PoolTables tables;
    private final PoolActions actions;
    private final JobAdmission jobs;
    private final RunTracker runs;
    private final LeaseManager leases;
    private final LeaseLimits leaseLimits;
    private final LongPredicate targetListComplete;
    private final TaskPlacer placer;
    private final ProgressMonitor progressMonitor;
    /** When every lease that an earlier master may have granted is over; not known before they have all ended. */
    private long earlierLeasesEndNanos = Long.MAX_VALUE;

    private long lastScanNanos;
    private long lastPlacementNanos;
    private boolean released;

    /**
     * Creates the master of a pool.
     *
     * @param id the pool
     * @param firstToken first token of the claim under which this host is the master
     * @param leaseLimits times that the platform guarantees
     * @param actions carries orders out
     * @param findOtherPool returns another pool that can start a whole job now
     * @param targetListComplete returns whether the list of targets lacks none at a time that may still run something
     * @param now the time
     */
    public PoolMaster(
            PoolId id,
            FencingToken firstToken,
            LeaseLimits leaseLimits,
            PoolActions actions,
            Function<JobOrder, Optional<PoolId>> findOtherPool,
            LongPredicate targetListComplete,
            long now) {
        this.id = checkNotNull(id, "id");
        this.firstToken = checkNotNull(firstToken, "fence");
        this.actions = checkNotNull(actions, "actions");
        this.tables = new PoolTables();
        this.jobs = new JobAdmission(tables, actions, findOtherPool);
        this.runs = new RunTracker(tables, actions, jobs, now);
        this.leases = new LeaseManager(tables, actions, runs);
        this.leaseLimits = checkNotNull(leaseLimits, "bounds");
        this.targetListComplete = checkNotNull(targetListComplete, "listComplete");
        this.placer = new TaskPlacer(tables, runs);
        this.progressMonitor = new ProgressMonitor(tables, runs, leases, placer);
        this.lastScanNanos = now - SCAN_INTERVAL_NANOS;
        this.lastPlacementNanos = now - PLACEMENT_INTERVAL_NANOS;
    }

    /** Returns the pool. */
    public PoolId id() {
        return id;
    }

    /** Returns the first token of the claim. */
    public FencingToken firstToken() {
        return firstToken;
    }

    /** Takes the targets that the platform lists for the pool now. */
    public void updateTargets(Collection<TargetEntry> entries, long now) {
        Map<String, TargetEntry> entriesById = new HashMap<>();
        entries.forEach(entry -> entriesById.put(entry.id(), entry));
        for (PoolTarget target : new ArrayList<>(tables.targets())) {
            if (!entriesById.containsKey(target.entry().id()) && target.listed()) {
                target.markUnlisted();
                actions.logTargetChange(target.entry(), "unlisted", "the platform lists it no more");
            }
        }
        for (TargetEntry entry : entries) {
            checkArgument(entry.pool().equals(id.unsharded()), "not a target of the pool: %s", entry);
            tables.target(entry.id()).ifPresentOrElse(target -> updateTarget(target, entry, now), () -> {
                long leaseMs = leaseLimits.maxLease().toMillis();
                FencingToken token = tables.tokenFor(entry.id(), firstToken);
                tables.add(new PoolTarget(
                        entry, token, leaseMs, tables.kindSlowness().of(entry.kind()), now));
            });
        }
    }

    private void updateTarget(PoolTarget target, TargetEntry entry, long now) {
        if (entry.startTimeMs() > target.entry().startTimeMs() && target.entry().startTimeMs() != 0) {
            leases.handleRestart(target, entry.startTimeMs(), now);
        }
        if (entry.startTimeMs() < target.entry().startTimeMs()) {
            return;
        }
        if (entry.draining() != target.entry().draining()) {
            actions.logTargetChange(entry, entry.draining() ? "draining" : "ready", "the platform's list says so");
        }
        target.updateEntry(entry);
    }

    /** Takes a job from a front. */
    public void submitJob(JobOrder order, long now) {
        jobs.submit(order, now).ifPresent(job -> runs.adoptRuns(job, now));
        tables.job(order.job())
                .filter(PoolJob::allTasksDone)
                .ifPresent(job -> jobs.finish(job, new JobResult.Complete()));
    }

    /**
     * Notes that every live front has handed over the jobs that it had given to an earlier master. Inherited runs that
     * belong to no job are stopped from then on, because they hold room of which the master doesn't know how much.
     */
    public void endHandover() {
        runs.endHandover();
    }

    /**
     * Notes that no earlier master of the pool acts any more: its process has ended, or it knows of this master's claim. One
     * that is only silent may go on to extend the leases of targets that this master can't reach.
     */
    public void confirmEarlierMastersEnded(long now) {
        if (earlierLeasesEndNanos == Long.MAX_VALUE) {
            // A target's clock may be 2% slow.
            earlierLeasesEndNanos = now + leaseLimits.maxLease().toNanos() * 21 / 20;
        }
    }

    /** Stops a job because its caller is gone, unless other requests wait for it. */
    public void withdrawRequest(RequestId request, String jobId, long now) {
        tables.job(jobId).ifPresent(job -> {
            job.requests().remove(request);
            if (job.requests().isEmpty()) {
                abandonJob(job, "the caller is gone", now);
            }
        });
    }

    /** Stops a job at its caller's wish; returns whether the job is open here. */
    public boolean cancelJob(String jobId, long now) {
        Optional<PoolJob> job = tables.job(jobId);
        job.ifPresent(open -> abandonJob(open, "canceled by the caller", now));
        return job.isPresent();
    }

    /** Stops the jobs of a front that is gone; its callers have lost their connections. */
    public void handleEntryHostLoss(String host, long incarnation, long now) {
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            job.requests().removeIf(request -> request.host().equals(host) && request.incarnation() == incarnation);
            if (job.requests().isEmpty()) {
                abandonJob(job, "the front is gone", now);
            }
        }
    }

    private void abandonJob(PoolJob job, String reason, long now) {
        actions.logJobChange(job.id(), "stopped", reason + "; " + job.describeProgress());
        jobs.finish(job, new JobResult.Abandoned(reason));
        runs.stopAllRuns(job, now);
    }

    /** Takes the answer to a start, or its lack. */
    public void handleStartResponse(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (runs.handleStartResponse(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Takes the answer to a stop, or its lack. */
    public void handleStopResponse(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (runs.handleStopResponse(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Takes a target's report. */
    public void handleReport(String targetId, long sequenceNumber, LeaseReport report, long now) {
        leases.handleReport(targetId, sequenceNumber, report, now);
    }

    /** Takes the lack of a target's report. */
    public void handleReportFailure(String targetId, long sequenceNumber, OrderVerdict verdict, long now) {
        leases.handleReportFailure(targetId, sequenceNumber, verdict, now);
    }

    /**
     * Runs the systems that are due: starts what has room at once, and looks at every run and target from time to time,
     * because that costs as much with one event as with many.
     */
    public void tickIfDue(long now) {
        if (now - lastScanNanos >= SCAN_INTERVAL_NANOS) {
            tick(now);
        } else if (!released && !tables.queue().isEmpty() && now - lastPlacementNanos >= PLACEMENT_INTERVAL_NANOS) {
            placeTasks(now);
        }
    }

    /** Runs every system once: starts what has room, then ends what is too late, then asks for reports. */
    public void tick(long now) {
        if (released) {
            return;
        }
        lastScanNanos = now;
        checkRuns(now);
        placeTasks(now);
        endOverdueJobs(now);
        leases.tick(now);
    }

    private void placeTasks(long now) {
        placer.tick(now, now > earlierLeasesEndNanos || allTargetsTakenOver(now));
        lastPlacementNanos = tables.queue().isEmpty() ? now - PLACEMENT_INTERVAL_NANOS : now;
    }

    /** Returns whether every target that may run something for an earlier master has reported. */
    private boolean allTargetsTakenOver(long now) {
        return targetListComplete.test(now) && tables.targets().stream().allMatch(PoolTarget::tokenConfirmed);
    }

    private void checkRuns(long now) {
        runs.tick(now);
        progressMonitor.tick(now);
        List<PoolJob> done = new ArrayList<>(0);
        for (PoolJob job : tables.jobs()) {
            if (job.order().mayHaveStarted() && job.allTasksDone()) {
                done.add(job);
            }
        }
        done.forEach(job -> jobs.finish(job, new JobResult.Complete()));
    }

    private void endOverdueJobs(long now) {
        placer.markUnreachableDeadlines(now);
        for (PoolJob job : jobs.finishExpired(now)) {
            String reason = job.unreachableDeadlineReason().orElse("the caller's deadline has passed");
            actions.logJobChange(job.id(), "stopped", reason + "; " + job.describeProgress());
            runs.stopAllRuns(job, now);
        }
    }

    /** Returns when {@link #tickIfDue} has to follow if no event comes before. */
    public long nextTickNanos(long now) {
        boolean idle = tables.jobs().isEmpty()
                && tables.targets().stream().allMatch(target -> target.runs().isEmpty() && target.pendingReports() > 0);
        if (idle) {
            return now + IDLE_TICK_INTERVAL_NANOS;
        }
        long nextScanNanos = lastScanNanos + SCAN_INTERVAL_NANOS;
        return tables.queue().isEmpty()
                ? nextScanNanos
                : Math.min(nextScanNanos, lastPlacementNanos + PLACEMENT_INTERVAL_NANOS);
    }

    /** Gives the pool up: every open job is handed back to its fronts for the next master. */
    public void release() {
        released = true;
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            jobs.finish(job, new JobResult.Moved());
        }
    }

    /** Returns whether a whole job could start at once and end before its caller's deadline. */
    boolean canStartNow(JobOrder order, long now) {
        return !released && jobs.canStartNow(order, now);
    }

    /** Returns the load that other masters decide by. */
    public PoolLoad load(long now) {
        int freeCpuMillis = 0;
        int maxTargetFreeCpuMillis = 0;
        for (PoolTarget target : tables.targets()) {
            if (TaskPlacer.acceptsTasks(target, now)) {
                int free = target.freeCapacity().cpuMillis();
                freeCpuMillis += free;
                maxTargetFreeCpuMillis = Math.max(maxTargetFreeCpuMillis, free);
            }
        }
        int queuedCpuMillis = 0;
        for (PoolJob job : tables.queue()) {
            for (PoolTask task : job.tasks()) {
                if (task.state() == PoolTask.State.WAITING) {
                    queuedCpuMillis += task.spec().need().cpuMillis();
                }
            }
        }
        return new PoolLoad(
                Math.max(0, freeCpuMillis - queuedCpuMillis),
                maxTargetFreeCpuMillis,
                tables.jobs().size());
    }
}
