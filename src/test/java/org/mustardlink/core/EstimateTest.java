package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.mustardlink.core.policy.ExpectedFinishPlacement;

/** Tests the learned speeds and run times. */
class EstimateTest {
    /** Guards against speeds that stay at the declared value, or that run times declared wrong by 4x distort. */
    @Test
    void speeds_are_learned_although_declared_run_times_are_wrong() {
        Random random = new Random(5);
        FakeTargets targets = new FakeTargets(
                        DispatchCore.create(CoreSettings.defaults("entry", 1), PlacementPolicy.fastestFree()))
                .declare(4, 1, 5);
        for (int i = 0; i < 400; i++) {
            long[] times = random.longs(6, 50, 500).toArray();
            targets.submit("clerks", "check", Duration.ofMinutes(1), 50 + random.nextInt(1000), times);
            targets.runFor(Duration.ofMillis(200));
        }

        double ratio = targets.target("t1").speed() / targets.target("t0").speed();
        assertThat(ratio).isWithin(1.5).of(5);
    }

    /** Guards against starting a short task on a slow target while a fast slot is expected to become free soon. */
    @Test
    void a_task_waits_for_a_fast_slot_that_is_about_to_be_free() {
        FakeTargets targets = new FakeTargets(
                        DispatchCore.create(CoreSettings.defaults("entry", 1), ExpectedFinishPlacement.create()))
                .declare(1, 1, 5);
        for (int i = 0; i < 60; i++) {
            targets.submit("clerks", "check", Duration.ofMinutes(1), 100, 100, 100);
            targets.runFor(Duration.ofSeconds(1));
        }
        int slowStarts = targets.starts("t0");
        targets.submit("clerks", "check", Duration.ofMinutes(1), 100, 100);
        targets.runFor(Duration.ofMillis(18));
        SubmissionId waiting = targets.submit("clerks", "check", Duration.ofMinutes(1), 100, 100);
        targets.runFor(Duration.ofSeconds(1));

        assertThat(targets.starts("t0")).isEqualTo(slowStarts);
        assertThat(targets.responseNanos(waiting)).isLessThan(40_000_000);
    }
}
