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
    private static final double EXPECTED_WEIGHT = 0.5;

    private JobOrder order;
    private final long sequence;
    private final List<RequestId> requests = new ArrayList<>();
    private final ImmutableList<PoolTask> tasks;
    private final long arrivedNanos;
    private final long objectiveNanos;
    private final long latestStartNanos;
    private final long lastStartNanos;
    private final long deadlineNanos;
    private final double work;
    private boolean started;
    private boolean closed;
    private double observedLog;
    private int observed;
    /** Kept, because placement asks for it once for each waiting task and target. */
    private double workFactor = 1;

    private Optional<String> lost = Optional.empty();

    /**
     * Creates a row.
     *
     * @param chainNanos expected running time of its longest chain of tasks on a target of usual speed
     * @param slowness expected running times on the kinds of targets relative to that
     */
    PoolJob(JobOrder order, long sequence, long now, long chainNanos, Slowness slowness) {
        this.order = order;
        this.sequence = sequence;
        requests.add(order.request());
        arrivedNanos = now;
        deadlineNanos = now + order.remaining().toNanos();
        long chain = order.longestChain().toNanos();
        long objective = (long) (order.stretch() * chain) + order.objective().toNanos();
        objectiveNanos = now + objective;
        long expected = (long) (chainNanos * slowness.fastest());
        long limit = Math.min(objectiveNanos, deadlineNanos);
        latestStartNanos = limit
                - (long) (chainNanos * (SLOWEST_WEIGHT * slowness.slowest() + (1 - SLOWEST_WEIGHT) * slowness.mean()));
        lastStartNanos = Math.min(now + MAX_OBJECTIVES * objective, deadlineNanos) - (long) (EXPIRY_MARGIN * expected);
        work = order.work() * chainNanos / Math.max(1, chain);
        ImmutableList.Builder<PoolTask> builder = ImmutableList.builder();
        for (int step = 0; step < order.steps().size(); step++) {
            for (int index = 0; index < order.steps().get(step).count(); index++) {
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
    void resume() {
        order = order.with(order.remaining(), true, false);
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
    long latestStartNanos() {
        return latestStartNanos;
    }

    /** Returns when its tasks must start for the answer to be of any use. */
    long lastStartNanos() {
        return lastStartNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the expected processor time on targets of usual speed in thousandths of a core times nanoseconds. */
    double work() {
        return work;
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
    void observe(double factor) {
        observedLog += Math.log(factor);
        observed++;
        workFactor = Math.exp(observedLog / (observed + EXPECTED_WEIGHT));
    }

    /** Returns the work of its tasks relative to what was expected at first; tasks of a job are much alike. */
    double workFactor() {
        return workFactor;
    }

    /** Returns why the job can't end before its caller's deadline any more, if that is known. */
    Optional<String> lost() {
        return lost;
    }

    void markLost(String why) {
        lost = Optional.of(why);
    }

    /** Returns whether the job has its result. */
    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    /** Returns how far the job is, for the log. */
    String progress() {
        long done = tasks.stream()
                .filter(task -> task.state() == PoolTask.State.DONE)
                .count();
        long active = tasks.stream()
                .filter(task -> task.state() == PoolTask.State.ACTIVE)
                .count();
        return "%d of %d tasks done, %d running, %d waiting"
                .formatted(done, tasks.size(), active, tasks.size() - done - active);
    }

    boolean allDone() {
        return tasks.stream().allMatch(task -> task.state() == PoolTask.State.DONE);
    }

    boolean hasWaiting() {
        return tasks.stream().anyMatch(task -> task.state() == PoolTask.State.WAITING);
    }

    /** Returns whether all earlier steps that a task depends on are done. */
    boolean ready(PoolTask task) {
        return task.spec().after().isEmpty()
                || tasks.stream()
                        .filter(other ->
                                task.spec().after().contains(other.name().step()))
                        .allMatch(other -> other.state() == PoolTask.State.DONE);
    }
}
