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
final class RunSystem {
    /** Expected running times after which a run stands still; declared times are off by up to twice either way. */
    private static final double OVERDUE_FACTOR = 3;
    /** Added to the running time that is overdue, for the ways of start and report. */
    private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Pause between stop orders for one run; a target takes at most 50 ms to carry one out. */
    private static final long STOP_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);
    /**
     * Time after the claim for the fronts of an earlier master to hand their jobs over before inherited runs are stopped.
     * Callers whose connections broke with that master send their jobs again after 1.3 s; a silent master is noticed and its
     * pool claimed after 0.5 s, and a stop and its report take up to 0.1 s.
     */
    private static final long ADOPTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300 - 500 - 100);
    /** How long ends that no open job waits for are remembered for a job that is handed over. */
    private static final long ORPHAN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PoolTables tables;
    private final PoolActions actions;
    private final JobSystem jobs;
    private final long adoptionEndNanos;
    private final Map<TaskName, Long> orphanDone = new HashMap<>();
    private boolean handoverEnded;

    /**
     * Creates the system.
     *
     * @param claimedNanos when this host became the master
     */
    RunSystem(PoolTables tables, PoolActions actions, JobSystem jobs, long claimedNanos) {
        this.tables = tables;
        this.actions = actions;
        this.jobs = jobs;
        this.adoptionEndNanos = claimedNanos + ADOPTION_NANOS;
    }

    /** Orders a start. */
    void start(PoolTarget target, PoolTask task, long now, long expectedNanos) {
        long deadlineMs = target.newDeadlineMs(now);
        Run run = Run.ordered(task.nextRunId(), task, now, target.fence(), expectedNanos);
        tables.add(target, run);
        task.become(PoolTask.State.ACTIVE);
        task.job().markStarted();
        actions.start(
                target.entry(),
                run.id(),
                task.job().order().payload(),
                deadlineMs,
                target.fence().value());
    }

    /** Takes the answer to a start, or its lack; returns whether the target should be asked for a report. */
    boolean startAnswered(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null) {
            // The answer may come from an earlier life of the target, whose clock says nothing about this one.
            return false;
        }
        if (run.orderedBefore(target.fence())) {
            return supersededStartAnswered(target, run, verdict);
        }
        if (clockMs > 0) {
            target.hear(clockMs, now);
        }
        if (verdict == OrderVerdict.DONE) {
            run.confirm(clockMs, now);
            return false;
        }
        if (verdict.mayTakeEffect()) {
            if (run.state() == Run.State.STARTING) {
                run.become(Run.State.UNKNOWN, now);
            }
            return true;
        }
        if (verdict == OrderVerdict.FENCED) {
            // Another master may hold the target; its next report under our token, or its refusal, tells.
            target.doubtFence();
        }
        tables.remove(target, run);
        run.task().ifPresent(task -> {
            switch (verdict) {
                case REJECTED -> failed(target, task, now);
                case UNHEALTHY -> {
                    pause(target, "an unhealthy target refused a start", now);
                    requeue(task);
                }
                case NO_ROOM -> {
                    pause(target, "the target has less room than expected", now);
                    requeue(task);
                }
                default -> requeueLogged(target, task, "start answered " + verdict);
            }
        });
        return verdict != OrderVerdict.OLD;
    }

    /**
     * Takes the answer to a start that was ordered before the token was raised. Which life of the target has answered isn't
     * known, so only the next report tells whether a start that was carried out is still there.
     */
    private boolean supersededStartAnswered(PoolTarget target, Run run, OrderVerdict verdict) {
        if (verdict == OrderVerdict.DONE || verdict.mayTakeEffect()) {
            return true;
        }
        remove(target, run, "start answered " + verdict + " after the token was raised");
        return false;
    }

    /** Takes a report of a target. */
    void report(PoolTarget target, HoldReport report, long sentNanos, boolean newest, long now) {
        Set<RunId> listed = new HashSet<>();
        report.running().forEach(progress -> listed.add(progress.run()));
        for (HoldReport.RunEnd end : report.ended()) {
            listed.add(end.run());
            if (end.number() > target.acknowledged()) {
                target.acknowledge(end.number());
                ended(target, end, now);
            }
        }
        if (!newest) {
            return;
        }
        for (HoldReport.RunProgress progress : report.running()) {
            RunId id = progress.run();
            target.run(id)
                    .ifPresentOrElse(
                            run -> {
                                run.confirm(report.clockMs(), now);
                                run.progressed(progress.percent(), now);
                            },
                            () -> inherit(target, id, report.clockMs(), now));
        }
        for (Run run : new ArrayList<>(target.runs())) {
            if (!listed.contains(run.id())) {
                missing(target, run, report.clockMs(), sentNanos, now);
            }
        }
    }

    private void inherit(PoolTarget target, RunId id, long clockMs, long now) {
        Run run = Run.inherited(id, target.entry().capacity(), now, clockMs);
        tables.add(target, run);
        tables.job(id.task().job()).ifPresent(job -> adopt(job, now));
    }

    /** Takes inherited runs of a job over, and ends of its tasks that an earlier master didn't see. */
    void adopt(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            // A run of the same number would be rejected, and an answer to the first run taken for its answer.
            tables.presentRun(task.name())
                    .ifPresent(present -> task.skipTo(present.run().id().run()));
            if (task.state() != PoolTask.State.WAITING) {
                continue;
            }
            if (job.order().resumed() && orphanDone.remove(task.name()) != null) {
                task.become(PoolTask.State.DONE);
                continue;
            }
            tables.presentRun(task.name())
                    .filter(present ->
                            present.run().task().isEmpty() && present.run().state() == Run.State.RUNNING)
                    .ifPresent(present -> {
                        long expected = (long) (tables.expectedNanos(task)
                                * tables.slowness().of(present.target().kind()));
                        tables.remove(present.target(), present.run());
                        tables.add(present.target(), present.run().adoptedBy(task, now, expected));
                        actions.jobChanged(
                                job.id(),
                                "run adopted",
                                "task " + task.name().index() + " runs on "
                                        + present.target().entry().id());
                        task.become(PoolTask.State.ACTIVE);
                        job.markStarted();
                    });
        }
    }

    /** Handles a run that a report doesn't list. */
    private void missing(PoolTarget target, Run run, long clockMs, long sentNanos, long now) {
        boolean reportIsLater = clockMs > run.confirmedClockMs() && sentNanos >= run.stateSince();
        // A target that reports under a raised token refuses the start from then on.
        boolean neverStarts = !run.seen() && run.orderedBefore(target.fence());
        boolean over =
                switch (run.state()) {
                    case STARTING -> false;
                    case UNKNOWN -> neverStarts;
                    case RUNNING -> clockMs > run.confirmedClockMs();
                    case STOPPING -> neverStarts || (run.stopConfirmed() && clockMs > run.confirmedClockMs());
                };
        if (over) {
            remove(target, run, "not listed by the target while " + run.state());
        } else if (run.state() == Run.State.UNKNOWN && reportIsLater) {
            // The start may still be on its way; a stop keeps the target from ever carrying it out.
            stop(target, run, now);
        }
    }

    private void remove(PoolTarget target, Run run, String why) {
        tables.remove(target, run);
        run.task().ifPresent(task -> requeueLogged(target, task, why));
    }

    /** Puts a task whose run came to nothing back into the queue. */
    private void requeueLogged(PoolTarget target, PoolTask task, String why) {
        if (!task.job().closed()) {
            actions.jobChanged(
                    task.job().id(),
                    "task waits again",
                    "task " + task.name().index() + " on " + target.entry().id() + ": " + why);
        }
        requeue(task);
    }

    private void ended(PoolTarget target, HoldReport.RunEnd end, long now) {
        Run run = target.run(end.run()).orElse(null);
        if (run == null) {
            if (end.how() == HoldReport.How.DONE) {
                orphanDone.put(end.run().task(), now);
            }
            return;
        }
        tables.remove(target, run);
        if (run.task().isEmpty()) {
            if (end.how() == HoldReport.How.DONE) {
                orphanDone.put(end.run().task(), now);
            }
            return;
        }
        PoolTask task = run.task().get();
        switch (end.how()) {
            case DONE -> done(target, task, run, now);
            case FAILED -> failed(target, task, now);
            default -> requeueLogged(target, task, "ended " + end.how());
        }
    }

    private void done(PoolTarget target, PoolTask task, Run run, long now) {
        long took = now - run.orderedNanos();
        double ratio = took / (double) Math.max(1, tables.expectedNanos(task));
        tables.runningTimes().sample(task.job().order().route(), took / target.slowness());
        task.job().observe(observedFactor(target, task, took));
        tables.slowness().sample(target.kind(), ratio);
        target.succeeded(ratio, tables.slowness().of(target.kind()));
        task.become(PoolTask.State.DONE);
        if (!task.job().closed() && task.job().allDone()) {
            jobs.finish(task.job(), new JobResult.Complete());
        }
    }

    /** Returns the running time of a task on a target of usual speed relative to the one that was expected at first. */
    private double observedFactor(PoolTarget target, PoolTask task, long nanos) {
        return Math.max(1, nanos) / (target.slowness() * Math.max(1, tables.firstExpectedNanos(task)));
    }

    private void failed(PoolTarget target, PoolTask task, long now) {
        if (target.failed(task.name().job())) {
            pause(target, "runs of different jobs failed in a row", now);
        }
        task.avoid(target.entry().id());
        if (!task.job().closed() && task.fail() >= task.job().order().maxAttempts()) {
            jobs.finish(task.job(), new JobResult.Failed("a task failed as often as its queue allows"));
            stopAll(task.job(), now);
        }
        requeueLogged(target, task, "failed");
    }

    private void requeue(PoolTask task) {
        task.become(PoolTask.State.WAITING);
        if (!task.job().closed()) {
            tables.queue().add(task.job());
        }
    }

    private void pause(PoolTarget target, String why, long now) {
        if (target.paused(now)) {
            // Several runs of one target go wrong together; they count as one sign.
            return;
        }
        target.pause(now);
        actions.targetChanged(target.entry(), "paused", why);
    }

    /** Ends every run of a target that is gone. */
    void dropAll(PoolTarget target) {
        expire(target, new ArrayList<>(target.runs()));
    }

    /**
     * Ends the runs of a target whose leases have certainly expired. Starts without an answer may still be carried out, and
     * stay until the target reports under a higher token.
     */
    void expireAll(PoolTarget target, long now) {
        List<Run> over = new ArrayList<>();
        for (Run run : target.runs()) {
            if (run.seen()) {
                over.add(run);
            } else {
                run.doubt(now);
            }
        }
        expire(target, over);
    }

    /**
     * Keeps every run of a target that has started again in doubt until its next report: the new life may have carried
     * orders out before its restart was noticed.
     */
    void doubtAll(PoolTarget target, long now) {
        target.runs().forEach(run -> run.doubt(now));
    }

    private void expire(PoolTarget target, List<Run> over) {
        if (over.isEmpty()) {
            return;
        }
        actions.targetChanged(target.entry(), "expired", over.size() + " runs are over with their lease");
        for (Run run : over) {
            run.task().ifPresent(task -> task.avoid(target.entry().id()));
            remove(target, run, "the lease is over");
        }
    }

    /** Orders that a run ends. */
    void stop(PoolTarget target, Run run, long now) {
        run.become(Run.State.STOPPING, now);
        actions.stop(target.entry(), run.id(), target.fence().value());
    }

    /** Takes the answer to a stop; returns whether the target should be asked for a report. */
    boolean stopAnswered(PoolTarget target, RunId id, OrderVerdict verdict, long clockMs, long now) {
        Run run = target.run(id).orElse(null);
        if (run == null || (!run.seen() && run.orderedBefore(target.fence()))) {
            // The run is over, or the answer may have been given by an earlier life.
            return false;
        }
        if (clockMs > 0) {
            target.hear(clockMs, now);
        }
        if (verdict != OrderVerdict.DONE) {
            return false;
        }
        run.confirmStop(clockMs);
        return true;
    }

    /** Stops the runs of a job that nobody waits for. */
    void stopAll(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            tables.presentRun(task.name()).ifPresent(present -> {
                if (present.run().state() != Run.State.STOPPING) {
                    stop(present.target(), present.run(), now);
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
        orphanDone.values().removeIf(since -> now - since > ORPHAN_NANOS);
        for (PoolTarget target : tables.targets()) {
            if (target.runs().isEmpty() || !target.taken()) {
                continue;
            }
            for (Run run : target.runs()) {
                check(target, run, now);
            }
        }
    }

    private void check(PoolTarget target, Run run, long now) {
        if (run.state() == Run.State.STOPPING) {
            if (!run.stopConfirmed() && now - run.stateSince() > STOP_RETRY_NANOS && target.misses() == 0) {
                stop(target, run, now);
            }
            return;
        }
        if (run.state() != Run.State.RUNNING) {
            return;
        }
        if (run.task().isEmpty()) {
            if (handoverEnded || now > adoptionEndNanos) {
                actions.jobChanged(
                        run.id().task().job(),
                        "inherited run stopped",
                        "task " + run.id().task().index() + " on "
                                + target.entry().id()
                                + (handoverEnded ? ": no live host has handed the job over" : ": nobody has in time"));
                stop(target, run, now);
            }
            return;
        }
        if (run.task().get().job().closed()) {
            // A start whose stop was lost with an earlier life of the target, or with an earlier token.
            stop(target, run, now);
            return;
        }
        long allowed = (long) (OVERDUE_FACTOR * run.expectedNanos()) + OVERDUE_NANOS;
        if (now - run.orderedNanos() > allowed) {
            standsStill(target, run, now);
        }
    }

    /** Stops a run that makes no progress and keeps new tasks away from its target for a while. */
    void standsStill(PoolTarget target, Run run, long now) {
        run.task().ifPresent(task -> task.avoid(target.entry().id()));
        pause(target, "a run stands still: " + run.id().task().job(), now);
        stop(target, run, now);
    }

    /**
     * Stops a run so that its task starts on another target, as soon as the end is listed.
     *
     * @param workNanos running time that its progress shows, empty if the target is taken for slow
     */
    void move(PoolTarget target, Run run, OptionalLong workNanos, String why, long now) {
        run.task().ifPresent(task -> {
            workNanos.ifPresent(nanos -> task.job().observe(observedFactor(target, task, nanos)));
            task.avoid(target.entry().id());
            actions.jobChanged(
                    task.job().id(),
                    "run moved",
                    "task " + task.name().index() + " on " + target.entry().id() + ": " + why);
        });
        stop(target, run, now);
    }
}
