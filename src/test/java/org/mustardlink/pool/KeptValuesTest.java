package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares values that are kept or computed in one step with the straightforward computation. */
final class KeptValuesTest {
    /** Guards against a number of rooms that differs from taking a task's need away as often as it fits. */
    @Test
    void rooms_are_as_many_as_needs_can_be_taken_away() {
        Random random = new Random(3);
        for (int i = 0; i < 2_000; i++) {
            Capacity amount = new Capacity(random.nextInt(40), random.nextInt(40), random.nextInt(4));
            Capacity need = new Capacity(random.nextInt(5), random.nextInt(5), random.nextInt(2));
            int rooms = 0;
            for (Capacity left = amount; rooms < Capacity.MAX_TASKS && left.covers(need); left = left.minus(need)) {
                rooms++;
            }
            assertWithMessage("%s in %s", need, amount)
                    .that(amount.maxTasks(need))
                    .isEqualTo(rooms);
        }
    }

    /** Guards against an expected time that is kept although a sample, the queue or the declared time has changed. */
    @Test
    void an_expected_time_doesnt_depend_on_what_was_asked_before() {
        Random random = new Random(5);
        RunTimeEstimator asked = new RunTimeEstimator();
        RunTimeEstimator silent = new RunTimeEstimator();
        for (int i = 0; i < 5_000; i++) {
            String queue = "queue-" + random.nextInt(3);
            if (random.nextInt(4) == 0) {
                double nanos = 1e6 * (1 + random.nextInt(900));
                asked.addSample(queue, nanos);
                silent.addSample(queue, nanos);
            }
            Duration declared = Duration.ofMillis(random.nextInt(4) * 100L);
            assertThat(asked.expectedNanos(queue, declared)).isEqualTo(withoutMemory(silent, queue, declared));
        }
    }

    /** Asks after a question with another declared time, so that nothing that is kept can serve. */
    private static long withoutMemory(RunTimeEstimator times, String queue, Duration declared) {
        long _other = times.expectedNanos(queue, declared.plusNanos(1));
        return times.expectedNanos(queue, declared);
    }
}
