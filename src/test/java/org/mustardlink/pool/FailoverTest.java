package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Simulates callers that resend jobs while hosts, links and targets fail. Checks that no task runs twice at a time,
 * that no target starts tasks beyond its capacity, and that no job runs whose requests were all refused.
 * {@code -Dfailover.seeds=N} runs the seeds 1 to N.
 */
final class FailoverTest {
    /** Number of seeds in CI; they take a few seconds. */
    private static final int DEFAULT_SEED_COUNT = 20;
    /** Simulated time; faults are injected in all of it except the first second and the last five. */
    private static final Duration DURATION = Duration.ofSeconds(14);

    /** Seeds that once found a fault, which has been fixed. */
    private static final ImmutableList<Long> REGRESSION_SEEDS = ImmutableList.of(
            // A recently started host didn't list a target on which tasks of a resumed job were running.
            35L,
            58L,
            92L,
            // A restarted target carried out orders before the master noticed the restart.
            264L,
            292L,
            312L,
            // A start without a response was carried out after another host had taken the pool over.
            784L,
            788L,
            1_821L,
            // The master of such a start ended 0.2 s after its timeout.
            2_807L,
            // A target refused a start without a response, crashed, and its next process carried the start out.
            490L,
            1_627L,
            2_638L);

    /** Seeds with resets of links that fail without one of the checks of late results and orders. */
    private static final ImmutableList<Long> LINK_RESET_SEEDS = ImmutableList.of(
            // An order is repeated after its job was redirected.
            35L,
            40L,
            // A replaced master redirects a job that was sent to the next one.
            772L);

    private static int runSeeds(List<Long> seeds, boolean lateLeasesCountFromArrival) {
        int resentCount = 0;
        for (long seed : seeds) {
            FailoverSimulation simulation = new FailoverSimulation(seed, lateLeasesCountFromArrival, DURATION);
            simulation.run();
            assertWithMessage("seed " + seed).that(simulation.violations()).isEmpty();
            resentCount += simulation.resentCount();
        }
        return resentCount;
    }

    private static List<Long> seeds() {
        long[] seeds = new long[Integer.getInteger("failover.seeds", DEFAULT_SEED_COUNT)];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = i + 1L;
        }
        return Longs.asList(seeds);
    }

    /**
     * Guards against a second run of a task beside the first one, a start beyond the capacity of a target and a start
     * of a refused job, when a caller resends its job after a host, link or target has failed.
     */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_under_faults() {
        assertThat(runSeeds(seeds(), false)).isGreaterThan(0);
    }

    /** Guards against the same violations on targets that count the lease of a late order from its arrival. */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_when_late_leases_count_from_their_arrival() {
        assertThat(runSeeds(seeds(), true)).isGreaterThan(0);
    }

    /**
     * Guards against the same violations when links between hosts are reset, so that results and withdrawals are lost,
     * and orders are repeated after the result of the first one.
     */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_when_links_are_reset() {
        int resetCount = 0;
        for (long seed : Iterables.concat(LINK_RESET_SEEDS, seeds())) {
            FailoverSimulation simulation = new FailoverSimulation(seed, false, DURATION).enableLinkResets();
            simulation.run();
            assertWithMessage("seed " + seed).that(simulation.violations()).isEmpty();
            resetCount += simulation.linkResetCount();
        }
        assertThat(resetCount).isGreaterThan(0);
    }

    /**
     * Guards against the same violations when heartbeats and orders of an ended host arrive after its end was noticed,
     * because their connection had stalled.
     */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_when_messages_of_an_ended_host_arrive_late() {
        int lateOrderCount = 0;
        for (long seed : seeds()) {
            FailoverSimulation simulation = new FailoverSimulation(seed, false, DURATION).enableLateMessages();
            simulation.run();
            assertWithMessage("seed " + seed).that(simulation.violations()).isEmpty();
            lateOrderCount += simulation.lateOrderCount();
        }
        assertThat(lateOrderCount).isGreaterThan(0);
    }

    /** Guards against a return of the faults that {@link #REGRESSION_SEEDS} lists. */
    @Test
    void seeds_that_once_failed_pass() {
        runSeeds(REGRESSION_SEEDS, false);
        runSeeds(REGRESSION_SEEDS, true);
    }
}
