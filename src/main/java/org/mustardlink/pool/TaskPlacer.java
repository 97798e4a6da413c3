package org.mustardlink.pool;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Starts waiting tasks on targets with room.
 *
 * <p>Jobs that can still be answered within their objective come first, the one whose latest useful start is nearest
 * before the others; late ones take what is left. A task that fits nowhere reserves the target that will have room for it
 * first, so that smaller tasks don't keep it out for ever.
 */
final class TaskPlacer {
    /** A target that hasn't been heard of for this long gets no new tasks; two reports fit into it. */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2L * LeaseManager.REPORT_WAIT_MS + 200);
    /** Running time relative to that of the target's kind from which a target is taken for faulty. */
    private static final double FAULTY_SLOWNESS = 2.2;
    /** Reservations a tick; more would idle a pool whose large tasks are many. */
    private static final int MAX_RESERVATIONS = 3;
    /** Factor on the expected running time of a task when it is compared with the time left to its objective. */
    private static final double OBJECTIVE_MARGIN = 1.6;
    /** The same where a task is given up on a target: below 1, because declared times are often too long. */
    private static final double DEADLINE_MARGIN = 0.85;
    /** Expected running times this much alike count as equal, so that the tighter fit decides. */
    private static final double SAME_SPEED_RATIO = 1.1;
    /** Running time relative to the fastest target from which a target counts as slow. */
    private static final double SLOW_RATIO = 1.3;
    /**
     * {@link #DEADLINE_MARGIN} on a slow target while a fast one may become free; half of the tasks take longer than
     * expected.
     */
    private static final double SLOW_DEADLINE_MARGIN = 1.2;

    /**
     * The same for a started job, whose work is lost if this task doesn't start, and for a task that waits alone, whose room
     * nobody else wants: one task in twenty takes less than half of what is expected.
     */
    private static final double LAST_CHANCE_DEADLINE_MARGIN = 0.5;

    private final PoolTables tables;
    private final RunTracker runs;
    private double fastestSlowness = 1;

    TaskPlacer(PoolTables tables, RunTracker runs) {
        this.tables = tables;
        this.runs = runs;
    }

    /** Returns whether a target may get new tasks. */
    static boolean acceptsTasks(PoolTarget target, long now) {
        return target.listed()
                && !target.entry().draining()
                && target.tokenConfirmed()
                && target.clockKnown()
                && target.consecutiveMisses() == 0
                && !target.paused(now)
                && !(target.onTrial() && !target.runs().isEmpty())
                && now - target.lastResponseNanos() < MAX_SILENCE_NANOS;
    }

    private boolean isHealthy(PoolTarget target) {
        return target.slowness() < FAULTY_SLOWNESS * tables.kindSlowness().of(target.kind());
    }

    /** Starts what can be started. */
    void tick(long now, boolean earlierRunsKnown) {
        if (tables.queue().isEmpty()) {
            return;
        }
        List<PoolTarget> candidates = new ArrayList<>();
        for (PoolTarget target : tables.targets()) {
            if (acceptsTasks(target, now)) {
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
            if (job.order().mayHaveStarted() && !earlierRunsKnown) {
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

    /** Places the tasks of a job; returns whether any target may have room for others. */
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
            // The other tasks of a step are alike and fit nowhere either.
            return true;
        }
        return true;
    }

    private long expectedNanos(PoolTask task, PoolTarget target) {
        return (long) (tables.expectedNanos(task) * target.slowness());
    }

    /** Returns whether a task that starts on a target now is likely to end within its job's objective. */
    private boolean meetsObjective(PoolTask task, PoolTarget target, long now) {
        long limitNanos = Math.min(task.job().objectiveNanos(), task.job().deadlineNanos());
        return now + (long) (OBJECTIVE_MARGIN * expectedNanos(task, target)) < limitNanos;
    }

    /**
     * Returns for how many tasks like a given one other targets have room now that would end them before its caller's
     * deadline.
     *
     * @param currentTarget target on which the task runs
     * @param startNanos when they could start there
     * @param workFactor their work relative to what is expected
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
     * Returns the target with room that suits a task best.
     *
     * @param lastChance whether no target will be free in time, so that a small chance is better than none
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

    /** Returns the margin where no target can be expected to end a task in time; a small chance is worth free room. */
    private double lastChanceMargin(PoolTask task) {
        boolean alone = tables.queue().size() == 1;
        return task.job().started() || alone ? LAST_CHANCE_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /** Returns whether a task that starts on a target at a time is likely to end after its caller's deadline. */
    private boolean missesDeadline(PoolTask task, PoolTarget target, long startNanos, double margin) {
        return startNanos + (long) (margin * expectedNanos(task, target))
                > task.job().deadlineNanos();
    }

    /** Returns whether any target that may get tasks, free or not, would end a task before its caller's deadline. */
    boolean anyTargetMeetsDeadline(PoolTask task, long startNanos, double workFactor) {
        return tables.targets().stream()
                .anyMatch(target ->
                        isHealthy(target) && !missesDeadline(task, target, startNanos, DEADLINE_MARGIN * workFactor));
    }

    /** Marks started jobs that wait for a task which no target can end before its caller's deadline any more. */
    void markUnreachableDeadlines(long now) {
        for (PoolJob job : tables.queue()) {
            if (job.started() && !job.order().mayHaveStarted() && hasHopelessTask(job, now)) {
                job.markDeadlineUnreachable("a waiting task can't end before the deadline on any target");
            }
        }
    }

    private boolean hasHopelessTask(PoolJob job, long now) {
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

    /** Returns whether work that starts now is likely to end after a deadline. */
    static boolean missesDeadline(long expectedNanos, long deadlineNanos, long now) {
        return now + (long) (DEADLINE_MARGIN * expectedNanos) > deadlineNanos;
    }

    /**
     * Returns whether a target suits a task better than another one. Among targets that are fast enough the slower one
     * does, which keeps the fast ones for tasks that need them; otherwise the faster one does.
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

    /** Returns the target that will have room for a task first, of those that would end it before its deadline. */
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
