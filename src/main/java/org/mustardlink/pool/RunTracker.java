package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Follows every run from its start order to its end: answers, lost answers, reports, stops, overdue runs. */
final class RunTracker {
    /** Expected running times after which a run stands still; declared times are off by up to twice either way. */
    private static final double OVERDUE_FACTOR = 3;
    /** Added to the running time that is overdue, for the ways of start and report. */
    private static final long OVERDUE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Pause between stop orders for one run; a target takes at most 50 ms to carry one out. */
    private static final long STOP_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(120);
    /**
     * Time after the claim for the fronts of an earlier master to hand their jobs over before inherited runs are stopped.
     * Callers whose connections broke with that master send their jobs again after 1.3 s; a silent master is noticed and its
     * pool claimed after 0.5 s, and a stop and its report take up to 0.1 s.
     */
    private static final long ADOPTION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300 - 500 - 100);
    /** How long ends that no open job waits for are remembered for a job that is handed over. */
    private static final long ORPHAN_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PoolTables tables;
    private final PoolActions actions;
    private final JobAdmission jobs;
    private final long adoptionDeadlineNanos;
    private final Map<TaskName, Long> orphanCompletionNanos = new HashMap<>();
    private boolean handoverEnded;

    /**
     * Creates the system.
     *
     * @param claimedNanos when this host became the master
     */
    RunTracker(PoolTables tables, PoolActions actions, JobAdmission jobs, long claimedNanos) {
        this.tables = tables;
        this.actions = actions;
        this.jobs = jobs;
        this.adoptionDeadlineNanos = claimedNanos + ADOPTION_PERIOD_NANOS;
    }

    /** Orders a start. */
    void startRun(PoolTarget target, PoolTask task, long now, long expectedNanos) {
        long deadlineMs = target.newLeaseDeadlineMs(now);
        Run run = Run.ordered(task.nextRunId(), task, now, target.token(), expectedNanos);
        tables.add(target, run);
        task.setState(PoolTask.State.ACTIVE);
        task.job().markStarted();
        actions.startRun(
                target.entry(),
                run.id(),
                task.job().order().payload(),
                deadlineMs,
                target.token().value());
    }

    /** Takes the answer to a start, or its lack; returns whether the target should be asked for a report. */
    boolean handleStartResponse(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null) {
            // The answer may come from an earlier life of the target, whose clock says nothing about this one.
            return false;
        }
        if (run.orderedBefore(target.token())) {
            return handleSupersededStartResponse(target, run, verdict);
        }
        if (clockMs > 0) {
            target.recordResponse(clockMs, now);
        }
        if (verdict == OrderVerdict.DONE) {
            run.confirmRunning(clockMs, now);
            return false;
        }
        if (verdict.mayTakeEffect()) {
            if (run.state() == Run.State.STARTING) {
                run.setState(Run.State.UNKNOWN, now);
            }
            return true;
        }
        if (verdict == OrderVerdict.FENCED) {
            // Another master may hold the target; its next report under our token, or its refusal, tells.
            target.markTokenUnconfirmed();
        }
        tables.remove(target, run);
        run.task().ifPresent(task -> {
            switch (verdict) {
                case REJECTED -> handleFailed(target, task, now);
                case UNHEALTHY -> {
                    pauseTarget(target, "an unhealthy target refused a start", now);
                    requeue(task);
                }
                case NO_ROOM -> {
                    pauseTarget(target, "the target has less room than expected", now);
                    requeue(task);
                }
                default -> logAndRequeue(target, task, "start answered " + verdict);
            }
        });
        return verdict != OrderVerdict.OLD;
    }

    /**
     * Takes the answer to a start that was ordered before the token was raised. Which life of the target has answered isn't
     * known, so only the next report tells whether a start that was carried out is still there.
     */
    private boolean handleSupersededStartResponse(PoolTarget target, Run run, OrderVerdict verdict) {
        if (verdict == OrderVerdict.DONE || verdict.mayTakeEffect()) {
            return true;
        }
        removeRun(target, run, "start answered " + verdict + " after the token was raised");
        return false;
    }

    /** Takes a report of a target. */
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

    /** Takes inherited runs of a job over, and ends of its tasks that an earlier master didn't see. */
    void adoptRuns(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            // A run of the same number would be rejected, and an answer to the first run taken for its answer.
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
                        job.markStarted();
                    });
        }
    }

    /** Handles a run that a report doesn't list. */
    private void handleUnlistedRun(PoolTarget target, Run run, long clockMs, long sentNanos, long now) {
        boolean reportIsNewer = clockMs > run.confirmedClockMs() && sentNanos >= run.stateSinceNanos();
        // A target that reports under a raised token refuses the start from then on.
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
            // The start may still be on its way; a stop keeps the target from ever carrying it out.
            stopRun(target, run, now);
        }
    }

    private void removeRun(PoolTarget target, Run run, String reason) {
        tables.remove(target, run);
        run.task().ifPresent(task -> logAndRequeue(target, task, reason));
    }

    /** Puts a task whose run came to nothing back into the queue. */
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

    private void handleDone(PoolTarget target, PoolTask task, Run run, long now) {
        long elapsedNanos = now - run.startOrderedNanos();
        double ratio = elapsedNanos / (double) Math.max(1, tables.expectedNanos(task));
        tables.runTimeEstimator().addSample(task.job().order().route(), elapsedNanos / target.slowness());
        task.job().recordWorkFactor(observedWorkFactor(target, task, elapsedNanos));
        tables.kindSlowness().addSample(target.kind(), ratio);
        target.recordSuccess(ratio, tables.kindSlowness().of(target.kind()));
        task.setState(PoolTask.State.DONE);
        if (!task.job().closed() && task.job().allTasksDone()) {
            jobs.finish(task.job(), new JobResult.Complete());
        }
    }

    /** Returns the running time of a task on a target of usual speed relative to the one that was expected at first. */
    private double observedWorkFactor(PoolTarget target, PoolTask task, long nanos) {
        return Math.max(1, nanos) / (target.slowness() * Math.max(1, tables.initialExpectedNanos(task)));
    }

    private void handleFailed(PoolTarget target, PoolTask task, long now) {
        if (target.recordFailure(task.name().job())) {
            pauseTarget(target, "runs of different jobs failed in a row", now);
        }
        task.avoid(target.entry().id());
        if (!task.job().closed() && task.countFailure() >= task.job().order().maxAttempts()) {
            jobs.finish(task.job(), new JobResult.Failed("a task failed as often as its queue allows"));
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
            // Several runs of one target go wrong together; they count as one sign.
            return;
        }
        target.pause(now);
        actions.logTargetChange(target.entry(), "paused", reason);
    }

    /** Ends every run of a target that is gone. */
    void expireAllRuns(PoolTarget target) {
        expireRuns(target, new ArrayList<>(target.runs()));
    }

    /**
     * Ends the runs of a target whose leases have certainly expired. Starts without an answer may still be carried out, and
     * stay until the target reports under a higher token.
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
     * Keeps every run of a target that has started again in doubt until its next report: the new life may have carried
     * orders out before its restart was noticed.
     */
    void markAllUncertain(PoolTarget target, long now) {
        target.runs().forEach(run -> run.markUncertain(now));
    }

    private void expireRuns(PoolTarget target, List<Run> expired) {
        if (expired.isEmpty()) {
            return;
        }
        actions.logTargetChange(target.entry(), "expired", expired.size() + " runs are over with their lease");
        for (Run run : expired) {
            run.task().ifPresent(task -> task.avoid(target.entry().id()));
            removeRun(target, run, "the lease is over");
        }
    }

    /** Orders that a run ends. */
    void stopRun(PoolTarget target, Run run, long now) {
        run.setState(Run.State.STOPPING, now);
        actions.stopRun(target.entry(), run.id(), target.token().value());
    }

    /** Takes the answer to a stop; returns whether the target should be asked for a report. */
    boolean handleStopResponse(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null || (!run.startConfirmed() && run.orderedBefore(target.token()))) {
            // The run is over, or the answer may have been given by an earlier life.
            return false;
        }
        if (clockMs > 0) {
            target.recordResponse(clockMs, now);
        }
        if (verdict != OrderVerdict.DONE) {
            return false;
        }
        run.confirmStop(clockMs);
        return true;
    }

    /** Stops the runs of a job that nobody waits for. */
    void stopAllRuns(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            tables.presentRun(task.name()).ifPresent(present -> {
                if (present.run().state() != Run.State.STOPPING) {
                    stopRun(present.target(), present.run(), now);
                }
            });
        }
    }

    /** Notes that every live front has handed over the jobs that it had given to an earlier master. */
    void endHandover() {
        handoverEnded = true;
    }

    /** Repeats stops, and stops runs that stand still or that no front asked for. */
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
                                + (handoverEnded ? ": no live host has handed the job over" : ": nobody has in time"));
                stopRun(target, run, now);
            }
            return;
        }
        if (run.task().get().job().closed()) {
            // A start whose stop was lost with an earlier life of the target, or with an earlier token.
            stopRun(target, run, now);
            return;
        }
        long allowedNanos = (long) (OVERDUE_FACTOR * run.expectedNanos()) + OVERDUE_MARGIN_NANOS;
        if (now - run.startOrderedNanos() > allowedNanos) {
            stopStalledRun(target, run, now);
        }
    }

    /** Stops a run that makes no progress and keeps new tasks away from its target for a while. */
    void stopStalledRun(PoolTarget target, Run run, long now) {
        run.task().ifPresent(task -> task.avoid(target.entry().id()));
        pauseTarget(target, "a run stands still: " + run.id().task().job(), now);
        stopRun(target, run, now);
    }

    /**
     * Stops a run so that its task starts on another target, as soon as the end is listed.
     *
     * @param workNanos running time that its progress shows, empty if the target is taken for slow
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
