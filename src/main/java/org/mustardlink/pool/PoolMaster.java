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
 * <p>Not thread-safe. Every method takes the time of the event on a steady clock in nanoseconds; {@link #tickDue} has to
 * follow events and timers. Nothing is kept beyond the process: a later master finds what runs in the targets' reports.
 */
public final class PoolMaster {
    /** Least time between two looks at every run and target; all that they wait for takes tens of milliseconds. */
    private static final long SCAN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Least time between two attempts to start tasks that found no room. */
    private static final long PLACE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    /** Interval of timers while nothing is open. */
    private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PoolId id;
    private final FencingToken fence;
    private final PoolTables tables;
    private final PoolActions actions;
    private final JobSystem jobs;
    private final RunSystem runs;
    private final LeaseSystem leases;
    private final PoolBounds bounds;
    private final LongPredicate listComplete;
    private final PlacementSystem placement;
    private final ProgressSystem progress;
    /** When every lease that an earlier master may have granted is over; not known before they have all ended. */
    private long resumeNanos = Long.MAX_VALUE;

    private long scannedNanos;
    private long placedNanos;
    private boolean released;

    /**
     * Creates the master of a pool.
     *
     * @param id the pool
     * @param fence first token of the claim under which this host is the master
     * @param bounds times that the platform guarantees
     * @param actions carries orders out
     * @param otherPool returns another pool that can start a whole job now
     * @param listComplete returns whether the list of targets lacks none at a time that may still run something
     * @param now the time
     */
    public PoolMaster(
            PoolId id,
            FencingToken fence,
            PoolBounds bounds,
            PoolActions actions,
            Function<JobOrder, Optional<PoolId>> otherPool,
            LongPredicate listComplete,
            long now) {
        this.id = checkNotNull(id, "id");
        this.fence = checkNotNull(fence, "fence");
        this.actions = checkNotNull(actions, "actions");
        this.tables = new PoolTables();
        this.jobs = new JobSystem(tables, actions, otherPool);
        this.runs = new RunSystem(tables, actions, jobs, now);
        this.leases = new LeaseSystem(tables, actions, runs);
        this.bounds = checkNotNull(bounds, "bounds");
        this.listComplete = checkNotNull(listComplete, "listComplete");
        this.placement = new PlacementSystem(tables, runs);
        this.progress = new ProgressSystem(tables, runs, leases, placement);
        this.scannedNanos = now - SCAN_NANOS;
        this.placedNanos = now - PLACE_NANOS;
    }

    /** Returns the pool. */
    public PoolId id() {
        return id;
    }

    /** Returns the first token of the claim. */
    public FencingToken fence() {
        return fence;
    }

    /** Takes the targets that the platform lists for the pool now. */
    public void targetsListed(Collection<TargetEntry> entries, long now) {
        Map<String, TargetEntry> byId = new HashMap<>();
        entries.forEach(entry -> byId.put(entry.id(), entry));
        for (PoolTarget target : new ArrayList<>(tables.targets())) {
            if (!byId.containsKey(target.entry().id()) && target.listed()) {
                target.unlist();
                actions.targetChanged(target.entry(), "unlisted", "the platform lists it no more");
            }
        }
        for (TargetEntry entry : entries) {
            checkArgument(entry.pool().equals(id.whole()), "not a target of the pool: %s", entry);
            tables.target(entry.id()).ifPresentOrElse(target -> update(target, entry, now), () -> {
                long lease = bounds.lease().toMillis();
                FencingToken token = tables.tokenFor(entry.id(), fence);
                tables.add(new PoolTarget(entry, token, lease, tables.slowness().of(entry.kind()), now));
            });
        }
    }

    private void update(PoolTarget target, TargetEntry entry, long now) {
        if (entry.bornMs() > target.entry().bornMs() && target.entry().bornMs() != 0) {
            leases.restarted(target, entry.bornMs(), now);
        }
        if (entry.bornMs() < target.entry().bornMs()) {
            return;
        }
        if (entry.draining() != target.entry().draining()) {
            actions.targetChanged(entry, entry.draining() ? "draining" : "ready", "the platform's list says so");
        }
        target.update(entry);
    }

    /** Takes a job from a front. */
    public void submit(JobOrder order, long now) {
        jobs.submit(order, now).ifPresent(job -> runs.adopt(job, now));
        tables.job(order.job()).filter(PoolJob::allDone).ifPresent(job -> jobs.finish(job, new JobResult.Complete()));
    }

    /**
     * Notes that every live front has handed over the jobs that it had given to an earlier master. Inherited runs that
     * belong to no job are stopped from then on, because they hold room of which the master doesn't know how much.
     */
    public void handoverEnded() {
        runs.endHandover();
    }

    /**
     * Notes that no earlier master of the pool acts any more: its process has ended, or it knows of this master's claim. One
     * that is only silent may go on to extend the leases of targets that this master can't reach.
     */
    public void earlierMastersEnded(long now) {
        if (resumeNanos == Long.MAX_VALUE) {
            // A target's clock may be 2% slow.
            resumeNanos = now + bounds.lease().toNanos() * 21 / 20;
        }
    }

    /** Stops a job because its caller is gone, unless other requests wait for it. */
    public void withdraw(RequestId request, String jobId, long now) {
        tables.job(jobId).ifPresent(job -> {
            job.requests().remove(request);
            if (job.requests().isEmpty()) {
                cancel(job, "the caller is gone", now);
            }
        });
    }

    /** Stops a job at its caller's wish; returns whether the job is open here. */
    public boolean cancel(String jobId, long now) {
        Optional<PoolJob> job = tables.job(jobId);
        job.ifPresent(open -> cancel(open, "canceled by the caller", now));
        return job.isPresent();
    }

    /** Stops the jobs of a front that is gone; its callers have lost their connections. */
    public void frontLost(String host, long incarnation, long now) {
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            job.requests().removeIf(request -> request.host().equals(host) && request.incarnation() == incarnation);
            if (job.requests().isEmpty()) {
                cancel(job, "the front is gone", now);
            }
        }
    }

    private void cancel(PoolJob job, String why, long now) {
        actions.jobChanged(job.id(), "stopped", why + "; " + job.progress());
        jobs.finish(job, new JobResult.Abandoned(why));
        runs.stopAll(job, now);
    }

    /** Takes the answer to a start, or its lack. */
    public void startAnswered(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (runs.startAnswered(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Takes the answer to a stop, or its lack. */
    public void stopAnswered(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (runs.stopAnswered(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Takes a target's report. */
    public void reported(String targetId, long number, HoldReport report, long now) {
        leases.reported(targetId, number, report, now);
    }

    /** Takes the lack of a target's report. */
    public void reportFailed(String targetId, long number, OrderVerdict verdict, long now) {
        leases.failed(targetId, number, verdict, now);
    }

    /**
     * Runs the systems that are due: starts what has room at once, and looks at every run and target from time to time,
     * because that costs as much with one event as with many.
     */
    public void tickDue(long now) {
        if (now - scannedNanos >= SCAN_NANOS) {
            tick(now);
        } else if (!released && !tables.queue().isEmpty() && now - placedNanos >= PLACE_NANOS) {
            place(now);
        }
    }

    /** Runs every system once: starts what has room, then ends what is too late, then asks for reports. */
    public void tick(long now) {
        if (released) {
            return;
        }
        scannedNanos = now;
        checkRuns(now);
        place(now);
        endJobs(now);
        leases.tick(now);
    }

    private void place(long now) {
        placement.tick(now, now > resumeNanos || allTaken(now));
        placedNanos = tables.queue().isEmpty() ? now - PLACE_NANOS : now;
    }

    /** Returns whether every target that may run something for an earlier master has reported. */
    private boolean allTaken(long now) {
        return listComplete.test(now) && tables.targets().stream().allMatch(PoolTarget::taken);
    }

    private void checkRuns(long now) {
        runs.tick(now);
        progress.tick(now);
        List<PoolJob> done = new ArrayList<>(0);
        for (PoolJob job : tables.jobs()) {
            if (job.order().resumed() && job.allDone()) {
                done.add(job);
            }
        }
        done.forEach(job -> jobs.finish(job, new JobResult.Complete()));
    }

    private void endJobs(long now) {
        placement.markLost(now);
        for (PoolJob job : jobs.expire(now)) {
            String why = job.lost().orElse("the caller's deadline has passed");
            actions.jobChanged(job.id(), "stopped", why + "; " + job.progress());
            runs.stopAll(job, now);
        }
    }

    /** Returns when {@link #tickDue} has to follow if no event comes before. */
    public long nextDue(long now) {
        boolean idle = tables.jobs().isEmpty()
                && tables.targets().stream().allMatch(target -> target.runs().isEmpty() && target.openHolds() > 0);
        if (idle) {
            return now + IDLE_TICK_NANOS;
        }
        long scanDue = scannedNanos + SCAN_NANOS;
        return tables.queue().isEmpty() ? scanDue : Math.min(scanDue, placedNanos + PLACE_NANOS);
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
        int freeCpu = 0;
        int widest = 0;
        for (PoolTarget target : tables.targets()) {
            if (PlacementSystem.usable(target, now)) {
                int free = target.free().cpuMillis();
                freeCpu += free;
                widest = Math.max(widest, free);
            }
        }
        int queued = 0;
        for (PoolJob job : tables.queue()) {
            for (PoolTask task : job.tasks()) {
                if (task.state() == PoolTask.State.WAITING) {
                    queued += task.spec().need().cpuMillis();
                }
            }
        }
        return new PoolLoad(Math.max(0, freeCpu - queued), widest, tables.jobs().size());
    }
}
