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
 * @param resumed whether an earlier master of the pool may have started tasks of the job
 * @param mayMove whether the master may point the front to another pool
 * @param onlyNow whether the master takes the job only if it can start all of it at once, because another pool has it first
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
        boolean resumed,
        boolean mayMove,
        boolean onlyNow) {
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
    public Duration longestChain() {
        long[] chain = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < chain.length; i++) {
            long before = 0;
            for (int earlier : steps.get(i).after()) {
                before = Math.max(before, chain[earlier]);
            }
            chain[i] = before + steps.get(i).estimate().toNanos();
            longest = Math.max(longest, chain[i]);
        }
        return Duration.ofNanos(longest);
    }

    /** Returns the processor time of the whole job in thousandths of a core times nanoseconds. */
    public double work() {
        return steps.stream()
                .mapToDouble(step -> (double) step.count()
                        * step.need().cpuMillis()
                        * step.estimate().toNanos())
                .sum();
    }

    /** Returns the number of tasks of all steps. */
    public int tasks() {
        return steps.stream().mapToInt(StepSpec::count).sum();
    }

    /** Returns the processors that the widest task needs, in thousandths of a core. */
    public int widestTaskCpuMillis() {
        return steps.stream().mapToInt(step -> step.need().cpuMillis()).max().orElseThrow();
    }

    /** Returns the same order with less time, as resumed work, or bound to the pool that it is sent to. */
    public JobOrder with(Duration left, boolean isResumed, boolean canMove) {
        return new JobOrder(
                request, job, route, payload, steps, maxAttempts, objective, stretch, left, isResumed, canMove, false);
    }

    /** Returns the same order for a pool that takes the job only if it can start all of it at once. */
    public JobOrder offered() {
        return new JobOrder(
                request, job, route, payload, steps, maxAttempts, objective, stretch, remaining, resumed, false, true);
    }
}
