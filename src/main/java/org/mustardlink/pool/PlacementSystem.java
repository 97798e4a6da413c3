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
final class PlacementSystem {
    /** A target that hasn't been heard of for this long gets no new tasks; two reports fit into it. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2L * LeaseSystem.WAIT_MS + 200);
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
    private static final double LAST_DEADLINE_MARGIN = 0.5;

    private final PoolTables tables;
    private final RunSystem runs;
    private double fastest = 1;

    PlacementSystem(PoolTables tables, RunSystem runs) {
        this.tables = tables;
        this.runs = runs;
    }

    /** Returns whether a target may get new tasks. */
    static boolean usable(PoolTarget target, long now) {
        return target.listed()
                && !target.entry().draining()
                && target.taken()
                && target.clockKnown()
                && target.misses() == 0
                && !target.paused(now)
                && !(target.onTrial() && !target.runs().isEmpty())
                && now - target.heardNanos() < FRESH_NANOS;
    }

    private boolean healthy(PoolTarget target) {
        return target.slowness() < FAULTY_SLOWNESS * tables.slowness().of(target.kind());
    }

    /** Starts what can be started. */
    void tick(long now, boolean mayResume) {
        if (tables.queue().isEmpty()) {
            return;
        }
        List<PoolTarget> usable = new ArrayList<>();
        for (PoolTarget target : tables.targets()) {
            if (usable(target, now)) {
                usable.add(target);
            }
        }
        fastest = usable.stream().mapToDouble(PoolTarget::slowness).min().orElse(1);
        Set<PoolTarget> reserved = Sets.newIdentityHashSet();
        List<PoolJob> late = new ArrayList<>();
        List<PoolJob> order = new ArrayList<>();
        for (PoolJob job : tables.queue()) {
            (job.latestStartNanos() < now ? late : order).add(job);
        }
        order.addAll(late);
        for (PoolJob job : order) {
            if (job.order().resumed() && !mayResume) {
                continue;
            }
            if (!place(job, usable, reserved, now)) {
                break;
            }
        }
        Iterator<PoolJob> queued = tables.queue().iterator();
        while (queued.hasNext()) {
            if (!queued.next().hasWaiting()) {
                queued.remove();
            }
        }
    }

    /** Places the tasks of a job; returns whether any target may have room for others. */
    private boolean place(PoolJob job, List<PoolTarget> usable, Set<PoolTarget> reserved, long now) {
        for (PoolTask task : job.tasks()) {
            if (task.state() != PoolTask.State.WAITING
                    || !job.ready(task)
                    || tables.presentRun(task.name()).isPresent()) {
                continue;
            }
            Optional<PoolTarget> best = best(task, usable, reserved, now, false);
            Optional<PoolTarget> soon = Optional.empty();
            if (best.isEmpty()) {
                soon = firstFree(task, usable, reserved, now, 1);
                best = soon.isPresent() ? best : best(task, usable, reserved, now, true);
            }
            if (best.isPresent()) {
                PoolTarget target = best.get();
                runs.start(target, task, now, expected(task, target));
                continue;
            }
            if (reserved.size() >= MAX_RESERVATIONS) {
                return false;
            }
            soon.or(() -> firstFree(task, usable, reserved, now, lastMargin(task)))
                    .ifPresent(reserved::add);
            // The other tasks of a step are alike and fit nowhere either.
            return true;
        }
        return true;
    }

    private long expected(PoolTask task, PoolTarget target) {
        return (long) (tables.expectedNanos(task) * target.slowness());
    }

    /** Returns whether a task that starts on a target now is likely to end within its job's objective. */
    private boolean inTime(PoolTask task, PoolTarget target, long now) {
        long limit = Math.min(task.job().objectiveNanos(), task.job().deadlineNanos());
        return now + (long) (OBJECTIVE_MARGIN * expected(task, target)) < limit;
    }

    /**
     * Returns for how many tasks like a given one other targets have room now that would end them before its caller's
     * deadline.
     *
     * @param present target on which the task runs
     * @param startNanos when they could start there
     * @param factor their work relative to what is expected
     */
    int roomsInTimeElsewhere(PoolTask task, PoolTarget present, long startNanos, double factor, long now) {
        int rooms = 0;
        for (PoolTarget target : tables.targets()) {
            if (target != present
                    && usable(target, now)
                    && healthy(target)
                    && !task.avoids(target.entry().id())
                    && suits(task, target)
                    && !missesDeadline(task, target, startNanos, factor)) {
                rooms += target.free().rooms(task.spec().need());
            }
        }
        return rooms;
    }

    /**
     * Returns the target with room that suits a task best.
     *
     * @param last whether no target will be free in time, so that a small chance is better than none
     */
    private Optional<PoolTarget> best(
            PoolTask task, List<PoolTarget> usable, Set<PoolTarget> reserved, long now, boolean last) {
        PoolTarget best = null;
        boolean bestSound = false;
        for (PoolTarget target : usable) {
            if (reserved.contains(target)
                    || !usable(target, now)
                    || !target.free().holds(task.spec().need())
                    || !suits(task, target)
                    || missesDeadline(task, target, now, last ? lastMargin(task) : margin(target))) {
                continue;
            }
            boolean sound = !task.avoids(target.entry().id()) && healthy(target);
            if (best == null || (sound == bestSound ? better(task, target, best, now) : sound)) {
                best = target;
                bestSound = sound;
            }
        }
        return Optional.ofNullable(best);
    }

    private double margin(PoolTarget target) {
        return target.slowness() > SLOW_RATIO * fastest ? SLOW_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /** Returns the margin where no target can be expected to end a task in time; a small chance is worth free room. */
    private double lastMargin(PoolTask task) {
        boolean alone = tables.queue().size() == 1;
        return task.job().started() || alone ? LAST_DEADLINE_MARGIN : DEADLINE_MARGIN;
    }

    /** Returns whether a task that starts on a target at a time is likely to end after its caller's deadline. */
    private boolean missesDeadline(PoolTask task, PoolTarget target, long start, double margin) {
        return start + (long) (margin * expected(task, target)) > task.job().deadlineNanos();
    }

    /** Returns whether any target that may get tasks, free or not, would end a task before its caller's deadline. */
    boolean mayEndInTime(PoolTask task, long start, double factor) {
        return tables.targets().stream()
                .anyMatch(target -> healthy(target) && !missesDeadline(task, target, start, DEADLINE_MARGIN * factor));
    }

    /** Marks started jobs that wait for a task which no target can end before its caller's deadline any more. */
    void markLost(long now) {
        for (PoolJob job : tables.queue()) {
            if (job.started() && !job.order().resumed() && waitsInVain(job, now)) {
                job.markLost("a waiting task can't end before the deadline on any target");
            }
        }
    }

    private boolean waitsInVain(PoolJob job, long now) {
        for (PoolTask task : job.tasks()) {
            if (task.state() == PoolTask.State.WAITING
                    && tables.presentRun(task.name()).isEmpty()
                    && !tables.targets().isEmpty()
                    && tables.targets().stream()
                            .allMatch(target -> missesDeadline(task, target, now, LAST_DEADLINE_MARGIN))) {
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
    private boolean better(PoolTask task, PoolTarget candidate, PoolTarget best, long now) {
        boolean alike = candidate.slowness() < SAME_SPEED_RATIO * best.slowness()
                && best.slowness() < SAME_SPEED_RATIO * candidate.slowness();
        if (alike) {
            return candidate.free().cpuMillis() < best.free().cpuMillis();
        }
        boolean candidateInTime = inTime(task, candidate, now);
        boolean bestInTime = inTime(task, best, now);
        if (candidateInTime != bestInTime) {
            return candidateInTime;
        }
        return candidateInTime == candidate.slowness() > best.slowness();
    }

    private static boolean suits(PoolTask task, PoolTarget target) {
        if (task.spec().label().isPresent()
                && !target.entry().labels().contains(task.spec().label().get())) {
            return false;
        }
        if (task.spec().perTarget() == Integer.MAX_VALUE) {
            return true;
        }
        long here = target.runs().stream()
                .filter(run -> run.id().task().job().equals(task.name().job())
                        && run.id().task().step() == task.name().step())
                .count();
        return here < task.spec().perTarget();
    }

    /** Returns the target that will have room for a task first, of those that would end it before its deadline. */
    private Optional<PoolTarget> firstFree(
            PoolTask task, List<PoolTarget> usable, Set<PoolTarget> reserved, long now, double margin) {
        PoolTarget soonest = null;
        long soonestNanos = Long.MAX_VALUE;
        for (PoolTarget target : usable) {
            if (reserved.contains(target)
                    || !target.entry().capacity().holds(task.spec().need())
                    || !suits(task, target)) {
                continue;
            }
            long free = freeAt(target, task.spec().need());
            if (free < soonestNanos && !missesDeadline(task, target, Math.max(now, free), margin)) {
                soonestNanos = free;
                soonest = target;
            }
        }
        return Optional.ofNullable(soonest);
    }

    private static long freeAt(PoolTarget target, Capacity need) {
        Capacity free = target.free();
        List<Run> byEnd = new ArrayList<>(target.runs());
        byEnd.sort((a, b) -> Long.compare(endOf(a), endOf(b)));
        for (Run run : byEnd) {
            free = free.plus(run.need());
            if (free.holds(need)) {
                return endOf(run);
            }
        }
        return Long.MAX_VALUE;
    }

    private static long endOf(Run run) {
        if (run.expectedNanos() == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return run.projectedEndNanos().orElse(run.orderedNanos() + run.expectedNanos());
    }
}
