package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardlink.core.policy.StandardPolicies;

/** Tests the ejection of failing targets and the retry budget. */
class EjectionTest {
    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private final FakeTargets targets = new FakeTargets(DispatchCore.create(
                    CoreSettings.defaults("entry", 1), StandardPolicies.with(PlacementPolicy.fastestFree())))
            .declare(4, 1, 1, 1, 1, 1, 1);

    /** Guards against a target that fails, stalls or refuses starts and thereby attracts the load of the others. */
    @ParameterizedTest
    @EnumSource(
            value = FakeTargets.Mode.class,
            names = {"FAIL_FAST", "STALL", "REFUSE", "NO_CONNECTION"})
    void a_failing_target_gets_few_starts_in_the_following_minute(FakeTargets.Mode mode) {
        load(100);
        int before = targets.starts();
        int badBefore = targets.starts("t3");
        targets.setMode("t3", mode);
        load(1200);

        double share = (targets.starts("t3") - badBefore) / (double) (targets.starts() - before);
        assertThat(share).isLessThan(0.01);
    }

    /** Guards against a target that stays ejected after it has recovered. */
    @Test
    void a_target_returns_after_it_has_recovered() {
        load(100);
        targets.setMode("t3", FakeTargets.Mode.FAIL_FAST);
        load(40);
        targets.setMode("t3", FakeTargets.Mode.NORMAL);
        load(300);
        int before = targets.starts("t3");
        load(100);

        assertThat(targets.starts("t3") - before).isGreaterThan(10);
    }

    /** Guards against a repeatedly submitted job that fails at every target and thereby ejects all targets. */
    @Test
    void a_job_that_fails_everywhere_ejects_no_target() {
        load(50);
        long[] taskMs = new long[12];
        Arrays.fill(taskMs, 50);
        for (int i = 0; i < 20; i++) {
            for (int target = 0; target < 6; target++) {
                targets.setMode("t" + target, FakeTargets.Mode.FAIL_FAST);
            }
            targets.submit("clerks", "check", DEADLINE, 50, taskMs);
            targets.runFor(Duration.ofMillis(5));
            for (int target = 0; target < 6; target++) {
                targets.setMode("t" + target, FakeTargets.Mode.NORMAL);
            }
            load(1);
        }

        for (int target = 0; target < 6; target++) {
            assertThat(targets.target("t" + target).ejected()).isFalse();
        }
    }

    /** Guards against a working target that stays ejected because long tasks on all its slots look like a stall. */
    @Test
    void a_target_that_answers_late_is_used_again_at_once() {
        load(50);
        // One task more than there are slots, because stalled targets are only detected while tasks are queued.
        for (int i = 0; i < 25; i++) {
            targets.submit("clerks", "check", DEADLINE, 100, 5000);
        }
        targets.runFor(Duration.ofSeconds(4));
        assertThat(targets.target("t0").ejected()).isTrue();
        targets.runFor(Duration.ofSeconds(8));

        for (int target = 0; target < 6; target++) {
            assertThat(targets.target("t" + target).ejected()).isFalse();
            assertThat(targets.target("t" + target).probing()).isFalse();
        }
    }

    /** Guards against retries of refused starts that multiply the load on busy targets. */
    @Test
    void retries_stay_within_their_budget() {
        for (int target = 0; target < 6; target++) {
            targets.setMode("t" + target, FakeTargets.Mode.REFUSE);
        }
        load(200);

        assertThat(targets.starts()).isLessThan(200 * 8 + 200);
    }

    /** Guards against the ejection of a working target that runs one long task while other hosts fill its slots. */
    @Test
    void one_long_task_on_a_target_filled_by_other_hosts_is_not_a_stall() {
        TargetRow target = new TargetRow(new TargetSpec("t0", "yard", "balanza", "127.0.0.1:1", 8, 64, 1.0));
        target.setShare(3, 1, 21);
        target.attemptStarted(new AttemptTable.AttemptRow(
                null, 1, target, 0, Duration.ofMillis(50).toNanos()));
        target.applyLoadReport(new LoadReport(8, 8), 0);

        assertThat(target.isStalled(Duration.ofSeconds(3).toNanos())).isFalse();
    }

    /** Submits one job of 8 tasks of 50 to 126 ms every 50 ms. */
    private void load(int jobs) {
        for (int i = 0; i < jobs; i++) {
            long[] times = new long[8];
            Arrays.setAll(
                    times, index -> 50 + 10L * index + targets.submissions().size() % 7);
            targets.submit("clerks", "check", DEADLINE, 100, times);
            targets.runFor(Duration.ofMillis(50));
        }
    }
}
