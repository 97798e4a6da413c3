package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a master concludes about a target that has started again under its id, perhaps as another kind. */
final class RestartedTargetTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final long FIRST_START_MS = 1_000;
    private static final long SECOND_START_MS = 2_000;

    private static final StepSpec TASK_FOR_KIND_A = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.of("a"),
            Integer.MAX_VALUE);

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = recorder.newMaster(POOL);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static TargetEntry entry(long startTimeMs, String kind, int cpuMillis, boolean draining) {
        return new TargetEntry(
                "t",
                startTimeMs,
                InetSocketAddress.createUnresolved("t", 1),
                POOL,
                draining,
                new Capacity(cpuMillis, 100, 0),
                ImmutableSet.of(kind));
    }

    private static TargetEntry entry(long startTimeMs, String kind) {
        return entry(startTimeMs, kind, 2_000, false);
    }

    private void applyEntry(TargetEntry entry, long now) {
        master.updateTargets(ImmutableList.of(entry), now);
        master.tick(now);
    }

    private void report(long startTimeMs, long clockMs, long now, RunId... running) {
        ImmutableList.Builder<LeaseReport.RunProgress> progress = ImmutableList.builder();
        for (RunId run : running) {
            progress.add(new LeaseReport.RunProgress(run, 50));
        }
        master.handleReport(
                "t",
                recorder.lastExtension("t").sequenceNumber(),
                new LeaseReport(clockMs, startTimeMs, progress.build(), ImmutableList.of()),
                now);
        master.tick(now);
    }

    /** Lets the reports show that the target has started again: one ends the old process, the next is the new one's. */
    private void reportRestart(long startTimeMs, long now) {
        report(startTimeMs, 5, now);
        report(startTimeMs, 6, now + ms(1));
    }

    private void submit(long number, String job, long now) {
        master.submitJob(JobOrders.of(number, job, TASK_FOR_KIND_A, false), now);
        master.tick(now);
    }

    @BeforeEach
    void takeOverTarget() {
        applyEntry(entry(FIRST_START_MS, "a"), 0);
        report(FIRST_START_MS, 1_000, ms(1));
    }

    /** Guards against a task on a target without the label that it requires, which the earlier process had. */
    @Test
    void a_target_that_reports_a_restart_gets_no_tasks_before_its_new_entry_is_read() {
        reportRestart(SECOND_START_MS, ms(10));
        submit(1, "job", ms(12));
        assertThat(recorder.startedRuns).isEmpty();

        applyEntry(entry(FIRST_START_MS, "a"), ms(13));
        submit(2, "other job", ms(14));
        assertThat(recorder.startedRuns).isEmpty();
    }

    /** Guards against a target that stays out of use after its restart although its new entry is known. */
    @Test
    void a_restarted_target_gets_tasks_once_its_new_entry_and_its_report_agree() {
        reportRestart(SECOND_START_MS, ms(10));
        applyEntry(entry(SECOND_START_MS, "a"), ms(20));
        submit(1, "job", ms(21));

        assertThat(recorder.startTargets).containsExactly("t");
    }

    /** Guards against the labels of an earlier process, whose entry was written or read late. */
    @Test
    void an_entry_of_an_earlier_process_that_is_read_late_changes_nothing() {
        reportRestart(SECOND_START_MS, ms(10));
        applyEntry(entry(SECOND_START_MS, "b"), ms(20));
        applyEntry(entry(FIRST_START_MS, "a"), ms(30));
        submit(1, "job", ms(31));

        assertThat(recorder.startedRuns).isEmpty();
    }

    /** Guards against other hosts that send jobs here by the capacity of a process that has ended. */
    @Test
    void the_capacity_of_an_earlier_process_is_not_part_of_the_load_of_the_pool() {
        assertThat(master.load(ms(2)).freeCpuMillis()).isEqualTo(2_000);

        reportRestart(SECOND_START_MS, ms(10));

        assertThat(master.load(ms(12)).freeCpuMillis()).isEqualTo(0);
    }

    /** Guards against a final failure of a job because the earlier process of the only target was too small for it. */
    @Test
    void a_job_that_only_the_new_process_can_hold_does_not_fail_before_its_entry_is_read() {
        StepSpec large = new StepSpec(
                1, new Capacity(3_000, 1, 0), Duration.ofMillis(50), ImmutableList.of(), Optional.empty(), 9);
        reportRestart(SECOND_START_MS, ms(10));
        master.submitJob(JobOrders.of(1, "job", large, false), ms(12));

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
    }

    /** Guards against more tasks than fit beside a run of unknown size that the larger new process reports. */
    @Test
    void a_run_of_unknown_size_takes_all_of_the_new_process_and_not_the_capacity_of_the_earlier_one() {
        RunId inherited = new RunId(new TaskName("earlier job", 0, 0, 0), 1);
        report(SECOND_START_MS, 5, ms(10));
        report(SECOND_START_MS, 6, ms(11), inherited);
        applyEntry(entry(SECOND_START_MS, "a", 8_000, false), ms(20));

        assertThat(master.load(ms(21)).freeCpuMillis()).isEqualTo(0);
    }

    /** Guards against a target that gets no tasks after its restart because the earlier process had failed tasks. */
    @Test
    void a_pause_of_an_earlier_process_does_not_hold_for_the_new_one() {
        submit(1, "job", ms(2));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.UNHEALTHY, 1_003, ms(3));
        assertThat(master.load(ms(4)).freeCpuMillis()).isEqualTo(0);

        reportRestart(SECOND_START_MS, ms(10));
        applyEntry(entry(SECOND_START_MS, "b"), ms(20));

        assertThat(master.load(ms(21)).maxTargetFreeCpuMillis()).isEqualTo(2_000);
    }

    /** Guards against a restarted target that stays out of use because the earlier process was draining. */
    @Test
    void a_target_that_restarts_while_it_drains_gets_tasks_by_its_new_entry() {
        applyEntry(entry(FIRST_START_MS, "a", 2_000, true), ms(5));
        reportRestart(SECOND_START_MS, ms(10));
        applyEntry(entry(SECOND_START_MS, "a"), ms(20));
        submit(1, "job", ms(21));

        assertThat(recorder.startTargets).containsExactly("t");
    }

    /**
     * Guards against a target that stays out of use, or uses up the tokens of the claim, because its machine's clock was
     * set back and the old entry seems to be the newer one.
     */
    @Test
    void the_entry_of_a_process_with_an_earlier_start_time_holds_once_a_report_shows_that_process() {
        long startTimeMs = FIRST_START_MS - 500;
        reportRestart(startTimeMs, ms(10));
        long token = recorder.lastExtension("t").fencingToken();
        applyEntry(entry(FIRST_START_MS, "a"), ms(15));
        assertThat(recorder.lastExtension("t").fencingToken()).isEqualTo(token);

        applyEntry(entry(startTimeMs, "a"), ms(20));
        submit(1, "job", ms(21));
        assertThat(recorder.startTargets).containsExactly("t");
    }

    /**
     * Guards against starts that reach the next process of a target whose connections were lost: the response to an
     * earlier order, by that process, ended the silence of the target.
     */
    @Test
    void after_a_missed_report_only_a_report_lets_the_target_get_tasks_again() {
        submit(1, "first job", ms(2));
        master.handleReportFailure("t", recorder.lastExtension("t").sequenceNumber(), OrderVerdict.UNKNOWN, ms(3));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 1_004, ms(4));
        submit(2, "second job", ms(5));
        assertThat(recorder.startedRuns).hasSize(1);

        master.tick(ms(110));
        report(FIRST_START_MS, 1_110, ms(111), recorder.startedRuns.get(0));
        submit(3, "third job", ms(112));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /** Guards against further starts on a process that has executed an order to the earlier one, before it reports. */
    @Test
    void a_start_response_whose_clock_is_behind_the_known_one_keeps_new_tasks_off_until_the_next_report() {
        submit(1, "first job", ms(2));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 12, ms(3));
        submit(2, "second job", ms(4));

        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against a restarted target that stays out of use until the next usual read of the list. */
    @Test
    void the_list_of_targets_is_requested_until_the_new_entry_is_known() {
        assertThat(master.requestsTargetList(ms(9))).isFalse();
        reportRestart(SECOND_START_MS, ms(10));
        assertThat(master.requestsTargetList(ms(12))).isTrue();
        assertThat(master.requestsTargetList(ms(13))).isFalse();
        assertThat(master.requestsTargetList(ms(113))).isTrue();

        applyEntry(entry(SECOND_START_MS, "b"), ms(120));

        assertThat(master.requestsTargetList(ms(300))).isFalse();
    }

    /** Guards against a target whose entry never agrees with its reports and that uses up the fleet's reads of the store. */
    @Test
    void the_list_of_targets_is_requested_less_often_the_longer_the_new_entry_is_missing() {
        reportRestart(SECOND_START_MS, ms(10));
        int requestCount = 0;
        for (long at = 12; at < 60_000; at += 10) {
            requestCount += master.requestsTargetList(ms(at)) ? 1 : 0;
        }
        assertThat(requestCount).isIn(Range.closed(10, 20));

        reportRestart(SECOND_START_MS + 1, ms(60_000));
        assertThat(master.requestsTargetList(ms(60_100))).isTrue();
        assertThat(master.requestsTargetList(ms(60_200))).isTrue();
    }

    /** Guards against a second run: a run that the new process has started is given up with the earlier one's lease. */
    @Test
    void the_runs_of_a_restarted_target_that_leaves_the_list_are_kept_for_a_whole_lease() {
        submit(1, "job", ms(2));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.UNKNOWN, 0, ms(122));
        report(SECOND_START_MS, 5, ms(3_000));
        master.withdrawRequest(JobOrders.of(1, "job", TASK_FOR_KIND_A, false).request(), "job", ms(3_001));
        master.updateTargets(ImmutableList.of(), ms(3_002));
        master.handleReportFailure("t", recorder.lastExtension("t").sequenceNumber(), OrderVerdict.UNKNOWN, ms(3_003));
        master.tick(ms(3_200));

        assertThat(master.pendingStarts().stream().map(PendingStart::job)).containsExactly("job");
    }
}
