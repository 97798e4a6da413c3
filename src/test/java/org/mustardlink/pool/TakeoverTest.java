package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates changes of masters, also together with late orders and faulty targets, and checks that no task runs twice
 * at a time and no target starts tasks beyond its capacity.
 */
final class TakeoverTest {
    private static final int SEED_COUNT = 12;
    private static final PoolSimulation.JobKind SHORT = new PoolSimulation.JobKind("short", 8, 8, 60, 14_000);
    private static final PoolSimulation.JobKind LONG = new PoolSimulation.JobKind("long", 3, 4, 900, 14_000);
    private static final Duration DURATION = Duration.ofSeconds(12);

    private static PoolSimulation simulate(long seed, boolean faults) {
        SplittableRandom random = new SplittableRandom(seed);
        PoolSimulation simulation = new PoolSimulation(seed);
        PoolId pool = simulation.addPool("east", 7, 4, 0.7, 1.7, 32_000);
        simulation.scheduleTraffic(pool, SHORT, Duration.ofMillis(300), DURATION);
        simulation.scheduleTraffic(pool, LONG, Duration.ofMillis(300), DURATION);
        int takeovers = 2 + random.nextInt(4);
        for (int i = 1; i <= takeovers; i++) {
            int round = i + 1;
            Duration delay = Duration.ofMillis(1_000 + i * 1_500L + random.nextInt(1_200));
            simulation.scheduleAfter(delay, () -> simulation.takeOver(pool, round));
        }
        if (faults) {
            simulation.setLateStartShare(0.05);
            PoolSimulation.SimulatedTarget silent = simulation.target("east-" + random.nextInt(11));
            simulation.scheduleAfter(Duration.ofMillis(2_000 + random.nextInt(3_000)), () -> silent.setSilent(true));
            simulation.scheduleAfter(Duration.ofMillis(6_000 + random.nextInt(3_000)), () -> silent.setSilent(false));
            simulation.target("east-" + random.nextInt(11)).setHangs(true);
            simulation.target("east-" + random.nextInt(11)).setLosesResponses(true);
        }
        simulation.run(DURATION.plusSeconds(14));
        return simulation;
    }

    /**
     * Guards against a second run of a task beside the first one, and a start beyond a target's capacity, when a new
     * master gets the open jobs of a pool while the earlier master continues.
     */
    @Test
    void a_change_of_masters_starts_no_task_twice_and_nothing_beyond_the_capacity() {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            assertWithMessage("seed " + seed)
                    .that(simulate(seed, false).violations())
                    .isEmpty();
        }
    }

    /**
     * Guards against the same violations when start orders are carried out late and targets are silent, hang or
     * lose answers.
     */
    @Test
    void late_orders_and_faulty_targets_start_no_task_twice_and_nothing_beyond_the_capacity() {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            assertWithMessage("seed " + seed)
                    .that(simulate(seed, true).violations())
                    .isEmpty();
        }
    }

    /** Guards against takeovers that are safe but stop or delay the open jobs of the pool. */
    @Test
    void most_jobs_are_served_in_time_although_masters_change() {
        PoolSimulation simulation = simulate(1, false);

        assertThat(simulation.outcomes().get("short").inTimeShare()).isAtLeast(0.8);
    }
}
