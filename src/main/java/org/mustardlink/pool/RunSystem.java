package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks every run from its start order to its end: handles responses, lost responses and reports, and stops runs that
 * are overdue or no longer needed.
 */
final class RunSystem {
    /**
     * Multiple of its expected time from which a run counts as stalled; declared times are wrong by up to factor two.
     */
    private static final double OVERDUE_FACTOR = 3;
    /** Added to the allowed running time, for the network delays of the start order and the report. */
    private static final long OVERDUE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Interval between stop orders for the same run; a target takes at most 50 ms to execute one. */
    private static final long STOP_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(120);
    /** How long completions of tasks without an open job are remembered, in case the job is handed over later. */
    private static final long ORPHAN_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PoolTables tables;
    private final PoolActions actions;
    private final JobSystem jobs;
    private final LeaseGrants grants;
    private final long adoptionDeadlineNanos;
    private final Map<TaskName, Long> orphanCompletionNanos = new HashMap<>();
    private boolean handoverEnded;

    /**
     * Creates the system that tracks the runs of a pool.
     *
     * @param adoptionDeadlineNanos until when entry hosts can hand over the jobs of an earlier master; after it,
     *     inherited runs without a job are stopped
     */
    RunSystem(PoolTables tables, PoolActions actions, JobSystem jobs, LeaseGrants grants, long adoptionDeadlineNanos) {
        this.tables = tables;
        this.actions = actions;
        this.jobs = jobs;
        this.grants = grants;
        this.adoptionDeadlineNanos = adoptionDeadlineNanos;
    }

    /** Orders the start of a task on a target. */
    void startRun(PoolTarget target, PoolTask task, long now, long expectedNanos) {
        long leaseMs = Math.min(grants.longestMillis(target, now), grants.longestMillis(task.job(), now));
        long deadlineMs = target.newLeaseDeadlineMs(leaseMs, now);
        Run run = Run.ordered(task.nextRunId(), task, now, target, expectedNanos);
        tables.add(target, run);
        task.setState(PoolTask.State.ACTIVE);
        StartTiming timing = task.job().recordStart(expectedNanos, now);
        actions.startRun(
                target.entry(),
                run.id(),
                task.job().order().payload(),
                deadlineMs,
                target.token().value());
        actions.logStart(target.entry(), run.id(), timing);
    }

    /**
     * Handles the response to a start order, or the lack of one; returns whether a report should be requested from
     * the target.
     */
    boolean handleStartResponse(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null) {
            // The response may come from an earlier process of the target, whose clock reading isn't valid for
            // this one.
            return false;
        }
        if (run.orderedBefore(target.token())) {
            return handleSupersededStartResponse(target, run, verdict);
        }
        if (clockMs > 0) {
            target.recordClock(clockMs, now);
        }
        boolean restarted = clockMs > 0 && clockMs < run.orderClockMs();
        if (restarted) {
            // The clock starts anew with each process. The next report shows which process this is.
            target.markTokenUnconfirmed();
        }
        if (verdict == OrderVerdict.DONE) {
            run.confirmRunning(clockMs, now);
            return restarted;
        }
        if (verdict.mayTakeEffect()) {
            if (run.state() == Run.State.STARTING) {
                run.setState(Run.State.UNKNOWN, now);
            }
            return true;
        }
        if (verdict == OrderVerdict.FENCED) {
            // Another master may have taken over the target. The next report shows whether it has: the target then
            // refuses this master's token.
            target.markTokenUnconfirmed();
        }
        tables.remove(target, run);
        run.task().ifPresent(task -> {
            switch (verdict) {
                case REJECTED -> handleFailed(target, task, now);
                case UNHEALTHY -> {
                    pauseTarget(target, "the target refused a start because it is unhealthy", now);
                    requeue(task);
                }
                case NO_ROOM -> {
                    pauseTarget(
                            target, "the target refused a start because it has less free capacity than expected", now);
                    requeue(task);
                }
                default -> logAndRequeue(target, task, "response to the start order: " + verdict);
            }
        });
        return restarted || verdict != OrderVerdict.OLD;
    }

    /**
     * Handles the response to a start that was ordered before the token was raised. It may come from an earlier process
     * of the target, so only the next report shows whether a run that was started is still present.
     */
    private boolean handleSupersededStartResponse(PoolTarget target, Run run, OrderVerdict verdict) {
        if (verdict == OrderVerdict.DONE || verdict.mayTakeEffect()) {
            return true;
        }
        removeRun(target, run, "response to the start order: " + verdict + " after the token was raised");
        return false;
    }

    /**
     * Handles a report of a target.
     *
     * @param sentNanos when the report was requested
     * @param newest whether no response with a later clock reading has arrived before; only ends are taken from an
     *     older report
     */
    void handleReport(PoolTarget target, LeaseReport report, long sentNanos, boolean newest, long now) {
        Set<RunId> listed = new HashSet<>();
        report.running().forEach(progress -> listed.add(progress.run()));
        for (LeaseReport.RunEnd end : report.ended()) {
            listed.add(end.run());
            if (end.sequenceNumber() > target.acknowledgedUpTo()) {
                target.acknowledge(end.sequenceNumber());
                handleRunEnd(target, end, now);
            }
        }
        if (!newest) {
            return;
        }
        for (LeaseReport.RunProgress progress : report.running()) {
            RunId id = progress.run();
            target.run(id)
                    .ifPresentOrElse(
                            run -> {
                                run.confirmRunning(report.clockMs(), now);
                                run.recordProgress(progress.percent(), now);
                            },
                            () -> addInheritedRun(target, id, report.clockMs(), now));
        }
        for (Run run : new ArrayList<>(target.runs())) {
            if (!listed.contains(run.id())) {
                handleUnlistedRun(target, run, report.clockMs(), sentNanos, now);
            }
        }
    }

    private void addInheritedRun(PoolTarget target, RunId id, long clockMs, long now) {
        Run run = Run.inherited(id, target.entry().capacity(), now, clockMs);
        tables.add(target, run);
        tables.job(id.task().job()).ifPresent(job -> adoptRuns(job, now));
    }

    /** Assigns inherited runs, and completions that the earlier master didn't see, to the tasks of a job. */
    void adoptRuns(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            // A second run with the same attempt number would be rejected by the target, and a late response to the
            // first run would be taken for a response to the second.
            tables.presentRun(task.name())
                    .ifPresent(present -> task.skipAttempt(present.run().id().attempt()));
            if (task.state() != PoolTask.State.WAITING) {
                continue;
            }
            if (job.order().mayHaveStarted() && orphanCompletionNanos.remove(task.name()) != null) {
                task.setState(PoolTask.State.DONE);
                continue;
            }
            tables.presentRun(task.name())
                    .filter(present ->
                            present.run().task().isEmpty() && present.run().state() == Run.State.RUNNING)
                    .ifPresent(present -> {
                        long expectedNanos = (long) (tables.expectedNanos(task)
                                * tables.kindSlowness().of(present.target().kind()));
                        tables.remove(present.target(), present.run());
                        tables.add(present.target(), present.run().adoptedBy(task, now, expectedNanos));
                        actions.logJobChange(
                                job.id(),
                                "run adopted",
                                "task " + task.name().index() + " runs on "
                                        + present.target().entry().id());
                        task.setState(PoolTask.State.ACTIVE);
                        job.markStarted(now);
                    });
        }
    }

    /** Handles a run that isn't listed in a report of its target. */
    private void handleUnlistedRun(PoolTarget target, Run run, long clockMs, long sentNanos, long now) {
        boolean reportIsNewer = clockMs > run.confirmedClockMs() && sentNanos >= run.stateSinceNanos();
        // A target that reports under a raised token refuses start orders that carry a lower one.
        boolean canNoLongerStart = !run.startConfirmed() && run.orderedBefore(target.token());
        boolean ended =
                switch (run.state()) {
                    case STARTING -> false;
                    case UNKNOWN -> canNoLongerStart;
                    case RUNNING -> clockMs > run.confirmedClockMs();
                    case STOPPING -> canNoLongerStart || (run.stopConfirmed() && clockMs > run.confirmedClockMs());
                };
        if (ended) {
            removeRun(target, run, "not listed by the target while " + run.state());
        } else if (run.state() == Run.State.UNKNOWN && reportIsNewer) {
            // The start order may still be in transit; after a stop order the target never executes it.
            stopRun(target, run, now);
        }
    }

    private void removeRun(PoolTarget target, Run run, String reason) {
        tables.remove(target, run);
        run.task().ifPresent(task -> logAndRequeue(target, task, reason));
    }

    /** Logs why a run ended without completing its task, and puts the task back into the queue. */
    private void logAndRequeue(PoolTarget target, PoolTask task, String reason) {
        if (!task.job().closed()) {
            actions.logJobChange(
                    task.job().id(),
                    "task waits again",
                    "task " + task.name().index() + " on " + target.entry().id() + ": " + reason);
        }
        requeue(task);
    }

    private void handleRunEnd(PoolTarget target, LeaseReport.RunEnd end, long now) {
        Run run = target.run(end.run()).orElse(null);
        if (run == null) {
            if (end.outcome() == LeaseReport.RunOutcome.DONE) {
                orphanCompletionNanos.put(end.run().task(), now);
            }
            return;
        }
        tables.remove(target, run);
        if (run.task().isEmpty()) {
            if (end.outcome() == LeaseReport.RunOutcome.DONE) {
                orphanCompletionNanos.put(end.run().task(), now);
            }
            return;
        }
        PoolTask task = run.task().get();
        switch (end.outcome()) {
            case DONE -> handleDone(target, task, run, now);
            case FAILED -> handleFailed(target, task, now);
            default -> logAndRequeue(target, task, "ended " + end.outcome());
        }
    }

    /** Updates the estimates from a completed run, and completes its job if this was the last task. */
    private void handleDone(PoolTarget target, PoolTask task, Run run, long now) {
        long elapsedNanos = now - run.startOrderedNanos();
        double ratio = elapsedNanos / (double) Math.max(1, tables.expectedNanos(task));
        if (target.entryIsCurrent()) {
            tables.runTimeEstimator().addSample(task.job().order().route(), elapsedNanos / target.slowness());
            task.job().recordWorkFactor(observedWorkFactor(target, task, elapsedNanos));
            tables.kindSlowness().addSample(target.kind(), ratio);
            target.recordSuccess(ratio, tables.kindSlowness().of(target.kind()));
        }
        task.setState(PoolTask.State.DONE);
        if (!task.job().closed() && task.job().allTasksDone()) {
            jobs.finish(task.job(), new JobResult.Complete());
        }
    }

    /** Returns a running time, converted to the reference speed, relative to the initial estimate for the task. */
    private double observedWorkFactor(PoolTarget target, PoolTask task, long nanos) {
        return Math.max(1, nanos) / (target.slowness() * Math.max(1, tables.initialExpectedNanos(task)));
    }

    private void handleFailed(PoolTarget target, PoolTask task, long now) {
        if (target.recordFailure(task.name().job())) {
            pauseTarget(target, "runs of different jobs failed in a row", now);
        }
        task.avoid(target.entry().id());
        if (!task.job().closed() && task.countFailure() >= task.job().order().maxAttempts()) {
            jobs.finish(task.job(), new JobResult.Failed("a task failed as often as maxAttempts of the job allows"));
            stopAllRuns(task.job(), now);
        }
        logAndRequeue(target, task, "failed");
    }

    private void requeue(PoolTask task) {
        task.setState(PoolTask.State.WAITING);
        if (!task.job().closed()) {
            tables.queue().add(task.job());
        }
    }

    private void pauseTarget(PoolTarget target, String reason, long now) {
        if (target.paused(now)) {
            // Several runs on a target often fail together; they cause one pause.
            return;
        }
        target.pause(now);
        actions.logTargetChange(target.entry(), "paused", reason);
    }

    /** Ends all runs of a target that is no longer listed and whose leases have expired. */
    void expireAllRuns(PoolTarget target) {
        expireRuns(target, new ArrayList<>(target.runs()));
    }

    /**
     * Ends the confirmed runs of a target whose leases have certainly expired. Start orders that weren't confirmed may
     * still be executed, so their runs stay until the target reports under a higher token.
     */
    void expireStartedRuns(PoolTarget target, long now) {
        List<Run> expired = new ArrayList<>();
        for (Run run : target.runs()) {
            if (run.startConfirmed()) {
                expired.add(run);
            } else {
                run.markUncertain(now);
            }
        }
        expireRuns(target, expired);
    }

    /**
     * Marks all runs of a restarted target as uncertain until its next report: the new process may have executed orders
     * before the restart was detected.
     */
    void markAllUncertain(PoolTarget target, long now) {
        target.runs().forEach(run -> run.markUncertain(now));
    }

    private void expireRuns(PoolTarget target, List<Run> expired) {
        if (expired.isEmpty()) {
            return;
        }
        actions.logTargetChange(
                target.entry(), "expired", expired.size() + " runs ended because the lease of the target expired");
        for (Run run : expired) {
            run.task().ifPresent(task -> task.avoid(target.entry().id()));
            removeRun(target, run, "the lease of the target has expired");
        }
    }

    /** Orders a target to stop a run. */
    void stopRun(PoolTarget target, Run run, long now) {
        run.setState(Run.State.STOPPING, now);
        actions.stopRun(target.entry(), run.id(), target.token().value());
    }

    /** Handles the response to a stop order; returns whether a report should be requested from the target. */
    boolean handleStopResponse(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null || (!run.startConfirmed() && run.orderedBefore(target.token()))) {
            // The run has ended, or the response may come from an earlier process of the target.
            return false;
        }
        if (clockMs > 0) {
            target.recordClock(clockMs, now);
        }
        if (verdict != OrderVerdict.DONE) {
            return false;
        }
        run.confirmStop(clockMs);
        return true;
    }

    /** Stops all runs of a job that has ended. */
    void stopAllRuns(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            tables.presentRun(task.name()).ifPresent(present -> {
                if (present.run().state() != Run.State.STOPPING) {
                    stopRun(present.target(), present.run(), now);
                }
            });
        }
    }

    /** Records that every live entry host has handed over the jobs that it had sent to an earlier master. */
    void endHandover() {
        handoverEnded = true;
    }

    /** Repeats unconfirmed stop orders, and stops runs that are overdue or belong to no open job. */
    void tick(long now) {
        orphanCompletionNanos.values().removeIf(since -> now - since > ORPHAN_RETENTION_NANOS);
        for (PoolTarget target : tables.targets()) {
            if (target.runs().isEmpty() || !target.tokenConfirmed()) {
                continue;
            }
            for (Run run : target.runs()) {
                checkRun(target, run, now);
            }
        }
    }

    private void checkRun(PoolTarget target, Run run, long now) {
        if (run.state() == Run.State.STOPPING) {
            if (!run.stopConfirmed()
                    && now - run.stateSinceNanos() > STOP_RETRY_INTERVAL_NANOS
                    && target.consecutiveMisses() == 0) {
                stopRun(target, run, now);
            }
            return;
        }
        if (run.state() != Run.State.RUNNING) {
            return;
        }
        if (run.task().isEmpty()) {
            if (handoverEnded || now > adoptionDeadlineNanos) {
                actions.logJobChange(
                        run.id().task().job(),
                        "inherited run stopped",
                        "task " + run.id().task().index() + " on "
                                + target.entry().id()
                                + (handoverEnded
                                        ? ": no live host has handed the job over"
                                        : ": no host has handed the job over in time"));
                stopRun(target, run, now);
            }
            return;
        }
        if (run.task().get().job().closed()) {
            // An earlier stop order had no effect, because the target restarted or the token was raised in
            // the meantime.
            stopRun(target, run, now);
            return;
        }
        long allowedNanos = (long) (OVERDUE_FACTOR * run.expectedNanos()) + OVERDUE_MARGIN_NANOS;
        if (now - run.startOrderedNanos() > allowedNanos) {
            stopStalledRun(target, run, now);
        }
    }

    /** Stops a run that makes no progress, and pauses its target. */
    void stopStalledRun(PoolTarget target, Run run, long now) {
        run.task().ifPresent(task -> task.avoid(target.entry().id()));
        pauseTarget(target, "a run makes no progress: " + run.id().task().job(), now);
        stopRun(target, run, now);
    }

    /**
     * Stops a run so that its task starts on another target once the end of the run is reported.
     *
     * @param workNanos running time of the whole task as projected from its progress; empty if the target counts as
     *     slow, so that the projection says nothing about the task
     */
    void moveRun(PoolTarget target, Run run, OptionalLong workNanos, String reason, long now) {
        run.task().ifPresent(task -> {
            workNanos.ifPresent(nanos -> task.job().recordWorkFactor(observedWorkFactor(target, task, nanos)));
            task.avoid(target.entry().id());
            actions.logJobChange(
                    task.job().id(),
                    "run moved",
                    "task " + task.name().index() + " on " + target.entry().id() + ": " + reason);
        });
        stopRun(target, run, now);
    }
}
