package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * A job as a front hands it to the master of a pool.
 *
 * @param request the request that waits for the result
 * @param job id of the job, chosen by the caller
 * @param route the caller's queue, for estimates and logs
 * @param payload what the tasks receive
 * @param steps the steps, at least one
 * @param maxAttempts runs of a task that may end as failed before the job fails
 * @param objective time from the arrival within which the answer counts in full, of the fixed part only
 * @param stretch how many times its longest chain of work a job may take beside the fixed part
 * @param remaining time from now to the caller's deadline
 * @param mayHaveStarted whether an earlier master of the pool may have started tasks of the job
 * @param mayRedirect whether the master may point the front to another pool
 * @param mustStartImmediately whether the master takes the job only if it can start all of it at once, because another pool has it first
 */
public record JobOrder(
        RequestId request,
        String job,
        String route,
        String payload,
        ImmutableList<StepSpec> steps,
        int maxAttempts,
        Duration objective,
        double stretch,
        Duration remaining,
        boolean mayHaveStarted,
        boolean mayRedirect,
        boolean mustStartImmediately) {
    public JobOrder {
        checkNotNull(request, "request");
        checkNotNull(job, "job");
        checkNotNull(route, "route");
        checkNotNull(payload, "payload");
        checkArgument(!steps.isEmpty(), "a job has at least one step");
        checkArgument(maxAttempts > 0, "maxAttempts must be positive: %s", maxAttempts);
        checkNotNull(objective, "objective");
        checkNotNull(remaining, "remaining");
    }

    /** Returns the longest chain of declared running times. */
    public Duration criticalPath() {
        long[] pathNanos = new long[steps.size()];
        long longestNanos = 0;
        for (int i = 0; i < pathNanos.length; i++) {
            long dependencyNanos = 0;
            for (int dependency : steps.get(i).dependsOn()) {
                dependencyNanos = Math.max(dependencyNanos, pathNanos[dependency]);
            }
            pathNanos[i] = dependencyNanos + steps.get(i).declaredRunTime().toNanos();
            longestNanos = Math.max(longestNanos, pathNanos[i]);
        }
        return Duration.ofNanos(longestNanos);
    }

    /** Returns the processor time of the whole job in thousandths of a core times nanoseconds. */
    public double workMilliCoreNanos() {
        return steps.stream()
                .mapToDouble(step -> (double) step.taskCount()
                        * step.need().cpuMillis()
                        * step.declaredRunTime().toNanos())
                .sum();
    }

    /** Returns the number of tasks of all steps. */
    public int taskCount() {
        return steps.stream().mapToInt(StepSpec::taskCount).sum();
    }

    /** Returns the processors that the widest task needs, in thousandths of a core. */
    public int maxTaskCpuMillis() {
        return steps.stream().mapToInt(step -> step.need().cpuMillis()).max().orElseThrow();
    }

    /** Returns the same order with less time, as resumed work, or bound to the pool that it is sent to. */
    public JobOrder copyWith(Duration newRemaining, boolean newMayHaveStarted, boolean newMayRedirect) {
        return new JobOrder(
                request,
                job,
                route,
                payload,
                steps,
                maxAttempts,
                objective,
                stretch,
                newRemaining,
                newMayHaveStarted,
                newMayRedirect,
                false);
    }

    /** Returns the same order for a pool that takes the job only if it can start all of it at once. */
    public JobOrder requiringImmediateStart() {
        return new JobOrder(
                request,
                job,
                route,
                payload,
                steps,
                maxAttempts,
                objective,
                stretch,
                remaining,
                mayHaveStarted,
                false,
                true);
    }
}
