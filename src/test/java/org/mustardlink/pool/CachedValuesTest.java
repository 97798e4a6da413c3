package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares cached values, and values computed in closed form, with their straightforward computation. */
final class CachedValuesTest {
    /** Guards against a count that differs from subtracting a task's need from the amount as long as it fits. */
    @Test
    void task_count_equals_how_often_the_need_can_be_subtracted() {
        Random random = new Random(3);
        for (int i = 0; i < 2_000; i++) {
            Capacity amount = new Capacity(random.nextInt(40), random.nextInt(40), random.nextInt(4));
            Capacity need = new Capacity(random.nextInt(5), random.nextInt(5), random.nextInt(2));
            int count = 0;
            for (Capacity left = amount; count < Capacity.MAX_TASKS && left.covers(need); left = left.minus(need)) {
                count++;
            }
            assertWithMessage("%s in %s", need, amount)
                    .that(amount.maxTasks(need))
                    .isEqualTo(count);
        }
    }

    /** Guards against a stale expected time after a change of the samples, the route or the declared time. */
    @Test
    void expected_time_does_not_depend_on_earlier_queries() {
        Random random = new Random(5);
        RunTimeEstimator cached = new RunTimeEstimator();
        RunTimeEstimator uncached = new RunTimeEstimator();
        for (int i = 0; i < 5_000; i++) {
            String queue = "queue-" + random.nextInt(3);
            if (random.nextInt(4) == 0) {
                double nanos = 1e6 * (1 + random.nextInt(900));
                cached.addSample(queue, nanos);
                uncached.addSample(queue, nanos);
            }
            Duration declared = Duration.ofMillis(random.nextInt(4) * 100L);
            assertThat(cached.expectedNanos(queue, declared))
                    .isEqualTo(uncachedExpectedNanos(uncached, queue, declared));
        }
    }

    /** Returns the expected time after a query with another declared time, which evicts the cached value. */
    private static long uncachedExpectedNanos(RunTimeEstimator times, String queue, Duration declared) {
        long _evicted = times.expectedNanos(queue, declared.plusNanos(1));
        return times.expectedNanos(queue, declared);
    }
}
