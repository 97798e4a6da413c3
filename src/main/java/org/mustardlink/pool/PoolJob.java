package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Row of an open job. */
final class PoolJob {
    /** An answer later than this many objectives is worth nothing to the caller. */
    private static final int MAX_OBJECTIVES = 3;

    /**
     * Weight of the slowest kind of target against the usual one in the expected time that orders the queue; long jobs
     * that only fast targets can do in time come forward by it.
     */
    private static final double SLOWEST_WEIGHT = 0.25;
    /**
     * Share of the expected time on the fastest kind of target that a job may still need when it is given up: declared
     * times are off by half.
     */
    private static final double EXPIRY_MARGIN = 0.5;

    /**
     * Weight of the running time that was expected before a task has run, in tasks: tasks of a job differ by 0.15 and
     * targets are known to 0.13, the expected time to 0.3.
     */
    private static final double PRIOR_WEIGHT = 0.5;

    private JobOrder order;
    private final long sequence;
    private final List<RequestId> requests = new ArrayList<>();
    private final ImmutableList<PoolTask> tasks;
    private final long arrivedNanos;
    private final long objectiveNanos;
    private final long latestStartForObjectiveNanos;
    private final long latestUsefulStartNanos;
    private final long deadlineNanos;
    private final double workMilliCoreNanos;
    private boolean started;
    private boolean closed;
    private double logFactorSum;
    private int factorSamples;
    /** Kept, because placement asks for it once for each waiting task and target. */
    private double workFactor = 1;

    private Optional<String> unreachableDeadlineReason = Optional.empty();

    /**
     * Creates a row.
     *
     * @param criticalPathNanos expected running time of its longest chain of tasks on a target of usual speed
     * @param kindSlowness expected running times on the kinds of targets relative to that
     */
    PoolJob(JobOrder order, long sequence, long now, long criticalPathNanos, KindSlowness kindSlowness) {
        this.order = order;
        this.sequence = sequence;
        requests.add(order.request());
        arrivedNanos = now;
        deadlineNanos = now + order.remaining().toNanos();
        long declaredPathNanos = order.criticalPath().toNanos();
        long objectiveDurationNanos =
                (long) (order.stretch() * declaredPathNanos) + order.objective().toNanos();
        objectiveNanos = now + objectiveDurationNanos;
        long fastestExpectedNanos = (long) (criticalPathNanos * kindSlowness.fastest());
        long limitNanos = Math.min(objectiveNanos, deadlineNanos);
        latestStartForObjectiveNanos = limitNanos
                - (long) (criticalPathNanos
                        * (SLOWEST_WEIGHT * kindSlowness.slowest() + (1 - SLOWEST_WEIGHT) * kindSlowness.mean()));
        latestUsefulStartNanos = Math.min(now + MAX_OBJECTIVES * objectiveDurationNanos, deadlineNanos)
                - (long) (EXPIRY_MARGIN * fastestExpectedNanos);
        workMilliCoreNanos = order.workMilliCoreNanos() * criticalPathNanos / Math.max(1, declaredPathNanos);
        ImmutableList.Builder<PoolTask> builder = ImmutableList.builder();
        for (int step = 0; step < order.steps().size(); step++) {
            for (int index = 0; index < order.steps().get(step).taskCount(); index++) {
                TaskName name = new TaskName(order.job(), 0, step, index);
                builder.add(new PoolTask(this, name, order.steps().get(step)));
            }
        }
        tasks = builder.build();
    }

    JobOrder order() {
        return order;
    }

    /** Makes the job count as one of which an earlier master, or an earlier try, may have started tasks. */
    void markMayHaveStarted() {
        order = order.copyWith(order.remaining(), true, false);
    }

    String id() {
        return order.job();
    }

    long sequence() {
        return sequence;
    }

    List<RequestId> requests() {
        return requests;
    }

    ImmutableList<PoolTask> tasks() {
        return tasks;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns when the answer stops to count in full. */
    long objectiveNanos() {
        return objectiveNanos;
    }

    /** Returns when its tasks must start for the answer to count in full. */
    long latestStartForObjectiveNanos() {
        return latestStartForObjectiveNanos;
    }

    /** Returns when its tasks must start for the answer to be of any use. */
    long latestUsefulStartNanos() {
        return latestUsefulStartNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the expected processor time on targets of usual speed in thousandths of a core times nanoseconds. */
    double workMilliCoreNanos() {
        return workMilliCoreNanos;
    }

    /** Returns whether a start of any of its tasks was ordered. */
    boolean started() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    /**
     * Takes the running time of one of the tasks.
     *
     * @param factor running time on a target of usual speed relative to the one that was expected at first
     */
    void recordWorkFactor(double factor) {
        logFactorSum += Math.log(factor);
        factorSamples++;
        workFactor = Math.exp(logFactorSum / (factorSamples + PRIOR_WEIGHT));
    }

    /** Returns the work of its tasks relative to what was expected at first; tasks of a job are much alike. */
    double workFactor() {
        return workFactor;
    }

    /** Returns why the job can't end before its caller's deadline any more, if that is known. */
    Optional<String> unreachableDeadlineReason() {
        return unreachableDeadlineReason;
    }

    void markDeadlineUnreachable(String reason) {
        unreachableDeadlineReason = Optional.of(reason);
    }

    /** Returns whether the job has its result. */
    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    /** Returns how far the job is, for the log. */
    String describeProgress() {
        long done = tasks.stream()
                .filter(task -> task.state() == PoolTask.State.DONE)
                .count();
        long active = tasks.stream()
                .filter(task -> task.state() == PoolTask.State.ACTIVE)
                .count();
        return "%d of %d tasks done, %d running, %d waiting"
                .formatted(done, tasks.size(), active, tasks.size() - done - active);
    }

    boolean allTasksDone() {
        return tasks.stream().allMatch(task -> task.state() == PoolTask.State.DONE);
    }

    boolean hasWaitingTask() {
        return tasks.stream().anyMatch(task -> task.state() == PoolTask.State.WAITING);
    }

    /** Returns whether all earlier steps that a task depends on are done. */
    boolean dependenciesDone(PoolTask task) {
        return task.spec().dependsOn().isEmpty()
                || tasks.stream()
                        .filter(other ->
                                task.spec().dependsOn().contains(other.name().step()))
                        .allMatch(other -> other.state() == PoolTask.State.DONE);
    }
}
