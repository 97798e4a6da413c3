package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Plays callers that send jobs again against faults of hosts, links and targets, and looks for forbidden starts. More seeds
 * are played with {@code -Dfailover.seeds=N}.
 */
final class FailoverTest {
    /** Seeds in CI; they take a few seconds. */
    private static final int DEFAULT_SEED_COUNT = 20;
    /** Length of a play; faults fall on all of it but the first second and the last five. */
    private static final Duration DURATION = Duration.ofSeconds(14);

    /** Seeds that failed before a mend. */
    private static final ImmutableList<Long> REGRESSION_SEEDS = ImmutableList.of(
            // A host that had just started didn't know a target on which the tasks of a resumed job ran.
            35L,
            58L,
            92L,
            // A restarted target had carried orders out before its restart was noticed.
            264L,
            292L,
            312L);

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

    /** Guards against second runs, starts beyond the room and starts of refused jobs when hosts, links and targets fail. */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_under_faults() {
        assertThat(runSeeds(seeds(), false)).isGreaterThan(0);
    }

    /** Guards against the same on targets that count the time of a lease from the arrival of a late order. */
    @Test
    void resent_jobs_run_at_most_once_at_a_time_when_late_leases_count_from_their_arrival() {
        assertThat(runSeeds(seeds(), true)).isGreaterThan(0);
    }

    /** Guards against faults that came to light in plays of these seeds. */
    @Test
    void seeds_that_once_failed_pass() {
        runSeeds(REGRESSION_SEEDS, false);
        runSeeds(REGRESSION_SEEDS, true);
    }
}
