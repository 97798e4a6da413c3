package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Plays the load patterns of heavy days on three pools and checks who waits, who is refused and where work goes.
 *
 * <p>The bounds on the mean over all kinds come from calculations, not from plays. A queueing calculation of the usual
 * mix with exact declared times gives, for one queue a domain that hands no job over, up to 0.96 of the jobs in time at the
 * usual traffic and 0.88 at 1.2 times it; pools that hand jobs over must not fall below. Beyond their room the pools must
 * do at least as well as serving every kind alike: their processors do 0.74 of the work at 1.8 times the usual traffic
 * (87 units of usual speed, 0.85 of them packed, against 99.5 offered). No target is stated for single kinds; the bounds
 * on those only keep the rules that they name from being lost.
 */
final class LoadPatternTest {
    private static final PoolSimulation.JobKind SHORT = new PoolSimulation.JobKind("short", 8, 8, 60, 14_000);
    private static final PoolSimulation.JobKind LONG = new PoolSimulation.JobKind("long", 1.45, 4, 900, 14_000);
    private static final PoolSimulation.JobKind MEDIUM = new PoolSimulation.JobKind("medium", 23.3, 2, 200, 14_000);
    private static final Duration DURATION = Duration.ofSeconds(30);

    private static PoolSimulation simulate(long seed, double factor) {
        PoolSimulation simulation = newSimulation(seed, factor);
        simulation.run(DURATION.plusSeconds(3));
        return simulation;
    }

    private static PoolSimulation newSimulation(long seed, double factor) {
        PoolSimulation simulation = new PoolSimulation(seed);
        for (String domain : List.of("east", "north", "west")) {
            PoolId pool = simulation.addPool(domain, 7, 4, 0.7, 1.7, 32_000);
            for (PoolSimulation.JobKind kind : List.of(SHORT, LONG, MEDIUM)) {
                PoolSimulation.JobKind scaled = new PoolSimulation.JobKind(
                        kind.name(),
                        kind.jobsPerSecond() * factor,
                        kind.meanTaskCount(),
                        kind.meanTaskMs(),
                        kind.meanCpuMillis());
                simulation.scheduleTraffic(pool, scaled, Duration.ofMillis(500), DURATION);
            }
        }
        return simulation;
    }

    /** Guards against overload that makes every kind late: the pools have room for 1.4 times the usual traffic. */
    @Test
    void overload_of_every_job_kind_leaves_the_kinds_with_little_work_in_time() {
        PoolSimulation simulation = simulate(7, 1.8);

        assertThat(simulation.outcomes().get("short").inTimeShare()).isAtLeast(0.7);
        assertThat(simulation.outcomes().get("long").inTimeShare()).isAtLeast(0.55);
        assertThat(simulation.meanInTimeShare()).isAtLeast(0.74);
    }

    /** Guards against pools that do worse together than domains that share nothing. */
    @Test
    void pools_that_hand_jobs_over_serve_more_than_domains_that_share_nothing() {
        assertThat(simulate(7, 1.0).meanInTimeShare()).isAtLeast(0.96);
        assertThat(simulate(7, 1.2).meanInTimeShare()).isAtLeast(0.88);
    }

    /** Guards against refusals that come after a wait: a job that can't be served is refused when it arrives. */
    @Test
    void refusals_come_when_a_job_arrives_and_not_after_a_wait() {
        PoolSimulation simulation = simulate(7, 1.8);

        int refusedLate = simulation.outcomes().values().stream()
                .mapToInt(PoolSimulation.KindOutcomes::refusedLate)
                .sum();
        int asked = simulation.outcomes().values().stream()
                .mapToInt(PoolSimulation.KindOutcomes::submitted)
                .sum();
        assertThat(refusedLate).isLessThan(asked / 100);
    }

    /** Guards against long tasks on plain targets, where they end after their deadline, while fast ones run short tasks. */
    @Test
    void long_tasks_get_the_fast_targets_at_usual_traffic() {
        PoolSimulation simulation = simulate(7, 1.0);

        assertThat(simulation.outcomes().get("long").inTimeShare()).isAtLeast(0.87);
        assertThat(simulation.outcomes().get("medium").inTimeShare()).isAtLeast(0.98);
        assertThat(simulation.outcomes().get("short").inTimeShare()).isAtLeast(0.95);
    }

    /** Guards against long tasks that start on targets where they can't be in time although fast ones are free soon. */
    @Test
    void long_tasks_wait_for_a_fast_target_rather_than_miss_their_deadline_on_a_slow_one() {
        PoolSimulation simulation = new PoolSimulation(3);
        for (String domain : List.of("east", "north", "west")) {
            PoolId pool = simulation.addPool(domain, 8, 3, 1.2, 0.55, 16_000);
            for (PoolSimulation.JobKind kind : List.of(SHORT, LONG, MEDIUM)) {
                PoolSimulation.JobKind small = new PoolSimulation.JobKind(
                        kind.name(), kind.jobsPerSecond() * 0.55, kind.meanTaskCount(), kind.meanTaskMs(), 6_800);
                simulation.scheduleTraffic(pool, small, Duration.ofMillis(500), DURATION);
            }
        }
        simulation.run(DURATION.plusSeconds(3));

        assertThat(simulation.outcomes().get("long").inTimeShare()).isAtLeast(0.85);
        assertThat(simulation.meanInTimeShare()).isAtLeast(0.93);
    }

    @Test
    void light_traffic_is_served_in_time() {
        PoolSimulation simulation = simulate(7, 0.55);

        assertThat(simulation.outcomes().get("medium").inTimeShare()).isAtLeast(0.99);
        assertThat(simulation.outcomes().get("short").inTimeShare()).isAtLeast(0.99);
    }

    /** Guards against a start beyond a target's room and against two runs of one task, under faults of targets. */
    @Test
    void faulty_targets_cause_no_second_run_and_no_start_beyond_their_capacity() {
        PoolSimulation simulation = newSimulation(11, 1.2);
        simulation.target("east-0").setHangs(true);
        simulation.target("east-8").slowDownBy(7);
        simulation.target("west-1").setFailureShare(1);
        simulation.target("north-2").setLosesAnswers(true);
        simulation.scheduleAfter(
                Duration.ofSeconds(5), () -> simulation.target("west-9").setSilent(true));
        simulation.scheduleAfter(
                Duration.ofSeconds(9), () -> simulation.target("west-9").setSilent(false));
        simulation.run(DURATION.plusSeconds(3));

        assertThat(simulation.violations()).isEmpty();
        assertThat(simulation.meanInTimeShare()).isAtLeast(0.75);
    }

    /** Guards against a target that fails all its tasks drawing in more and more of them because it is always free. */
    @Test
    void a_target_that_fails_everything_gets_few_tasks() {
        PoolSimulation simulation = newSimulation(5, 1.0);
        simulation.target("west-1").setFailureShare(1);
        simulation.run(DURATION.plusSeconds(3));

        // At most three tasks at once before each of the pauses of 0.4, 0.8 and 1.6 s, then one trial in 3.2 s.
        assertThat(simulation.target("west-1").startCount()).isLessThan(20);
    }

    /**
     * Plays rpo-herstel's day of high load: three domains of 16 targets with 16 cores, a third of them half as large again and
     * twice as fast, the sheet's kinds at 1.2 times their usual rates, a burst of all kinds, one of the long kind, and targets
     * that are cut off, hang and fail.
     */
    private static PoolSimulation simulateSmallTargets(long seed) {
        PoolSimulation simulation = new PoolSimulation(seed);
        // Requests a second and domain; of 140.65 requests 34.4 are short, 6.25 long and 100 medium.
        Map<String, Double> perSecond = ImmutableMap.of("east", 61.0, "north", 54.8, "west", 52.9);
        perSecond.forEach((domain, rate) -> {
            PoolId pool = simulation.addPool(domain, 11, 5, 0.55, 1.2, 16_000);
            for (PoolSimulation.JobKind kind : List.of(
                    new PoolSimulation.JobKind("short", rate * 34.4 / 140.65, 8, 60, 6_800),
                    new PoolSimulation.JobKind("long", rate * 6.25 / 140.65, 4, 900, 6_800),
                    new PoolSimulation.JobKind("medium", rate * 100 / 140.65, 2, 200, 6_800))) {
                simulation.scheduleTraffic(pool, kind, Duration.ofMillis(500), DURATION);
                simulation.scheduleTraffic(
                        pool, kind.scaledBy(0.3), Duration.ofMillis(7_890), Duration.ofMillis(11_890));
                if (kind.name().equals("long")) {
                    simulation.scheduleTraffic(
                            pool, kind.scaledBy(0.8), Duration.ofMillis(9_390), Duration.ofMillis(13_290));
                }
            }
            PoolSimulation.SimulatedTarget cut = simulation.target(domain + "-3");
            simulation.scheduleAfter(Duration.ofMillis(830), () -> cut.setSilent(true));
            simulation.scheduleAfter(Duration.ofMillis(3_890), () -> cut.setSilent(false));
            PoolSimulation.SimulatedTarget hanging = simulation.target(domain + "-1");
            simulation.scheduleAfter(Duration.ofMillis(13_300), () -> hanging.setHangs(true));
            simulation.scheduleAfter(Duration.ofMillis(18_100), () -> hanging.setHangs(false));
            PoolSimulation.SimulatedTarget failing = simulation.target(domain + "-2");
            simulation.scheduleAfter(Duration.ofMillis(15_400), () -> failing.setFailureShare(1));
            simulation.scheduleAfter(Duration.ofSeconds(22), () -> failing.setFailureShare(0));
        });
        simulation.run(DURATION.plusSeconds(3));
        return simulation;
    }

    /** Guards against callers that are sent away because a front or a master decides on an old load of another pool. */
    @Test
    void no_job_is_refused_while_a_pool_that_was_not_asked_could_start_it_at_once() {
        PoolSimulation simulation = simulateSmallTargets(1);

        assertThat(simulation.violations()).isEmpty();
        assertThat(simulation.refusals().stream().filter(PoolSimulation.Refusal::otherPoolHadRoom))
                .isEmpty();
    }

    /** Plays the usual mix of a domain of 51 targets that is divided into equal pools. */
    private static double largeDomainInTimeShare(int pools, double factor) {
        Duration length = Duration.ofSeconds(12);
        PoolSimulation simulation = new PoolSimulation(11);
        for (int i = 0; i < pools; i++) {
            PoolId pool = simulation.addPool("shard-" + i, 33 / pools, 18 / pools, 0.7, 1.7, 32_000);
            for (PoolSimulation.JobKind kind : List.of(SHORT, LONG, MEDIUM)) {
                // 51 targets instead of 11 get traffic in proportion.
                double perSecond = kind.jobsPerSecond() * factor * 51 / 11 / pools;
                simulation.scheduleTraffic(
                        pool,
                        new PoolSimulation.JobKind(
                                kind.name(), perSecond, kind.meanTaskCount(), kind.meanTaskMs(), kind.meanCpuMillis()),
                        Duration.ofMillis(500),
                        length);
            }
        }
        simulation.run(length.plusSeconds(3));
        assertThat(simulation.violations()).isEmpty();
        return simulation.meanInTimeShare();
    }

    /** Guards against shards that waste room: a domain in three must serve within 2% of what one queue over all serves. */
    @Test
    void a_large_domain_in_three_shards_serves_the_usual_mix_like_one_queue() {
        for (double factor : List.of(0.55, 1.0, 1.2)) {
            assertThat(largeDomainInTimeShare(3, factor)).isAtLeast(largeDomainInTimeShare(1, factor) - 0.02);
        }
    }
}
