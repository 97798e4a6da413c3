package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** State of an open job. */
final class PoolJob {
    /** Multiple of the latency objective after which a response is worthless to the caller. */
    private static final int MAX_OBJECTIVES = 3;

    /**
     * Weight of the slowest kind of target, against the mean of all kinds, in the expected time that orders the queue.
     * It moves long jobs, which only fast targets can complete in time, ahead in the queue.
     */
    private static final double SLOWEST_WEIGHT = 0.25;
    /**
     * Share of the expected time on the fastest kind of target that must remain for a job to be started; the same as for
     * the placement of its tasks, so that a job that can't be placed any more is refused.
     */
    private static final double EXPIRY_MARGIN = TaskPlacementSystem.DEADLINE_MARGIN;

    /**
     * Weight of the initial estimate of the running time, in tasks. The running times of tasks of one job deviate by
     * 0.15, the known slowness of targets by 0.13, and the initial estimate by 0.3.
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
    private final Capacity smallestNeed;
    private long lastSubmittedNanos;
    /** When the first task was ordered to start or adopted; empty before. */
    private OptionalLong startedNanos = OptionalLong.empty();

    private Optional<JobSummary.Starts> starts = Optional.empty();
    private boolean closed;
    private double logFactorSum;
    private int factorSamples;
    /** Cached, because task placement reads it once for each waiting task and target. */
    private double workFactor = 1;

    private Optional<String> unreachableDeadlineReason = Optional.empty();

    /**
     * Creates the state of a job that arrives now.
     *
     * @param criticalPathNanos expected running time of the job's critical path on a target of the reference speed
     * @param kindSlowness expected running times on the kinds of targets relative to the reference speed
     */
    PoolJob(JobOrder order, long sequence, long now, long criticalPathNanos, KindSlowness kindSlowness) {
        this.order = order;
        this.sequence = sequence;
        requests.add(order.request());
        arrivedNanos = now;
        lastSubmittedNanos = now;
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
        smallestNeed =
                order.steps().stream().map(StepSpec::need).reduce(Capacity::min).orElse(Capacity.NONE);
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

    /** Records that an earlier master, or an earlier attempt of the caller, may have started tasks of the job. */
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

    /** Records that an entry host has sent an order for the job. */
    void recordSubmission(long now) {
        lastSubmittedNanos = now;
    }

    /** Returns when an entry host last sent an order for the job, whose caller was waiting then. */
    long lastSubmittedNanos() {
        return lastSubmittedNanos;
    }

    /** Returns the time by which the job must end to meet its latency objective. */
    long objectiveNanos() {
        return objectiveNanos;
    }

    /** Returns the latest time at which the job can start and still be expected to meet its objective. */
    long latestStartForObjectiveNanos() {
        return latestStartForObjectiveNanos;
    }

    /** Returns the latest time at which the job can start and still give a useful response. */
    long latestUsefulStartNanos() {
        return latestUsefulStartNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the expected processor time at the reference speed, in thousandths of a core times nanoseconds. */
    double workMilliCoreNanos() {
        return workMilliCoreNanos;
    }

    /** Returns the smallest amount of each resource that any task of the job needs. */
    Capacity smallestNeed() {
        return smallestNeed;
    }

    /** Returns whether this master has ordered the start of a task of the job, or has adopted a run of one. */
    boolean started() {
        return startedNanos.isPresent();
    }

    /** Returns when this master first ordered the start of a task of the job, or adopted a run of one. */
    long startedNanos() {
        return startedNanos.orElseThrow();
    }

    void markStarted(long now) {
        if (startedNanos.isEmpty()) {
            startedNanos = OptionalLong.of(now);
        }
    }

    /** Records that the start of a task is being ordered on a target where it is expected to run for the given time. */
    StartTiming recordStart(long expectedNanos, long now) {
        StartTiming timing = new StartTiming(expectedNanos, deadlineNanos - now, now - arrivedNanos);
        starts = Optional.of(
                starts.map(earlier -> earlier.plus(timing)).orElseGet(() -> JobSummary.Starts.first(timing)));
        markStarted(now);
        return timing;
    }

    /** Returns what is known about the job, for the log. */
    JobSummary summary() {
        return new JobSummary(id(), order.workMilliCoreNanos(), starts);
    }

    /**
     * Records the running time of a task, to correct the estimates for the others.
     *
     * @param factor running time at the reference speed relative to the initial estimate
     */
    void recordWorkFactor(double factor) {
        logFactorSum += Math.log(factor);
        factorSamples++;
        workFactor = Math.exp(logFactorSum / (factorSamples + PRIOR_WEIGHT));
    }

    /** Returns the factor by which the initial estimate is corrected; running times of a job's tasks are similar. */
    double workFactor() {
        return workFactor;
    }

    /** Returns why the job can't end before its caller's deadline any more; empty unless that is known. */
    Optional<String> unreachableDeadlineReason() {
        return unreachableDeadlineReason;
    }

    void markDeadlineUnreachable(String reason) {
        unreachableDeadlineReason = Optional.of(reason);
    }

    /** Returns whether the job has been given its result. */
    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    /** Describes the progress of the job for the log. */
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

    /** Returns whether all tasks of the steps that a task depends on are done. */
    boolean dependenciesDone(PoolTask task) {
        return task.spec().dependsOn().isEmpty()
                || tasks.stream()
                        .filter(other ->
                                task.spec().dependsOn().contains(other.name().step()))
                        .allMatch(other -> other.state() == PoolTask.State.DONE);
    }
}
