package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The master of one pool: accepts jobs from entry hosts, starts their tasks on the targets of the pool, and reports the
 * results of the jobs.
 *
 * <p>Not thread-safe. Every method takes the time of the event, in nanoseconds of a monotonic clock; {@link #tickIfDue}
 * must be called after each event and each timer. No state is persisted: a later master learns from the reports of the
 * targets which runs are present.
 */
public final class PoolMaster {
    /**
     * Minimum interval between two scans of all runs and targets. The conditions that a scan detects develop over tens
     * of milliseconds.
     */
    private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Minimum interval between two placements of waiting tasks, so that one serves several events. */
    private static final long PLACEMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    /** Minimum interval between two requests to read the list of targets, so that each is answered before the next. */
    private static final long ENTRY_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Timer interval while the pool has no open job and no run. */
    private static final long IDLE_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PoolId id;
    private final FencingToken firstToken;
    private final PoolTables tables;
    private final PoolActions actions;
    private final JobSystem jobs;
    private final RunSystem runs;
    private final LeaseSystem leases;
    private final LeaseLimits leaseLimits;
    private final LeaseGrants grants;
    private final TargetListStatus targetList;
    private final TaskPlacementSystem placement;
    private final ProgressSystem progress;
    /**
     * Time at which every lease that an earlier master may have granted has expired; {@code Long.MAX_VALUE} until all
     * earlier masters are known to have ended.
     */
    private long earlierLeasesEndNanos = Long.MAX_VALUE;

    /**
     * Time until which an earlier master may have started tasks, also on targets that had just registered: when the
     * earlier masters are known to have ended, or else when this one claimed the pool.
     */
    private long earlierStartsEndNanos;

    private long lastScanNanos;
    private long lastPlacementNanos;
    private long lastEntryRequestNanos;
    /** Starts that got no response and that {@link #takeUnansweredStarts} has not returned yet. */
    private final Set<PendingStart> unansweredStarts = new LinkedHashSet<>();

    private boolean released;
    private final PendingStarts knownStarts;

    /**
     * Creates the master of a pool.
     *
     * @param id the pool
     * @param firstToken first fencing token of the claim under which this host is the master
     * @param leaseLimits limits of leases that the platform guarantees
     * @param confirmations tells for which requests callers are known to wait
     * @param actions executes the orders of the master
     * @param findOtherPool returns another pool that can start a whole job now
     * @param knownStarts the pending starts that this host knows of. Those that an earlier master of a target has ordered
     *     keep the tasks of their jobs from being started, until the target refuses them.
     * @param targetList tells whether the list of targets contains every target that may still run a task
     * @param now the current time
     */
    public PoolMaster(
            PoolId id,
            FencingToken firstToken,
            LeaseLimits leaseLimits,
            RequestConfirmations confirmations,
            PoolActions actions,
            Function<JobOrder, Optional<PoolId>> findOtherPool,
            PendingStarts knownStarts,
            TargetListStatus targetList,
            long now) {
        this.id = checkNotNull(id, "id");
        this.firstToken = checkNotNull(firstToken, "firstToken");
        this.actions = checkNotNull(actions, "actions");
        this.tables = new PoolTables();
        this.jobs = new JobSystem(tables, actions, findOtherPool);
        this.leaseLimits = checkNotNull(leaseLimits, "leaseLimits");
        this.grants = new LeaseGrants(leaseLimits, checkNotNull(confirmations, "confirmations"));
        this.runs = new RunSystem(
                tables,
                actions,
                jobs,
                grants,
                now + leaseLimits.adoptionPeriod().toNanos());
        this.leases = new LeaseSystem(tables, actions, runs, grants);
        this.knownStarts = checkNotNull(knownStarts, "knownStarts");
        this.targetList = checkNotNull(targetList, "targetList");
        this.earlierStartsEndNanos = now;
        this.placement = new TaskPlacementSystem(tables, actions, runs, grants);
        this.progress = new ProgressSystem(tables, runs, leases, placement);
        this.lastScanNanos = now - SCAN_INTERVAL_NANOS;
        this.lastEntryRequestNanos = now - ENTRY_REQUEST_INTERVAL_NANOS;
        this.lastPlacementNanos = now - PLACEMENT_INTERVAL_NANOS;
    }

    /** Returns the id of the pool. */
    public PoolId id() {
        return id;
    }

    /** Returns the first fencing token of the claim under which this host is the master. */
    public FencingToken firstToken() {
        return firstToken;
    }

    /** Replaces the list of the pool's targets with the one that the platform publishes now. */
    public void updateTargets(Collection<TargetEntry> entries, long now) {
        Map<String, TargetEntry> entriesById = new HashMap<>();
        entries.forEach(entry -> entriesById.put(entry.id(), entry));
        for (PoolTarget target : new ArrayList<>(tables.targets())) {
            if (!entriesById.containsKey(target.entry().id()) && target.listed()) {
                target.markUnlisted();
                actions.logTargetChange(target.entry(), "unlisted", "the platform no longer lists the target");
            }
        }
        for (TargetEntry entry : entries) {
            checkArgument(entry.pool().equals(id.unsharded()), "target does not belong to the pool: %s", entry);
            tables.target(entry.id()).ifPresentOrElse(target -> updateTarget(target, entry, now), () -> {
                long leaseMs = leaseLimits.maxLease().toMillis();
                FencingToken token = tables.tokenFor(entry.id(), firstToken);
                tables.add(new PoolTarget(
                        entry, token, leaseMs, tables.kindSlowness().of(entry.kind()), now));
            });
        }
    }

    private void updateTarget(PoolTarget target, TargetEntry entry, long now) {
        boolean sameProcessAsEntry = entry.startTimeMs() == target.entry().startTimeMs();
        if (!sameProcessAsEntry && target.startTimeMs() != 0 && entry.startTimeMs() > target.startTimeMs()) {
            leases.handleRestart(target, entry.startTimeMs(), now);
        }
        if (target.startTimeMs() != 0 && entry.startTimeMs() != target.startTimeMs()) {
            // The entry of an earlier process. Entries and reports may be late, and the clock of a machine may be set
            // back between two processes; only a report shows for certain which process is the current one.
            return;
        }
        if (entry.draining() != target.entry().draining()) {
            actions.logTargetChange(
                    entry, entry.draining() ? "draining" : "ready", "state of the target in the platform's list");
        }
        if (!entry.equals(target.entry()) || !target.listed()) {
            tables.markChanged();
        }
        target.updateEntry(entry, tables.kindSlowness().of(entry.kind()));
    }

    /**
     * Returns whether the list of targets should be read at once, because the entry of the current process of a target
     * isn't known. As long as this is so, returns true at intervals of 100 ms at first, which grow to half of the time
     * since a restart was last noticed, so that an entry that never comes costs few reads of the store.
     */
    public boolean requestsTargetList(long now) {
        OptionalLong sinceNanos = leases.awaitsEntriesSince();
        if (sinceNanos.isEmpty()) {
            return false;
        }
        long intervalNanos = Math.max(ENTRY_REQUEST_INTERVAL_NANOS, (now - sinceNanos.getAsLong()) / 2);
        if (now - lastEntryRequestNanos < intervalNanos) {
            return false;
        }
        lastEntryRequestNanos = now;
        return true;
    }

    /** Accepts, refuses or redirects a job that an entry host sends. */
    public void submitJob(JobOrder order, long now) {
        jobs.admit(order, now).ifPresent(job -> runs.adoptRuns(job, now));
        tables.job(order.job())
                .filter(PoolJob::allTasksDone)
                .ifPresent(job -> jobs.finish(job, new JobResult.Complete()));
    }

    /**
     * Records that every live entry host has handed over the jobs that it had sent to an earlier master. From then
     * on, inherited runs that belong to no open job are stopped, because the master doesn't know how much capacity
     * they use.
     */
    public void endHandover() {
        runs.endHandover();
    }

    /**
     * Records that no earlier master of the pool is active any more: its process has ended, or it knows the claim of
     * this master. A master that is merely silent may still extend the leases of targets that this master can't reach.
     */
    public void confirmEarlierMastersEnded(long now) {
        if (earlierLeasesEndNanos == Long.MAX_VALUE) {
            earlierStartsEndNanos = now;
            // The clock of a target may run 2% slow.
            earlierLeasesEndNanos = now + leaseLimits.maxLease().toNanos() * 21 / 20;
        }
    }

    /** Removes a request whose caller has disconnected, and stops the job if no other request waits for it. */
    public void withdrawRequest(RequestId request, String jobId, long now) {
        tables.job(jobId).ifPresent(job -> {
            job.requests().remove(request);
            if (job.requests().isEmpty()) {
                abandonJob(job, "the caller is gone", now);
            }
        });
    }

    /** Stops a job that its caller has canceled; returns whether the job was open in this pool. */
    public boolean cancelJob(String jobId, long now) {
        Optional<PoolJob> job = tables.job(jobId);
        job.ifPresent(open -> abandonJob(open, "canceled by the caller", now));
        return job.isPresent();
    }

    /**
     * Removes the requests of an entry host that has failed, and stops the jobs for which no other request waits: the
     * callers of that host have lost their connections.
     */
    public void handleEntryHostLoss(String host, long incarnation, long now) {
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            job.requests().removeIf(request -> request.host().equals(host) && request.incarnation() == incarnation);
            if (job.requests().isEmpty()) {
                abandonJob(job, "the entry host is gone", now);
            }
        }
    }

    private void abandonJob(PoolJob job, String reason, long now) {
        actions.logJobChange(job.id(), "stopped", reason + "; " + job.describeProgress());
        jobs.finish(job, new JobResult.Abandoned(reason));
        runs.stopAllRuns(job, now);
    }

    /** Handles the response to a start order, or the lack of a response; {@code verdict} states which. */
    public void handleStartResponse(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (verdict.mayTakeEffect()) {
                target.run(run)
                        .map(unanswered -> new PendingStart(
                                targetId, unanswered.fencingToken(), run.task().job()))
                        .ifPresent(unansweredStarts::add);
            }
            if (runs.handleStartResponse(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Handles the response to a stop order, or the lack of a response; {@code verdict} states which. */
    public void handleStopResponse(String targetId, RunId run, OrderVerdict verdict, long clockMs, long now) {
        tables.target(targetId).ifPresent(target -> {
            if (runs.handleStopResponse(target, run, verdict, clockMs, now)) {
                leases.requestReport(target, now);
            }
        });
    }

    /** Handles the report by which a target responds to the lease extension with the given sequence number. */
    public void handleReport(String targetId, long sequenceNumber, LeaseReport report, long now) {
        leases.handleReport(targetId, sequenceNumber, report, now);
    }

    /** Handles a lease extension that brought no report. */
    public void handleReportFailure(String targetId, long sequenceNumber, OrderVerdict verdict, long now) {
        leases.handleReportFailure(targetId, sequenceNumber, verdict, now);
    }

    /**
     * Does the periodic work that is due. Waiting tasks are placed soon after a job or a run has come or gone; runs and
     * targets are scanned less often, because a scan costs the same after one event as after many.
     */
    public void tickIfDue(long now) {
        if (now - lastScanNanos >= SCAN_INTERVAL_NANOS) {
            tick(now);
        } else if (!released && awaitsPlacement() && now - lastPlacementNanos >= PLACEMENT_INTERVAL_NANOS) {
            placeTasks(now);
        }
    }

    /** Checks all runs, places waiting tasks, ends jobs that are too late, and asks targets for reports. */
    public void tick(long now) {
        if (released) {
            return;
        }
        lastScanNanos = now;
        checkRuns(now);
        endUnconfirmedJobs(now);
        placeTasks(now);
        endOverdueJobs(now);
        leases.tick(now);
    }

    private void placeTasks(long now) {
        if (mayOrderStarts()) {
            placement.tick(now, now > earlierLeasesEndNanos || allTargetsTakenOver(now), this::hasEarlierStart);
            tables.markPlaced();
        }
        lastPlacementNanos = tables.queue().isEmpty() ? now - PLACEMENT_INTERVAL_NANOS : now;
    }

    /** Returns whether a change may let waiting tasks start. Other reasons, such as the time, wait for the next scan. */
    private boolean awaitsPlacement() {
        return !tables.queue().isEmpty() && tables.changedSincePlacement();
    }

    /** Returns whether a target may still carry out the start of a task of a job that an earlier master has ordered. */
    private boolean hasEarlierStart(String job) {
        return knownStarts.startsOf(job).stream()
                .anyMatch(start ->
                        start.fencingToken() < firstToken.value() && statusOf(start) == PendingStart.Status.POSSIBLE);
    }

    /** Returns whether the hosts can keep the start of a further task if it gets no response. */
    private boolean mayOrderStarts() {
        int unconfirmed = unansweredStarts.size();
        int limit = knownStarts.maxUnconfirmedStartsPerMaster();
        for (PoolTarget target : tables.targets()) {
            for (Run run : target.runs()) {
                unconfirmed += run.startConfirmed() ? 0 : 1;
            }
        }
        return unconfirmed < limit;
    }

    /** Returns whether every target that may run a task for an earlier master has confirmed this master's token. */
    private boolean allTargetsTakenOver(long now) {
        return targetList.isComplete(earlierStartsEndNanos, now)
                && tables.targets().stream().allMatch(PoolTarget::tokenConfirmed);
    }

    private void checkRuns(long now) {
        runs.tick(now);
        progress.tick(now);
        List<PoolJob> done = new ArrayList<>(0);
        for (PoolJob job : tables.jobs()) {
            if (job.order().mayHaveStarted() && job.allTasksDone()) {
                done.add(job);
            }
        }
        done.forEach(job -> jobs.finish(job, new JobResult.Complete()));
    }

    /** Stops the jobs for which no caller is known to wait any more, because their entry hosts are silent. */
    private void endUnconfirmedJobs(long now) {
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            if (!grants.isConfirmed(job, now)) {
                abandonJob(job, "no entry host has confirmed that a caller still waits", now);
            }
        }
    }

    private void endOverdueJobs(long now) {
        placement.markUnreachableDeadlines(now);
        for (PoolJob job : jobs.finishExpired(now)) {
            String reason = job.unreachableDeadlineReason().orElse("the caller's deadline has passed");
            actions.logJobChange(job.id(), "stopped", reason + "; " + job.describeProgress());
            runs.stopAllRuns(job, now);
        }
    }

    /** Returns the time by which {@link #tickIfDue} must be called if no event occurs earlier. */
    public long nextTickNanos(long now) {
        boolean idle = tables.jobs().isEmpty()
                && tables.targets().stream()
                        .allMatch(target -> target.runs().isEmpty() && target.pendingReportCount() > 0);
        if (idle) {
            return now + IDLE_TICK_INTERVAL_NANOS;
        }
        long nextScanNanos = lastScanNanos + SCAN_INTERVAL_NANOS;
        return awaitsPlacement()
                ? Math.min(nextScanNanos, lastPlacementNanos + PLACEMENT_INTERVAL_NANOS)
                : nextScanNanos;
    }

    /**
     * Returns the starts that have got no response and may still be carried out. A start whose response is awaited
     * counts only if its job has ended. Leases don't bound such a start, since it may reach a later process of its
     * target; the target refuses it once it has reported under a raised token.
     */
    public ImmutableSet<PendingStart> pendingStarts() {
        ImmutableSet.Builder<PendingStart> pending = ImmutableSet.builder();
        for (PoolTarget target : tables.targets()) {
            for (Run run : target.runs()) {
                String job = run.id().task().job();
                boolean responseAwaited =
                        run.state() == Run.State.STARTING && tables.job(job).isPresent();
                if (!run.startConfirmed() && !responseAwaited) {
                    pending.add(new PendingStart(target.entry().id(), run.fencingToken(), job));
                }
            }
        }
        return pending.build();
    }

    /**
     * Returns the starts that got no response since the last call. The target may have refused them meanwhile, but its
     * next process would not.
     */
    public ImmutableSet<PendingStart> takeUnansweredStarts() {
        ImmutableSet<PendingStart> taken = ImmutableSet.copyOf(unansweredStarts);
        unansweredStarts.clear();
        return taken;
    }

    /** Returns what this master knows about a pending start, which an earlier master may have ordered. */
    public PendingStart.Status statusOf(PendingStart start) {
        PoolTarget target = tables.target(start.target()).orElse(null);
        if (target == null || start.fencingToken() > target.token().value()) {
            return PendingStart.Status.UNKNOWN;
        }
        boolean runMayBePresent = target.runs().stream()
                .filter(run -> run.id().task().job().equals(start.job()))
                .anyMatch(run -> !run.startConfirmed()
                        || tables.job(run.id().task().job()).isEmpty());
        // A silent target may have started again, and its next process knows no fencing token.
        boolean refused = target.tokenConfirmed() && target.consecutiveMisses() == 0 && !runMayBePresent;
        return refused ? PendingStart.Status.REFUSED : PendingStart.Status.POSSIBLE;
    }

    /** Stops being the master: hands every open job back to its entry hosts, which send it to the next master. */
    public void release() {
        released = true;
        for (PoolJob job : new ArrayList<>(tables.jobs())) {
            jobs.finish(job, new JobResult.Moved());
        }
    }

    /** Returns whether the whole first step of a job could start now and the job end before its caller's deadline. */
    boolean canStartNow(JobOrder order, long now) {
        return !released && jobs.canStartNow(order, now);
    }

    /** Returns the load of the pool, by which other hosts choose a pool for a job. */
    public PoolLoad load(long now) {
        int freeCpuMillis = 0;
        int maxTargetFreeCpuMillis = 0;
        for (PoolTarget target : tables.targets()) {
            if (TaskPlacementSystem.acceptsTasks(target, now)) {
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
