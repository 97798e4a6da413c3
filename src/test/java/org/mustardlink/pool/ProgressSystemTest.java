package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a master does with the progress that targets report. */
final class ProgressSystemTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final Capacity TARGET_CAPACITY = new Capacity(14_000, 64, 0);

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = recorder.newMaster(POOL);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static TargetEntry targetEntry(String id) {
        return new TargetEntry(
                id, 0, InetSocketAddress.createUnresolved(id, 1), POOL, false, TARGET_CAPACITY, ImmutableSet.of("a"));
    }

    @BeforeEach
    void takeOverTargets() {
        master.targetsListed(ImmutableList.of(targetEntry("t0"), targetEntry("t1")), 0);
        master.tick(0);
        report("t0", 1, ImmutableList.of(), ImmutableList.of());
        report("t1", 1, ImmutableList.of(), ImmutableList.of());
    }

    private void report(
            String target,
            long atMs,
            ImmutableList<HoldReport.RunProgress> running,
            ImmutableList<HoldReport.RunEnd> ended) {
        HoldReport report = new HoldReport(1_000 + atMs, 0, running, ended);
        master.reported(target, recorder.lastHold(target).number(), report, ms(atMs));
        master.tick(ms(atMs));
    }

    private void reportProgress(int run, int percent, long atMs) {
        report(
                recorder.startTargets.get(run),
                atMs,
                ImmutableList.of(new HoldReport.RunProgress(recorder.startedRuns.get(run), percent)),
                ImmutableList.of());
    }

    /** Submits a job of tasks of 900 ms that take a target each and must be done in 1,500 ms. */
    private void submit(String job, int tasks, long atMs) {
        submitWithoutStartAnswers(job, tasks, atMs);
        for (int run = recorder.startedRuns.size() - tasks; run < recorder.startedRuns.size(); run++) {
            master.startAnswered(
                    recorder.startTargets.get(run),
                    recorder.startedRuns.get(run),
                    OrderVerdict.DONE,
                    1_000 + atMs,
                    ms(atMs));
        }
    }

    private void submitWithoutStartAnswers(String job, int tasks, long atMs) {
        StepSpec step =
                new StepSpec(tasks, TARGET_CAPACITY, Duration.ofMillis(900), ImmutableList.of(), Optional.empty(), 100);
        master.submit(JobOrders.of(atMs, job, step, false), ms(atMs));
        master.tick(ms(atMs));
    }

    /** Guards against a job that fails on a slow target although another one would have done it in time. */
    @Test
    void a_task_that_would_miss_its_deadline_on_a_target_moves_while_another_has_room() {
        submit("job", 1, 2);
        reportProgress(0, 8, 202);

        assertThat(recorder.stoppedRuns).containsExactly(recorder.startedRuns.get(0));
        report(
                recorder.startTargets.get(0),
                220,
                ImmutableList.of(),
                ImmutableList.of(new HoldReport.RunEnd(1, recorder.startedRuns.get(0), HoldReport.How.STOPPED)));
        assertThat(recorder.startedRuns).hasSize(2);
        assertThat(recorder.startTargets.get(1)).isNotEqualTo(recorder.startTargets.get(0));
    }

    /** Guards against two runs at once: the second one starts only after the target has listed the end of the first. */
    @Test
    void a_task_that_moves_is_not_started_before_its_stopped_run_has_ended() {
        submit("job", 1, 2);
        reportProgress(0, 8, 202);
        master.stopAnswered(
                recorder.startTargets.get(0), recorder.startedRuns.get(0), OrderVerdict.DONE, 1_203, ms(204));
        reportProgress(0, 8, 206);

        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against work thrown away for a task that the present run would have ended in time. */
    @Test
    void a_task_that_may_still_end_in_time_within_the_rounding_of_its_progress_stays() {
        submit("job", 1, 2);
        // 13% in 200 ms is 1,429 ms for the whole work if the next percent is all but done.
        reportProgress(0, 13, 202);

        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /** Guards against callers who wait for their deadline although it is known that the job can't be done by then. */
    @Test
    void a_job_that_no_target_can_end_in_time_is_answered_when_its_progress_shows_it() {
        submit("job", 2, 2);
        // 1,850 ms at least for the whole work, twice what was expected: the task rather than the target is to blame.
        reportProgress(0, 26, 502);

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Abandoned.class);
        assertThat(recorder.stoppedRuns).hasSize(2);
    }

    /** Guards against a job that is given up because of one target that has become slow, while others are sound. */
    @Test
    void a_job_on_a_target_that_became_slow_is_not_given_up_while_a_healthy_one_could_end_it() {
        submit("job", 2, 2);
        // Seven times slower than expected, with no room elsewhere yet.
        reportProgress(0, 5, 332);

        assertThat(recorder.results).isEmpty();
    }

    /** Guards against tasks that stand still until their callers give up: targets that hang with good health. */
    @Test
    void a_task_that_makes_no_progress_is_stopped_while_it_can_still_run_elsewhere() {
        submit("job", 1, 2);
        reportProgress(0, 0, 302);

        assertThat(recorder.stoppedRuns).containsExactly(recorder.startedRuns.get(0));
    }

    /** Guards against waiting for the next end to learn of progress: a lone task's target reports only when asked. */
    @Test
    void the_target_of_a_long_task_is_asked_for_its_progress() {
        submit("job", 1, 2);
        String target = recorder.startTargets.get(0);
        long before = recorder.lastHold(target).number();
        master.tick(ms(200));

        assertThat(recorder.lastHold(target).number()).isGreaterThan(before);
        assertThat(recorder.lastHold(target).waitMs()).isEqualTo(0);
    }

    /** Guards against jobs that wait in vain: three tasks are done, the last one never found a target in time. */
    @Test
    void a_started_job_whose_waiting_task_no_target_can_end_in_time_is_answered_at_once() {
        submit("first", 1, 2);
        submitWithoutStartAnswers("second", 2, 4);
        master.tick(ms(1_040));
        assertThat(recorder.results).isEmpty();

        // Half of the expected 900 ms are left to the deadline at 1,504 ms.
        master.tick(ms(1_060));

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Abandoned.class);
    }
}
