package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * A job as an entry host sends it to the master of a pool.
 *
 * @param request the request that waits for the result
 * @param job the job's id, chosen by the caller
 * @param route name of the route by which the caller submitted the job, for estimates and logs
 * @param payload data passed to every task
 * @param steps steps of the job, at least one
 * @param maxAttempts number of failed runs of one task after which the job fails
 * @param objective fixed part of the latency objective, which counts from the arrival of the job
 * @param stretch variable part of the latency objective, as a multiple of the critical path
 * @param remaining time left until the caller's deadline
 * @param mayHaveStarted whether an earlier master of the pool may have started tasks of the job
 * @param mayRedirect whether the master may redirect the entry host to another pool
 * @param mustStartImmediately whether the master refuses the job unless its whole first step can start now; set for a
 *     job that another pool has refused
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
        checkArgument(!steps.isEmpty(), "steps must not be empty");
        checkArgument(maxAttempts > 0, "maxAttempts must be positive: %s", maxAttempts);
        checkNotNull(objective, "objective");
        checkNotNull(remaining, "remaining");
    }

    /** Returns the declared running time of the longest chain of steps that depend on each other. */
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

    /** Returns the declared processor time of the whole job, in thousandths of a core times nanoseconds. */
    public double workMilliCoreNanos() {
        return steps.stream()
                .mapToDouble(step -> (double) step.taskCount()
                        * step.need().cpuMillis()
                        * step.declaredRunTime().toNanos())
                .sum();
    }

    /** Returns the number of tasks in all steps. */
    public int taskCount() {
        return steps.stream().mapToInt(StepSpec::taskCount).sum();
    }

    /** Returns the largest processor need of a task, in thousandths of a core. */
    public int maxTaskCpuMillis() {
        return steps.stream().mapToInt(step -> step.need().cpuMillis()).max().orElseThrow();
    }

    /** Returns a copy with other values, without the requirement to start immediately. */
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

    /** Returns a copy that a master admits only if the whole first step can start now, and that it may not redirect. */
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
