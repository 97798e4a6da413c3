package org.mustardlink.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The in-memory state of one pool: its targets, open jobs, queue and runs. */
final class PoolTables {
    private final Map<String, PoolTarget> targets = new LinkedHashMap<>();
    private final Map<String, PoolJob> jobs = new LinkedHashMap<>();
    /** Jobs with waiting tasks, ordered by the latest start that meets the objective. */
    private final TreeSet<PoolJob> queue = new TreeSet<>(
            Comparator.comparingLong(PoolJob::latestStartForObjectiveNanos).thenComparingLong(PoolJob::sequence));

    private final Map<TaskName, Set<PresentRun>> runsByTask = new HashMap<>();
    /** Tokens of removed targets whose token had been raised; they would refuse the first token of the claim. */
    private final Map<String, FencingToken> raisedTokens = new HashMap<>();

    private final KindSlowness kindSlowness = new KindSlowness();
    private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();
    private long jobSequence;
    private boolean changedSincePlacement;

    /** A run and the target on which it may be present. */
    record PresentRun(PoolTarget target, Run run) {
        // Written by hand, because each run is an element of a hash set, and the generated methods of records are
        // several times slower without the C2 compiler.
        @Override
        public boolean equals(Object object) {
            return object instanceof PresentRun other && target.equals(other.target) && run.equals(other.run);
        }

        @Override
        public int hashCode() {
            return 31 * target.hashCode() + run.hashCode();
        }
    }

    Collection<PoolTarget> targets() {
        return targets.values();
    }

    Optional<PoolTarget> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    void add(PoolTarget target) {
        targets.put(target.entry().id(), target);
    }

    /** Removes a target, but keeps its token: if it is listed again, it refuses orders with a lower one. */
    void remove(PoolTarget target) {
        targets.remove(target.entry().id());
        if (target.token().sequence() > 0) {
            raisedTokens.put(target.entry().id(), target.token());
        }
    }

    /** Returns the token for a newly listed target: the raised one that it had before, or the first of the claim. */
    FencingToken tokenFor(String targetId, FencingToken first) {
        return raisedTokens.getOrDefault(targetId, first);
    }

    Collection<PoolJob> jobs() {
        return jobs.values();
    }

    Optional<PoolJob> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Returns whether anything by which waiting tasks may start has changed since {@link #markPlaced} was called. */
    boolean changedSincePlacement() {
        return changedSincePlacement;
    }

    /** Records a change by which waiting tasks may start. Adding or removing a job or a run is one. */
    void markChanged() {
        changedSincePlacement = true;
    }

    /** Records that the start of waiting tasks has been planned. */
    void markPlaced() {
        changedSincePlacement = false;
    }

    long nextSequence() {
        return jobSequence++;
    }

    void add(PoolJob job) {
        jobs.put(job.id(), job);
        queue.add(job);
        markChanged();
    }

    void remove(PoolJob job) {
        jobs.remove(job.id());
        queue.remove(job);
        markChanged();
    }

    NavigableSet<PoolJob> queue() {
        return queue;
    }

    KindSlowness kindSlowness() {
        return kindSlowness;
    }

    RunTimeEstimator runTimeEstimator() {
        return runTimeEstimator;
    }

    /** Returns the expected running time of a task at the reference speed. */
    long expectedNanos(PoolTask task) {
        return (long) (initialExpectedNanos(task) * task.job().workFactor());
    }

    /**
     * Returns the initial estimate of a task's running time at the reference speed, before a task of its job has run.
     */
    long initialExpectedNanos(PoolTask task) {
        return runTimeEstimator.expectedNanos(
                task.job().order().route(), task.spec().declaredRunTime());
    }

    /** Returns a run of a task that may be present on a target. */
    Optional<PresentRun> presentRun(TaskName task) {
        return runsByTask.getOrDefault(task, Set.of()).stream().findFirst();
    }

    /** Returns whether a run of any task of a job may be present on a target. */
    boolean hasPresentRun(PoolJob job) {
        return job.tasks().stream().anyMatch(task -> runsByTask.containsKey(task.name()));
    }

    void add(PoolTarget target, Run run) {
        target.add(run);
        markChanged();
        runsByTask.computeIfAbsent(run.id().task(), _task -> new HashSet<>()).add(new PresentRun(target, run));
    }

    void remove(PoolTarget target, Run run) {
        target.remove(run);
        markChanged();
        Set<PresentRun> runs = runsByTask.get(run.id().task());
        if (runs != null) {
            runs.removeIf(other -> other.run() == run);
            if (runs.isEmpty()) {
                runsByTask.remove(run.id().task());
            }
        }
    }
}
