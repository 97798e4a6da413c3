package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.mustardlink.core.policy.ExpectedFinishPlacement;
import org.mustardlink.core.policy.StandardPolicies;

/** Properties of the core with random jobs, targets and faults. {@link FakeTargets} checks every command. */
class CorePropertyTest {
    private static final long SECOND = 1_000_000_000;

    /**
     * Guards against exceeded slots, repeated starts, starts after the verdict, false verdicts and lost jobs under
     * arbitrary behavior of the targets.
     */
    @Property(tries = 60, seed = "11")
    void every_job_gets_one_true_verdict_by_its_deadline(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int targetCount) {
        Random random = new Random(seed);
        FakeTargets targets = targets(random, targetCount);
        for (int i = 0; i < 120; i++) {
            submit(targets, random);
            changeMode(targets, random, targetCount);
            targets.runFor(Duration.ofMillis(random.nextInt(60)));
        }
        targets.runFor(Duration.ofSeconds(4));

        assertThat(targets.core().openJobs()).isEqualTo(0);
        targets.submissions().forEach(id -> {
            assertThat(targets.verdict(id).isPresent()).isTrue();
            assertThat(targets.responseNanos(id)).isAtMost(3 * SECOND + 50_000_000);
        });
    }

    private static FakeTargets targets(Random random, int count) {
        double[] speeds = random.doubles(count, 0.5, 2.5).toArray();
        return new FakeTargets(DispatchCore.create(
                        CoreSettings.defaults("entry", 1), StandardPolicies.with(ExpectedFinishPlacement.create())))
                .declare(1 + random.nextInt(4), speeds);
    }

    private static void submit(FakeTargets targets, Random random) {
        long[] times = random.longs(1 + random.nextInt(12), 1, 400).toArray();
        Duration deadline = Duration.ofMillis(200 + random.nextInt(2800));
        SubmissionId id = targets.submit(
                "team" + random.nextInt(3), "class" + random.nextInt(2), deadline, 50 + random.nextInt(400), times);
        if (random.nextInt(8) == 0) {
            targets.schedule(targets.now() + random.nextInt(300) * 1_000_000L, new Event.JobCancelled(2, id));
        }
    }

    private static void changeMode(FakeTargets targets, Random random, int count) {
        if (random.nextInt(6) == 0) {
            FakeTargets.Mode[] modes = FakeTargets.Mode.values();
            targets.setMode("t" + random.nextInt(count), modes[random.nextInt(modes.length)]);
        }
    }
}
