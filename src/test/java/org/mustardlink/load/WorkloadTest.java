package org.mustardlink.load;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class WorkloadTest {
    private static LoadSettings settings(ArrivalPattern arrivals, ImmutableList<Fault> faults) {
        return new LoadSettings(
                7,
                0.7,
                arrivals,
                JobSizeMix.MIX,
                100,
                20,
                Duration.ofSeconds(30),
                3,
                3,
                DomainCapacity.evenlySpaced(10, 8, 5),
                true,
                0,
                100,
                faults,
                ImmutableList.of());
    }

    private static double offeredShare(ImmutableList<JobPlan> jobs, double fromSecond, double toSecond) {
        long workMs = jobs.stream()
                .filter(job -> job.arrivalNanos() >= fromSecond * 1e9 && job.arrivalNanos() < toSecond * 1e9)
                .mapToLong(JobPlan::workMs)
                .sum();
        return workMs / 1000.0 / (toSecond - fromSecond) / (3 * 8 * 30);
    }

    /** Guards against comparisons of policies with different arrivals. */
    @Test
    void the_same_seed_gives_the_same_jobs() {
        LoadSettings settings = settings(ArrivalPattern.BURSTS, ImmutableList.of());

        assertThat(Workload.generate(settings)).isEqualTo(Workload.generate(settings));
    }

    /** Guards against an offered load that differs from the share of the capacity in the report. */
    @Test
    void the_offered_work_is_the_stated_share_of_the_capacity() {
        for (ArrivalPattern arrivals : ImmutableList.of(ArrivalPattern.STEADY, ArrivalPattern.BURSTS)) {
            ImmutableList<JobPlan> jobs = Workload.generate(settings(arrivals, ImmutableList.of()));

            assertThat(offeredShare(jobs, 0, 120)).isWithin(0.05).of(0.7);
        }
    }

    /** Guards against an overload fault that changes the load outside its period, or does not change it within. */
    @Test
    void an_overload_multiplies_the_load_only_during_its_period() {
        ImmutableList<JobPlan> jobs =
                Workload.generate(settings(ArrivalPattern.STEADY, ImmutableList.of(Fault.parse("overload:20:60:2"))));

        assertThat(offeredShare(jobs, 40, 80)).isWithin(0.15).of(1.4);
        assertThat(offeredShare(jobs, 80, 120)).isWithin(0.1).of(0.7);
    }

    /**
     * Guards against a flood that changes the arrivals of other teams, so that runs with and without it are
     * incomparable.
     */
    @Test
    void a_flood_does_not_change_the_jobs_of_other_teams() {
        ImmutableList<Long> alone = Workload.generate(settings(ArrivalPattern.STEADY, ImmutableList.of())).stream()
                .map(JobPlan::arrivalNanos)
                .collect(ImmutableList.toImmutableList());
        ImmutableList<Long> flooded = Workload.generate(settings(ArrivalPattern.FLOOD, ImmutableList.of())).stream()
                .filter(job -> !job.team().equals(Workload.FLOODING_TEAM))
                .map(JobPlan::arrivalNanos)
                .collect(ImmutableList.toImmutableList());

        assertThat(flooded).isEqualTo(alone);
    }

    /** Guards against job sizes, run times or declared run times outside their bounds. */
    @Test
    void sizes_and_run_times_stay_within_their_bounds() {
        for (JobPlan job : Workload.generate(settings(ArrivalPattern.STEADY, ImmutableList.of()))) {
            assertThat(job.tasks().size()).isIn(com.google.common.collect.Range.closed(1, 210));
            for (JobPlan.TaskPlan task : job.tasks()) {
                assertThat(task.runMs()).isIn(com.google.common.collect.Range.closed(50L, 6000L));
                assertThat(task.declaredMs() / (double) task.runMs())
                        .isIn(com.google.common.collect.Range.closed(0.24, 4.01));
            }
        }
    }
}
