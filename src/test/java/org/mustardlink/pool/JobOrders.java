package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Creates job orders for tests: one step, three attempts, an objective of 60 ms and a caller that waits 1.5 s. */
public final class JobOrders {
    private JobOrders() {}

    /**
     * Creates an order.
     *
     * @param number number of the request
     * @param job id of the job
     * @param step the only step of the job
     * @param mayRedirect whether the master may redirect the job to another pool
     */
    public static JobOrder of(long number, String job, StepSpec step, boolean mayRedirect) {
        return of(number, job, ImmutableList.of(step), mayRedirect);
    }

    /** Returns an order for a job of several steps that is otherwise the same. */
    public static JobOrder of(long number, String job, ImmutableList<StepSpec> steps, boolean mayRedirect) {
        return new JobOrder(
                new RequestId("east-1", 1, number),
                job,
                "queue",
                "",
                steps,
                3,
                Duration.ofMillis(60),
                1.6,
                Duration.ofMillis(1_500),
                false,
                mayRedirect,
                false);
    }
}
