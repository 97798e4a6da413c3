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

/** Tests the orders of a master after single responses and reports of a target. */
final class PoolMasterTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final TargetEntry TARGET = new TargetEntry(
            "t",
            0,
            InetSocketAddress.createUnresolved("t", 1),
            POOL,
            false,
            new Capacity(2_000, 100, 0),
            ImmutableSet.of("a"));

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = recorder.newMaster(POOL);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @BeforeEach
    void takeOverTarget() {
        master.updateTargets(ImmutableList.of(TARGET), 0);
        master.tick(0);
        report(1_000, ms(1), ImmutableList.of(), ImmutableList.of());
    }

    private void report(long clockMs, long now, ImmutableList<RunId> running, ImmutableList<LeaseReport.RunEnd> ended) {
        ImmutableList<LeaseReport.RunProgress> runProgress = running.stream()
                .map(run -> new LeaseReport.RunProgress(run, 0))
                .collect(ImmutableList.toImmutableList());
        master.handleReport(
                "t", recorder.takeLastExtensionNumber(), new LeaseReport(clockMs, 0, runProgress, ended), now);
        master.tick(now);
    }

    private RunId submitOneTask(long now) {
        return submitOneTask("job", now);
    }

    private static StepSpec halfTargetStep() {
        return new StepSpec(
                1,
                new Capacity(1_000, 1, 0),
                Duration.ofMillis(50),
                ImmutableList.of(),
                Optional.empty(),
                Integer.MAX_VALUE);
    }

    private RunId submitOneTask(String job, long now) {
        master.submitJob(JobOrders.of(1, job, halfTargetStep(), false), now);
        master.tick(now);
        return recorder.startedRuns.get(recorder.startedRuns.size() - 1);
    }

    /** Guards against a replaced master that repeats starts as fast as the target refuses them. */
    @Test
    void a_target_that_refuses_a_start_as_fenced_gets_no_other_start_before_its_next_report() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.FENCED, 1_003, ms(3));
        master.tick(ms(3));

        assertThat(recorder.startedRuns).hasSize(1);
        report(1_004, ms(4), ImmutableList.of(), ImmutableList.of());
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /** Guards against a second run: an unanswered start may take effect until a stop or the lease's end prevents it. */
    @Test
    void an_unanswered_start_is_stopped_before_its_task_starts_again() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(100));
        master.tick(ms(100));
        report(1_101, ms(101), ImmutableList.of(), ImmutableList.of());
        assertThat(recorder.stoppedRuns).containsExactly(first);
        assertThat(recorder.startedRuns).hasSize(1);

        master.handleStopResponse("t", first, OrderVerdict.DONE, 1_102, ms(102));
        report(1_104, ms(104), ImmutableList.of(), ImmutableList.of());

        assertThat(recorder.startedRuns).hasSize(2);
        assertThat(recorder.startedRuns.get(1).attempt()).isGreaterThan(first.attempt());
    }

    /** Guards against first runs in two pools: a refused job is offered to another pool, which starts all its tasks. */
    @Test
    void a_job_that_has_started_a_task_is_not_refused_when_its_other_tasks_wait_too_long() {
        StepSpec threeTasks = new StepSpec(
                3,
                new Capacity(1_000, 1, 0),
                Duration.ofMillis(50),
                ImmutableList.of(),
                Optional.empty(),
                Integer.MAX_VALUE);
        master.submitJob(JobOrders.of(1, "job", threeTasks, true), ms(2));
        master.tick(ms(2));
        assertThat(recorder.startedRuns).hasSize(2);
        recorder.startedRuns.forEach(run -> master.handleStartResponse("t", run, OrderVerdict.DONE, 1_003, ms(3)));

        // A job of 50 ms that has started nothing is refused long before its caller's deadline at 1,502 ms.
        master.tick(ms(1_400));

        assertThat(recorder.results).isEmpty();
    }

    /**
     * Guards against jobs of other pools that are queued here, although their own pool could have queued them as well.
     */
    @Test
    void
            a_job_that_another_pool_has_refused_is_refused_while_this_pool_is_full_and_admitted_when_it_has_free_capacity() {
        RunId first = submitOneTask("first", ms(2));
        submitOneTask("second", ms(2));
        JobOrder offered = JobOrders.of(2, "offered", halfTargetStep(), false).requiringImmediateStart();

        master.submitJob(offered, ms(3));

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
        report(
                1_010,
                ms(10),
                ImmutableList.of(),
                ImmutableList.of(new LeaseReport.RunEnd(1, first, LeaseReport.RunOutcome.DONE)));
        master.submitJob(
                JobOrders.of(3, "offered again", halfTargetStep(), false).requiringImmediateStart(), ms(11));
        master.tick(ms(11));
        assertThat(recorder.startedRuns).hasSize(3);
    }

    /** Guards against a stop or a second run of a task whose start was carried out although its response was lost. */
    @Test
    void a_run_whose_start_response_was_lost_continues_if_the_target_reports_it() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(100));
        report(1_101, ms(101), ImmutableList.of(first), ImmutableList.of());
        report(
                1_150,
                ms(150),
                ImmutableList.of(),
                ImmutableList.of(new LeaseReport.RunEnd(1, first, LeaseReport.RunOutcome.DONE)));

        assertThat(recorder.startedRuns).hasSize(1);
        assertThat(recorder.stoppedRuns).isEmpty();
        assertThat(recorder.results).containsExactly(new JobResult.Complete());
    }

    /**
     * Guards against a second run of a task whose first run may continue on a silent target until the lease expires.
     */
    @Test
    void a_task_on_a_silent_target_waits_for_the_end_of_the_lease() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 1_003, ms(3));
        TargetEntry other = new TargetEntry(
                "other",
                0,
                InetSocketAddress.createUnresolved("other", 1),
                POOL,
                false,
                new Capacity(2_000, 100, 0),
                ImmutableSet.of("a"));
        master.handleReportFailure("t", recorder.takeLastExtensionNumber(), OrderVerdict.UNKNOWN, ms(300));
        master.updateTargets(ImmutableList.of(TARGET, other), ms(300));
        master.tick(ms(300));
        long otherExtension = recorder.takeLastExtensionNumber();
        master.handleReport(
                "other", otherExtension, new LeaseReport(500, 0, ImmutableList.of(), ImmutableList.of()), ms(301));

        master.tick(ms(900));
        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against inherited runs of no open job that keep targets occupied although no live host waits for them. */
    @Test
    void an_inherited_run_is_stopped_when_every_live_entry_host_has_handed_its_jobs_over() {
        RunId inherited = new RunId(new TaskName("other", 0, 0, 0), 1);
        report(1_010, ms(10), ImmutableList.of(inherited), ImmutableList.of());
        master.tick(ms(60));
        assertThat(recorder.stoppedRuns).isEmpty();

        master.endHandover();
        master.tick(ms(61));

        assertThat(recorder.stoppedRuns).containsExactly(inherited);
    }

    /**
     * Guards against jobs that fail on every target and so take healthy targets out of use; many can arrive at once.
     */
    @Test
    void a_job_that_fails_as_often_as_its_route_allows_is_answered_and_its_target_stays_in_use() {
        RunId run = submitOneTask(ms(2));
        for (int attempt = 1; attempt <= 3; attempt++) {
            long at = 10L * attempt;
            master.handleStartResponse("t", run, OrderVerdict.DONE, 1_000 + at, ms(at));
            report(
                    1_001 + at,
                    ms(at + 1),
                    ImmutableList.of(),
                    ImmutableList.of(new LeaseReport.RunEnd(attempt, run, LeaseReport.RunOutcome.FAILED)));
            run = recorder.startedRuns.get(recorder.startedRuns.size() - 1);
        }

        assertThat(recorder.startedRuns).hasSize(3);
        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Failed.class);
        assertThat(submitOneTask("next", ms(50)).task().job()).isEqualTo("next");
    }
}
