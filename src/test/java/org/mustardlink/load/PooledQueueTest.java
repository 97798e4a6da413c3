package org.mustardlink.load;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class PooledQueueTest {
    private static final DomainCapacity CAPACITY = new DomainCapacity(ImmutableList.of(1.0, 2.0), 1);
    private static final LoadSettings SETTINGS = new LoadSettings(
            1,
            0.5,
            ArrivalPattern.STEADY,
            JobSizeMix.MIX,
            1,
            0,
            Duration.ofSeconds(1),
            1,
            1,
            CAPACITY,
            true,
            6,
            0,
            ImmutableList.of(),
            ImmutableList.of());

    private static JobPlan job(int number, long arrivalMs, long... runMs) {
        ImmutableList<JobPlan.TaskPlan> tasks = Arrays.stream(runMs)
                .mapToObj(ms -> new JobPlan.TaskPlan(ms, ms))
                .collect(ImmutableList.toImmutableList());
        return new JobPlan(number, arrivalMs * 1_000_000, JobClass.SINGLE, "team", 0, 0, tasks, OptionalLong.empty());
    }

    /** Guards against an ideal response time that ignores either the longest task or the total work. */
    @Test
    void ideal_response_is_the_larger_of_longest_task_and_divided_work() {
        assertThat(CAPACITY.idealMs(job(0, 0, 600), 6)).isEqualTo(306.0);
        assertThat(CAPACITY.idealMs(job(0, 0, 300, 300, 300), 6)).isEqualTo(306.0);
    }

    /** Guards against a reference calculation that starts tasks on occupied slots. */
    @Test
    void a_task_waits_for_the_slot_that_finishes_it_first() {
        ImmutableList<JobPlan> jobs = ImmutableList.of(job(0, 0, 400), job(1, 100, 400), job(2, 100, 100));

        // The second job ends earliest by waiting 100 ms for the fast slot, and the third by taking the free slow slot.
        assertThat(PooledQueue.responsesMs(SETTINGS, jobs)).isEqualTo(new double[] {206, 306, 106});
    }
}
