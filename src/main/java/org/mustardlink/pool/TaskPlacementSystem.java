package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Starts waiting tasks on targets with free capacity.
 *
 * <p>To start a job commits the pool to all its tasks: the work of a job that misses its deadline is lost. So a job is
 * started only if each task of its first step is expected to end in time, on a target with free capacity or in capacity
 * that is reserved for it where runs are about to end. Reservations are made anew in each tick. Started jobs come before
 * all others, in the order of their starts, so that no job takes the capacity on which an earlier one relies. Of the
 * others, jobs that can still meet their latency objective come first, ordered by the latest start that meets it;
 * late jobs get the remaining capacity.
 */
final class TaskPlacementSystem {
    /** A target that hasn't reported for this long gets no new tasks; the time covers two reports. */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2L * LeaseSystem.REPORT_WAIT_MS + 200);
    /** Slowness of a target relative to the mean of its kind from which the target counts as faulty. */
    private static final double FAULTY_SLOWNESS = 2.2;
    /**
     * Maximum number of jobs that haven't started and have capacity reserved; each of them keeps other jobs from
     * capacity that it can't use yet. Further jobs are started only if all their tasks can start now.
     */
    private static final int MAX_RESERVING_JOBS = 6;
    /**
     * Factor applied to the expected running time of a task when it is compared with the time left to its objective.
     */
    private static final double OBJECTIVE_MARGIN = 1.6;
    /**
     * Factor applied to the expected running time of a task when a target is ruled out because of the caller's
     * deadline. Below 1, because declared times are often too long.
     */
    static final double DEADLINE_MARGIN = 0.85;
    /** Targets whose slowness differs by less than this ratio count as equally fast; the tighter fit then decides. */
    private static final double SAME_SPEED_RATIO = 1.1;
    /** Slowness relative to that of the fastest target from which a target counts as slow. */
    private static final double SLOW_RATIO = 1.3;
    /**
     * Replaces {@link #DEADLINE_MARGIN} on a slow target while a faster one is expected to end the task earlier. Above
     * 1, because half of the tasks take longer than expected.
     */
    private static final double SLOW_DEADLINE_MARGIN = 1.8;

    /**
     * Replaces {@link #DEADLINE_MARGIN} for a started job, whose work is lost if one of its tasks isn't started. Lower,
     * because one task more or less on which a chance is taken matters little against that work.
     */
    private static final double STARTED_DEADLINE_MARGIN = 0.7;

    /**
     * Replaces {@link #DEADLINE_MARGIN} for a job that is alone in the queue, so that no other job needs the capacity.
     * One task in twenty takes less than half of the expected time.
     */
    private static final double LAST_CHANCE_DEADLINE_MARGIN = 0.5;

    private final PoolTables tables;
    private final PoolActions actions;
    private final RunSystem runs;
    private final LeaseGrants grants;
    private double fastestSlowness = 1;
    /** Schedules of the targets that the current tick has looked at. */
    private final IdentityHashMap<PoolTarget, TargetSchedule> schedules = new IdentityHashMap<>();

    /**
     * Where and when a task is to run.
     *
     * @param slot the planned use of the target
     */
    private record Placement(PoolTask task, PoolTarget target, TargetSchedule.Slot slot) {}

    /**
     * What a tick has done for a job.
     *
     * @param startedTasks number of tasks that were started
     * @param reserves whether capacity is reserved for other tasks
     */
    private record JobPlacement(int startedTasks, boolean reserves) {
        private static final JobPlacement NONE = new JobPlacement(0, false);
    }

    TaskPlacementSystem(PoolTables tables, PoolActions actions, RunSystem runs, LeaseGrants grants) {
        this.tables = tables;
        this.actions = actions;
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
        removeJobsWithoutWaitingTask();
        if (tables.queue().isEmpty()) {
            return;
        }
        Capacity smallestNeed = smallestNeed();
        if (!canAnyTargetStart(smallestNeed, now)) {
            return;
        }
        List<PoolTarget> candidates = new ArrayList<>();
        for (PoolTarget target : tables.targets()) {
            if (acceptsTasks(target, now) && grants.allowStart(target, now)) {
                candidates.add(target);
            }
        }
        if (candidates.isEmpty()) {
            return;
        }
        fastestSlowness =
                candidates.stream().mapToDouble(PoolTarget::slowness).min().orElse(1);
        schedules.clear();
        int reservingJobs = 0;
        int plannedJobs = 0;
        for (PoolJob job : jobsInOrder(now)) {
            if ((job.order().mayHaveStarted() && !earlierRunsKnown)
                    || hasEarlierStart.test(job.id())
                    || !grants.allowStart(job, now)) {
                continue;
            }
            plannedJobs++;
            boolean started = job.started();
            JobPlacement placed = placeTasks(job, candidates, started || reservingJobs < MAX_RESERVING_JOBS, now);
            reservingJobs += placed.reserves() && !started ? 1 : 0;
            if (placed.startedTasks() > 0 && !canAnyTargetStart(smallestNeed, now)) {
                // Reservations of later jobs would have no effect, because they are made anew in each tick.
                break;
            }
        }
        actions.recordPlacement(plannedJobs);
        removeJobsWithoutWaitingTask();
    }

    private void removeJobsWithoutWaitingTask() {
        tables.queue().removeIf(job -> !job.hasWaitingTask());
    }

    /** Returns the smallest amount of each resource that any task of a queued job needs. */
    private Capacity smallestNeed() {
        return tables.queue().stream()
                .map(PoolJob::smallestNeed)
                .reduce(Capacity::min)
                .orElseThrow();
    }

    /** Returns whether any target takes tasks and has free capacity for a need. */
    private boolean canAnyTargetStart(Capacity need, long now) {
        for (PoolTarget target : tables.targets()) {
            if (target.freeCapacity().covers(need) && acceptsTasks(target, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the queued jobs in the order in which they get capacity. */
    private List<PoolJob> jobsInOrder(long now) {
        List<PoolJob> startedJobs = new ArrayList<>();
        List<PoolJob> punctualJobs = new ArrayList<>();
        List<PoolJob> lateJobs = new ArrayList<>();
        for (PoolJob job : tables.queue()) {
            if (job.started()) {
                startedJobs.add(job);
            } else {
                (job.latestStartForObjectiveNanos() < now ? lateJobs : punctualJobs).add(job);
            }
        }
        startedJobs.sort(Comparator.comparingLong(PoolJob::startedNanos));
        return ImmutableList.copyOf(Iterables.concat(startedJobs, punctualJobs, lateJobs));
    }

    /**
     * Starts the waiting tasks of a job that fit now, and reserves capacity for the others; starts none if the job isn't
     * started and one of its tasks isn't expected to end in time.
     *
     * @param mayReserve whether capacity may be reserved for the job
     */
    private JobPlacement placeTasks(PoolJob job, List<PoolTarget> candidates, boolean mayReserve, long now) {
        List<Placement> placements = new ArrayList<>();
        // The tasks of a step have the same needs: once one fits nowhere now, the others don't either.
        int stepWithoutRoom = -1;
        for (PoolTask task : job.tasks()) {
            if (task.state() != PoolTask.State.WAITING
                    || !job.dependenciesDone(task)
                    || tables.presentRun(task.name()).isPresent()) {
                continue;
            }
            List<PoolTarget> eligible = eligibleTargets(task, candidates, placements);
            Optional<Placement> placement =
                    task.name().step() == stepWithoutRoom ? Optional.empty() : findPlacementNow(task, eligible, now);
            if (placement.isEmpty() && mayReserve) {
                stepWithoutRoom = task.name().step();
                placement = findEarliestEnd(task, eligible, now);
            }
            if (placement.isPresent()) {
                Placement found = placement.get();
                scheduleOf(found.target(), now).add(found.slot());
                placements.add(found);
            } else if (job.started() || awaitsTasksOfItsStep(task, candidates, placements)) {
                // Of a step that runs in several waves, because it is limited per target, only one can be planned.
                break;
            } else {
                placements.forEach(planned -> scheduleOf(planned.target(), now).remove(planned.slot()));
                return JobPlacement.NONE;
            }
        }
        int startedTasks = 0;
        boolean reserves = false;
        for (Placement placement : placements) {
            if (canStartNow(placement, now)) {
                runs.startRun(
                        placement.target(), placement.task(), now, expectedNanos(placement.task(), placement.target()));
                startedTasks++;
            } else {
                reserves = true;
            }
        }
        return new JobPlacement(startedTasks, reserves);
    }

    private TargetSchedule scheduleOf(PoolTarget target, long now) {
        return schedules.computeIfAbsent(target, scheduled -> TargetSchedule.of(scheduled, now));
    }

    /** Returns whether a task can start where and when it is planned; earlier starts of the tick may rule it out. */
    private static boolean canStartNow(Placement placement, long now) {
        return placement.slot().startNanos() <= now
                && acceptsTasks(placement.target(), now)
                && placement
                        .target()
                        .freeCapacity()
                        .covers(placement.task().spec().need());
    }

    /**
     * Returns the targets that can run a task, whether they have free capacity or not.
     *
     * @param placements the placements of the job's other tasks, which haven't started yet
     */
    private static List<PoolTarget> eligibleTargets(
            PoolTask task, List<PoolTarget> candidates, List<Placement> placements) {
        List<PoolTarget> eligible = new ArrayList<>();
        for (PoolTarget target : candidates) {
            if (target.entry().capacity().covers(task.spec().need())
                    && !(target.onTrial() && isPlannedOn(target, placements))
                    && meetsConstraints(task, target, placements)) {
                eligible.add(target);
            }
        }
        return eligible;
    }

    private Optional<Placement> findPlacementNow(PoolTask task, List<PoolTarget> targets, long now) {
        return findBestTarget(task, targets, now).map(target -> new Placement(task, target, slotOf(task, target, now)));
    }

    private static boolean isPlannedOn(PoolTarget target, List<Placement> placements) {
        return placements.stream().anyMatch(placement -> placement.target() == target);
    }

    private TargetSchedule.Slot slotOf(PoolTask task, PoolTarget target, long startNanos) {
        return new TargetSchedule.Slot(
                startNanos,
                startNanos + expectedNanos(task, target),
                task.spec().need());
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

    /** Returns the best target on which a task can start now and is expected to end in time. */
    private Optional<PoolTarget> findBestTarget(PoolTask task, List<PoolTarget> targets, long now) {
        PoolTarget best = null;
        boolean bestPreferred = false;
        for (PoolTarget target : targets) {
            if (!acceptsTasks(target, now)
                    || !target.freeCapacity().covers(task.spec().need())
                    || missesDeadline(task, target, now, deadlineMargin(target))
                    || !scheduleOf(target, now).fitsNow(task.spec().need(), expectedNanos(task, target))) {
                continue;
            }
            boolean preferred = isPreferred(task, target);
            if (best == null || (preferred == bestPreferred ? isBetter(task, target, best, now) : preferred)) {
                best = target;
                bestPreferred = preferred;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the placement by which a task is expected to end first, if that is in time. */
    private Optional<Placement> findEarliestEnd(PoolTask task, List<PoolTarget> targets, long now) {
        double margin = lowestDeadlineMargin(task.job());
        Placement earliest = null;
        for (PoolTarget target : targets) {
            OptionalLong startNanos =
                    scheduleOf(target, now).earliestStartNanos(task.spec().need(), expectedNanos(task, target));
            if (startNanos.isEmpty() || missesDeadline(task, target, startNanos.getAsLong(), margin)) {
                continue;
            }
            Placement placement = new Placement(task, target, slotOf(task, target, startNanos.getAsLong()));
            if (earliest == null || isBetter(placement, earliest)) {
                earliest = placement;
            }
        }
        return Optional.ofNullable(earliest);
    }

    /** Returns whether a placement is better than another one: on a preferred target, or else with an earlier end. */
    private boolean isBetter(Placement placement, Placement other) {
        boolean preferred = isPreferred(placement.task(), placement.target());
        return preferred == isPreferred(other.task(), other.target())
                ? placement.slot().endNanos() < other.slot().endNanos()
                : preferred;
    }

    private boolean isPreferred(PoolTask task, PoolTarget target) {
        return !task.avoids(target.entry().id()) && isHealthy(target);
    }

    private double deadlineMargin(PoolTarget target) {
        return target.slowness() > SLOW_RATIO * fastestSlowness ? SLOW_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /**
     * Returns the deadline margin for a task that can't start now on a target that is expected to end it in time. It is
     * lowest for a job that is alone in the queue: a small chance of success is worth capacity that no other job needs.
     */
    private double lowestDeadlineMargin(PoolJob job) {
        if (tables.queue().size() == 1) {
            return LAST_CHANCE_DEADLINE_MARGIN;
        }
        return job.started() ? STARTED_DEADLINE_MARGIN : DEADLINE_MARGIN;
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
                            .allMatch(target -> missesDeadline(task, target, now, lowestDeadlineMargin(job)))) {
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
        return meetsConstraints(task, target, ImmutableList.of());
    }

    /** Also counts the tasks of the step that are planned on the target. */
    private static boolean meetsConstraints(PoolTask task, PoolTarget target, List<Placement> placements) {
        return hasRequiredLabel(task, target) && !isFullForStep(task, target, placements);
    }

    /** Returns whether a target would suit a task if it had fewer other tasks of the step. */
    private static boolean awaitsTasksOfItsStep(
            PoolTask task, List<PoolTarget> candidates, List<Placement> placements) {
        return candidates.stream()
                .anyMatch(target -> hasRequiredLabel(task, target) && isFullForStep(task, target, placements));
    }

    private static boolean hasRequiredLabel(PoolTask task, PoolTarget target) {
        return task.spec().requiredLabel().isEmpty()
                || target.entry().labels().contains(task.spec().requiredLabel().get());
    }

    /** Returns whether a target has as many tasks of a task's step, present or planned, as are allowed. */
    private static boolean isFullForStep(PoolTask task, PoolTarget target, List<Placement> placements) {
        if (task.spec().maxPerTarget() == Integer.MAX_VALUE) {
            return false;
        }
        long runsOfStep = target.runs().stream()
                .filter(run -> run.id().task().job().equals(task.name().job())
                        && run.id().task().step() == task.name().step())
                .count();
        long plannedOfStep = placements.stream()
                .filter(placement -> placement.target() == target
                        && placement.task().name().step() == task.name().step())
                .count();
        return runsOfStep + plannedOfStep >= task.spec().maxPerTarget();
    }
}
