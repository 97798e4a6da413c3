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

/** Tests how a master reacts to the progress that targets report. */
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
        master.updateTargets(ImmutableList.of(targetEntry("t0"), targetEntry("t1")), 0);
        master.tick(0);
        report("t0", 1, ImmutableList.of(), ImmutableList.of());
        report("t1", 1, ImmutableList.of(), ImmutableList.of());
    }

    private void report(
            String target,
            long atMs,
            ImmutableList<LeaseReport.RunProgress> running,
            ImmutableList<LeaseReport.RunEnd> ended) {
        LeaseReport report = new LeaseReport(1_000 + atMs, 0, running, ended);
        master.handleReport(target, recorder.lastExtension(target).sequenceNumber(), report, ms(atMs));
        master.tick(ms(atMs));
    }

    private void reportProgress(int run, int percent, long atMs) {
        report(
                recorder.startTargets.get(run),
                atMs,
                ImmutableList.of(new LeaseReport.RunProgress(recorder.startedRuns.get(run), percent)),
                ImmutableList.of());
    }

    /**
     * Submits a job whose tasks are declared to run 900 ms, occupy a whole target each and have to end within 1,500 ms.
     */
    private void submit(String job, int tasks, long atMs) {
        submitWithoutStartAnswers(job, tasks, atMs);
        for (int run = recorder.startedRuns.size() - tasks; run < recorder.startedRuns.size(); run++) {
            master.handleStartResponse(
                    recorder.startTargets.get(run),
                    recorder.startedRuns.get(run),
                    OrderVerdict.DONE,
                    1_000 + atMs,
                    ms(atMs));
        }
    }

    private void submitWithoutStartAnswers(String job, int tasks, long atMs) {
        submitWithoutStartAnswers(job, tasks, 900, atMs);
    }

    private void submitWithoutStartAnswers(String job, int tasks, long taskMs, long atMs) {
        StepSpec step = new StepSpec(
                tasks, TARGET_CAPACITY, Duration.ofMillis(taskMs), ImmutableList.of(), Optional.empty(), 100);
        master.submitJob(JobOrders.of(atMs, job, step, false), ms(atMs));
        master.tick(ms(atMs));
    }

    /** Submits a job of one task whose target doesn't list the run at 295 ms and confirms its start at 300 ms. */
    private void submitWithLateStart() {
        submitWithoutStartAnswers("job", 1, 2);
        report(recorder.startTargets.get(0), 295, ImmutableList.of(), ImmutableList.of());
        master.handleStartResponse(
                recorder.startTargets.get(0), recorder.startedRuns.get(0), OrderVerdict.DONE, 1_300, ms(300));
    }

    /** Submits a job of one task; returns how many reports are requested of its target until a given time. */
    private int countReportsRequested(long taskMs, long untilMs) {
        submitWithoutStartAnswers("job", 1, taskMs, 2);
        return countReportsRequested(untilMs);
    }

    private int countReportsRequested(long untilMs) {
        String target = recorder.startTargets.get(0);
        master.handleStartResponse(target, recorder.startedRuns.get(0), OrderVerdict.DONE, 1_002, ms(2));
        int before = recorder.extensionCount(target);
        for (long atMs = 3; atMs <= untilMs; atMs++) {
            master.tickIfDue(ms(atMs));
        }
        return recorder.extensionCount(target) - before;
    }

    /** Guards against calls to targets for the progress of short tasks, which no decision needs. */
    @Test
    void a_run_that_could_be_repeated_in_full_is_not_checked_before_its_expected_end() {
        assertThat(countReportsRequested(200, 190)).isEqualTo(0);
    }

    /** Guards against a short task on a target that hangs, for which nobody looks until its deadline. */
    @Test
    void a_run_that_could_be_repeated_in_full_is_checked_after_its_expected_end() {
        assertThat(countReportsRequested(200, 250)).isEqualTo(1);
    }

    /** Guards against a long task whose slow target is noticed when no time is left to run it elsewhere. */
    @Test
    void a_run_that_could_not_be_repeated_in_full_is_checked_early() {
        assertThat(countReportsRequested(900, 250)).isEqualTo(1);
    }

    /** Guards against a first step that is repeated when no time is left for the second one. */
    @Test
    void a_run_of_a_job_with_several_steps_is_checked_early() {
        StepSpec first =
                new StepSpec(1, TARGET_CAPACITY, Duration.ofMillis(200), ImmutableList.of(), Optional.empty(), 100);
        StepSpec second =
                new StepSpec(1, TARGET_CAPACITY, Duration.ofMillis(700), ImmutableList.of(0), Optional.empty(), 100);
        master.submitJob(JobOrders.of(2, "job", ImmutableList.of(first, second), false), ms(2));
        master.tick(ms(2));

        assertThat(countReportsRequested(190)).isAtLeast(1);
    }

    /** Guards against a missed deadline on a slow target although another target could run the task in time. */
    @Test
    void a_task_that_would_miss_its_deadline_on_a_target_moves_while_another_has_room() {
        submit("job", 1, 2);
        reportProgress(0, 8, 202);

        assertThat(recorder.stoppedRuns).containsExactly(recorder.startedRuns.get(0));
        report(
                recorder.startTargets.get(0),
                220,
                ImmutableList.of(),
                ImmutableList.of(
                        new LeaseReport.RunEnd(1, recorder.startedRuns.get(0), LeaseReport.RunOutcome.STOPPED)));
        assertThat(recorder.startedRuns).hasSize(2);
        assertThat(recorder.startTargets.get(1)).isNotEqualTo(recorder.startTargets.get(0));
    }

    /**
     * Guards against two runs at once: the second run starts only after the target has reported the end of the first.
     */
    @Test
    void a_task_that_moves_is_not_started_before_its_stopped_run_has_ended() {
        submit("job", 1, 2);
        reportProgress(0, 8, 202);
        master.handleStopResponse(
                recorder.startTargets.get(0), recorder.startedRuns.get(0), OrderVerdict.DONE, 1_203, ms(204));
        reportProgress(0, 8, 206);

        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against stopping a run that could have ended in time: progress is rounded down to whole percents. */
    @Test
    void a_task_that_may_still_end_in_time_within_the_rounding_of_its_progress_stays() {
        submit("job", 1, 2);
        // 13% after 200 ms means 1,429 ms for the whole task if the 14th percent is almost done.
        reportProgress(0, 13, 202);

        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /** Guards against callers that wait until their deadline although the progress shows that the job will miss it. */
    @Test
    void a_job_that_no_target_can_end_in_time_is_answered_when_its_progress_shows_it() {
        submit("job", 2, 2);
        // At least 1,850 ms for the whole task, twice the expected time: the task is long rather than the target slow.
        reportProgress(0, 26, 502);

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Abandoned.class);
        assertThat(recorder.stoppedRuns).hasSize(2);
    }

    /** Guards against abandoning a job because of one target that has become slow, while other targets are healthy. */
    @Test
    void a_job_on_a_target_that_became_slow_is_not_abandoned_while_a_healthy_one_could_end_it() {
        submit("job", 2, 2);
        // Seven times slower than expected, while the other target is occupied.
        reportProgress(0, 5, 332);

        assertThat(recorder.results).isEmpty();
    }

    /** Guards against tasks that hang until their caller's deadline on a target that still reports as healthy. */
    @Test
    void a_task_that_makes_no_progress_is_stopped_while_it_can_still_run_elsewhere() {
        submit("job", 1, 2);
        reportProgress(0, 0, 302);

        assertThat(recorder.stoppedRuns).containsExactly(recorder.startedRuns.get(0));
    }

    /** Guards against stopping a healthy run whose start order was delayed: its target can't report progress yet. */
    @Test
    void a_run_whose_start_order_arrives_late_is_not_stopped_by_its_first_report() {
        submitWithLateStart();
        reportProgress(0, 0, 302);

        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /** Guards against a hanging task that is never stopped because its start order was delayed. */
    @Test
    void a_run_whose_start_order_arrives_late_is_stopped_when_it_makes_no_progress_afterwards() {
        submitWithLateStart();
        reportProgress(0, 0, 602);

        assertThat(recorder.stoppedRuns).containsExactly(recorder.startedRuns.get(0));
    }

    /** Guards against progress that is learned too late: a target with a single long task reports only on request. */
    @Test
    void the_target_of_a_long_task_is_asked_for_its_progress() {
        submit("job", 1, 2);
        String target = recorder.startTargets.get(0);
        long before = recorder.lastExtension(target).sequenceNumber();
        master.tick(ms(200));

        assertThat(recorder.lastExtension(target).sequenceNumber()).isGreaterThan(before);
        assertThat(recorder.lastExtension(target).waitMs()).isEqualTo(0);
    }

    /**
     * Guards against callers of a partly started job that wait although its last task can't end in time on any target.
     */
    @Test
    void a_started_job_whose_waiting_task_no_target_can_end_in_time_is_answered_at_once() {
        submit("first", 1, 2);
        submitWithoutStartAnswers("second", 2, 4);
        master.tick(ms(1_040));
        assertThat(recorder.results).isEmpty();

        // Less than half of the expected 900 ms remain until the deadline at 1,504 ms.
        master.tick(ms(1_060));

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Abandoned.class);
    }
}
