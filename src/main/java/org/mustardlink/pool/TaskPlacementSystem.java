package org.mustardlink.pool;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Starts waiting tasks on targets with free capacity.
 *
 * <p>Jobs that can still meet their latency objective come first, ordered by the latest start that meets it; late jobs
 * get the remaining capacity. A task that fits on no target reserves the one that will have enough free capacity first,
 * so that smaller tasks don't starve it.
 */
final class TaskPlacementSystem {
    /** A target that hasn't reported for this long gets no new tasks; the time covers two reports. */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2L * LeaseSystem.REPORT_WAIT_MS + 200);
    /** Slowness of a target relative to the mean of its kind from which the target counts as faulty. */
    private static final double FAULTY_SLOWNESS = 2.2;
    /** Maximum number of targets reserved per tick; more would leave too much capacity idle if many tasks are large. */
    private static final int MAX_RESERVATIONS = 3;
    /**
     * Factor applied to the expected running time of a task when it is compared with the time left to its objective.
     */
    private static final double OBJECTIVE_MARGIN = 1.6;
    /**
     * Factor applied to the expected running time of a task when a target is ruled out because of the caller's
     * deadline. Below 1, because declared times are often too long.
     */
    private static final double DEADLINE_MARGIN = 0.85;
    /** Targets whose slowness differs by less than this ratio count as equally fast; the tighter fit then decides. */
    private static final double SAME_SPEED_RATIO = 1.1;
    /** Slowness relative to that of the fastest target from which a target counts as slow. */
    private static final double SLOW_RATIO = 1.3;
    /**
     * Replaces {@link #DEADLINE_MARGIN} on a slow target while a fast one may become free. Above 1, because half of the
     * tasks take longer than expected.
     */
    private static final double SLOW_DEADLINE_MARGIN = 1.2;

    /**
     * Replaces {@link #DEADLINE_MARGIN} when no target is expected to end the task in time, for a started job, whose
     * work is lost if this task doesn't start, and for a job that is alone in the queue, so that no other job needs the
     * capacity. One task in twenty takes less than half of the expected time.
     */
    private static final double LAST_CHANCE_DEADLINE_MARGIN = 0.5;

    private final PoolTables tables;
    private final RunSystem runs;
    private final LeaseGrants grants;
    private double fastestSlowness = 1;

    TaskPlacementSystem(PoolTables tables, RunSystem runs, LeaseGrants grants) {
        this.tables = tables;
        this.runs = runs;
        this.grants = grants;
    }

    /** Returns whether a target may be given new tasks. */
    static boolean acceptsTasks(PoolTarget target, long now) {
        return target.listed()
                && target.entryIsCurrent()
                && !target.entry().draining()
                && target.tokenConfirmed()
                && target.clockKnown()
                && target.consecutiveMisses() == 0
                && !target.paused(now)
                && !(target.onTrial() && !target.runs().isEmpty())
                && now - target.lastReportNanos() < MAX_SILENCE_NANOS;
    }

    /** Returns whether a target isn't much slower than other targets of its kind. */
    private boolean isHealthy(PoolTarget target) {
        return target.slowness() < FAULTY_SLOWNESS * tables.kindSlowness().of(target.kind());
    }

    /**
     * Starts every waiting task that can be started.
     *
     * @param earlierRunsKnown whether the runs that earlier masters started are known, so that tasks of jobs that an
     *     earlier master may have started can be placed
     * @param hasEarlierStart returns whether a start of a job, given its id, that an earlier master ordered may still be
     *     carried out
     */
    void tick(long now, boolean earlierRunsKnown, Predicate<String> hasEarlierStart) {
        if (tables.queue().isEmpty()) {
            return;
        }
        List<PoolTarget> candidates = new ArrayList<>();
        for (PoolTarget target : tables.targets()) {
            if (acceptsTasks(target, now) && grants.allowStart(target, now)) {
                candidates.add(target);
            }
        }
        fastestSlowness =
                candidates.stream().mapToDouble(PoolTarget::slowness).min().orElse(1);
        Set<PoolTarget> reserved = Sets.newIdentityHashSet();
        List<PoolJob> lateJobs = new ArrayList<>();
        List<PoolJob> orderedJobs = new ArrayList<>();
        for (PoolJob job : tables.queue()) {
            (job.latestStartForObjectiveNanos() < now ? lateJobs : orderedJobs).add(job);
        }
        orderedJobs.addAll(lateJobs);
        for (PoolJob job : orderedJobs) {
            if ((job.order().mayHaveStarted() && !earlierRunsKnown)
                    || hasEarlierStart.test(job.id())
                    || !grants.allowStart(job, now)) {
                continue;
            }
            if (!placeTasks(job, candidates, reserved, now)) {
                break;
            }
        }
        Iterator<PoolJob> queued = tables.queue().iterator();
        while (queued.hasNext()) {
            if (!queued.next().hasWaitingTask()) {
                queued.remove();
            }
        }
    }

    /** Places the waiting tasks of a job; returns whether tasks of other jobs can still be placed. */
    private boolean placeTasks(PoolJob job, List<PoolTarget> candidates, Set<PoolTarget> reserved, long now) {
        for (PoolTask task : job.tasks()) {
            if (task.state() != PoolTask.State.WAITING
                    || !job.dependenciesDone(task)
                    || tables.presentRun(task.name()).isPresent()) {
                continue;
            }
            Optional<PoolTarget> best = findBestTarget(task, candidates, reserved, now, false);
            Optional<PoolTarget> earliestFree = Optional.empty();
            if (best.isEmpty()) {
                earliestFree = findEarliestFreeTarget(task, candidates, reserved, now, 1);
                best = earliestFree.isPresent() ? best : findBestTarget(task, candidates, reserved, now, true);
            }
            if (best.isPresent()) {
                PoolTarget target = best.get();
                runs.startRun(target, task, now, expectedNanos(task, target));
                continue;
            }
            if (reserved.size() >= MAX_RESERVATIONS) {
                return false;
            }
            earliestFree
                    .or(() -> findEarliestFreeTarget(task, candidates, reserved, now, lastChanceMargin(task)))
                    .ifPresent(reserved::add);
            // The other tasks of the step have the same resource needs and fit nowhere either.
            return true;
        }
        return true;
    }

    /** Returns the expected running time of a task on a target. */
    private long expectedNanos(PoolTask task, PoolTarget target) {
        return (long) (tables.expectedNanos(task) * target.slowness());
    }

    /** Returns whether a task that starts on a target now is likely to end within the objective of its job. */
    private boolean meetsObjective(PoolTask task, PoolTarget target, long now) {
        long limitNanos = Math.min(task.job().objectiveNanos(), task.job().deadlineNanos());
        return now + (long) (OBJECTIVE_MARGIN * expectedNanos(task, target)) < limitNanos;
    }

    /**
     * Returns how many tasks with the needs of a given one fit now on other targets that would end them before the
     * deadline of its caller.
     *
     * @param currentTarget the target on which the task runs
     * @param startNanos when the tasks could start there
     * @param workFactor running time of the task relative to the expected one
     */
    int countTasksInTimeElsewhere(
            PoolTask task, PoolTarget currentTarget, long startNanos, double workFactor, long now) {
        int tasks = 0;
        for (PoolTarget target : tables.targets()) {
            if (target != currentTarget
                    && acceptsTasks(target, now)
                    && isHealthy(target)
                    && !task.avoids(target.entry().id())
                    && meetsConstraints(task, target)
                    && !missesDeadline(task, target, startNanos, workFactor)) {
                tasks += target.freeCapacity().maxTasks(task.spec().need());
            }
        }
        return tasks;
    }

    /**
     * Returns the best target that has free capacity for a task and meets its constraints.
     *
     * @param lastChance whether no target will be free in time, so that a target with a small chance of meeting the
     *     deadline is better than none
     */
    private Optional<PoolTarget> findBestTarget(
            PoolTask task, List<PoolTarget> candidates, Set<PoolTarget> reserved, long now, boolean lastChance) {
        PoolTarget best = null;
        boolean bestPreferred = false;
        for (PoolTarget target : candidates) {
            if (reserved.contains(target)
                    || !acceptsTasks(target, now)
                    || !target.freeCapacity().covers(task.spec().need())
                    || !meetsConstraints(task, target)
                    || missesDeadline(
                            task, target, now, lastChance ? lastChanceMargin(task) : deadlineMargin(target))) {
                continue;
            }
            boolean preferred = !task.avoids(target.entry().id()) && isHealthy(target);
            if (best == null || (preferred == bestPreferred ? isBetter(task, target, best, now) : preferred)) {
                best = target;
                bestPreferred = preferred;
            }
        }
        return Optional.ofNullable(best);
    }

    private double deadlineMargin(PoolTarget target) {
        return target.slowness() > SLOW_RATIO * fastestSlowness ? SLOW_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /**
     * Returns the deadline margin for a task that no target is expected to end in time: a small chance of success is
     * worth capacity that is free.
     */
    private double lastChanceMargin(PoolTask task) {
        boolean onlyQueuedJob = tables.queue().size() == 1;
        return task.job().started() || onlyQueuedJob ? LAST_CHANCE_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /** Returns whether a task that starts on a target at a given time is likely to end after the caller's deadline. */
    private boolean missesDeadline(PoolTask task, PoolTarget target, long startNanos, double margin) {
        return startNanos + (long) (margin * expectedNanos(task, target))
                > task.job().deadlineNanos();
    }

    /** Returns whether any healthy target, busy or not, would end a task before its caller's deadline. */
    boolean anyTargetMeetsDeadline(PoolTask task, long startNanos, double workFactor) {
        return tables.targets().stream()
                .anyMatch(target ->
                        isHealthy(target) && !missesDeadline(task, target, startNanos, DEADLINE_MARGIN * workFactor));
    }

    /** Marks started jobs with a waiting task that no target can end before the caller's deadline any more. */
    void markUnreachableDeadlines(long now) {
        for (PoolJob job : tables.queue()) {
            if (job.started() && !job.order().mayHaveStarted() && isDeadlineUnreachable(job, now)) {
                job.markDeadlineUnreachable("a waiting task can't end before the deadline on any target");
            }
        }
    }

    /** Returns whether a waiting task of a job would end after the caller's deadline on every target. */
    private boolean isDeadlineUnreachable(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            if (task.state() == PoolTask.State.WAITING
                    && tables.presentRun(task.name()).isEmpty()
                    && !tables.targets().isEmpty()
                    && tables.targets().stream()
                            .allMatch(target -> missesDeadline(task, target, now, LAST_CHANCE_DEADLINE_MARGIN))) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether work with the given expected running time that starts now is likely to end after a deadline. */
    static boolean missesDeadline(long expectedNanos, long deadlineNanos, long now) {
        return now + (long) (DEADLINE_MARGIN * expectedNanos) > deadlineNanos;
    }

    /**
     * Returns whether a candidate target is better for a task than the best one so far. If both meet the objective, the
     * slower one is better, which keeps fast targets free for tasks that need them; if neither does, the faster one is.
     * Of targets of similar speed, the one with less free processor capacity is better.
     */
    private boolean isBetter(PoolTask task, PoolTarget candidate, PoolTarget best, long now) {
        boolean similarSpeed = candidate.slowness() < SAME_SPEED_RATIO * best.slowness()
                && best.slowness() < SAME_SPEED_RATIO * candidate.slowness();
        if (similarSpeed) {
            return candidate.freeCapacity().cpuMillis() < best.freeCapacity().cpuMillis();
        }
        boolean candidateMeetsObjective = meetsObjective(task, candidate, now);
        boolean bestMeetsObjective = meetsObjective(task, best, now);
        if (candidateMeetsObjective != bestMeetsObjective) {
            return candidateMeetsObjective;
        }
        return candidateMeetsObjective == candidate.slowness() > best.slowness();
    }

    /** Returns whether a target has the label that a task requires and runs fewer tasks of its step than allowed. */
    private static boolean meetsConstraints(PoolTask task, PoolTarget target) {
        if (task.spec().requiredLabel().isPresent()
                && !target.entry().labels().contains(task.spec().requiredLabel().get())) {
            return false;
        }
        if (task.spec().maxPerTarget() == Integer.MAX_VALUE) {
            return true;
        }
        long runsOfStep = target.runs().stream()
                .filter(run -> run.id().task().job().equals(task.name().job())
                        && run.id().task().step() == task.name().step())
                .count();
        return runsOfStep < task.spec().maxPerTarget();
    }

    /** Returns the target that will have free capacity for a task first, of those that would end it in time. */
    private Optional<PoolTarget> findEarliestFreeTarget(
            PoolTask task, List<PoolTarget> candidates, Set<PoolTarget> reserved, long now, double margin) {
        PoolTarget earliest = null;
        long earliestNanos = Long.MAX_VALUE;
        for (PoolTarget target : candidates) {
            if (reserved.contains(target)
                    || !target.entry().capacity().covers(task.spec().need())
                    || !meetsConstraints(task, target)) {
                continue;
            }
            long freeNanos = freeAtNanos(target, task.spec().need());
            if (freeNanos < earliestNanos && !missesDeadline(task, target, Math.max(now, freeNanos), margin)) {
                earliestNanos = freeNanos;
                earliest = target;
            }
        }
        return Optional.ofNullable(earliest);
    }

    /** Returns when enough runs of a target are expected to have ended for a task to fit. */
    private static long freeAtNanos(PoolTarget target, Capacity need) {
        Capacity free = target.freeCapacity();
        List<Run> byEnd = new ArrayList<>(target.runs());
        byEnd.sort((a, b) -> Long.compare(expectedEndNanos(a), expectedEndNanos(b)));
        for (Run run : byEnd) {
            free = free.plus(run.need());
            if (free.covers(need)) {
                return expectedEndNanos(run);
            }
        }
        return Long.MAX_VALUE;
    }

    private static long expectedEndNanos(Run run) {
        if (run.expectedNanos() == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return run.projectedEndNanos().orElse(run.startOrderedNanos() + run.expectedNanos());
    }
}
