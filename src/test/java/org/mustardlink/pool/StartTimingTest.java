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

/** Tests what a master reports for the log about the starts of a job's tasks. */
final class StartTimingTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final Capacity TARGET_CAPACITY = new Capacity(2_000, 100, 0);
    private static final TargetEntry TARGET = new TargetEntry(
            "t", 0, InetSocketAddress.createUnresolved("t", 1), POOL, false, TARGET_CAPACITY, ImmutableSet.of("a"));

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = recorder.newMaster(POOL);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @BeforeEach
    void takeOverTarget() {
        master.updateTargets(ImmutableList.of(TARGET), 0);
        master.tick(0);
        report(1, ImmutableList.of(), ImmutableList.of());
    }

    private void report(
            long atMs, ImmutableList<LeaseReport.RunProgress> running, ImmutableList<LeaseReport.RunEnd> ended) {
        master.handleReport(
                "t",
                recorder.lastExtension("t").sequenceNumber(),
                new LeaseReport(1_000 + atMs, 0, running, ended),
                ms(atMs));
        master.tick(ms(atMs));
    }

    private void reportDone(int run, long atMs) {
        report(
                atMs,
                ImmutableList.of(),
                ImmutableList.of(
                        new LeaseReport.RunEnd(run + 1, recorder.startedRuns.get(run), LeaseReport.RunOutcome.DONE)));
    }

    /** Submits a job whose tasks occupy the whole target each; its caller waits 1.5 s. */
    private void submit(String job, int tasks, long declaredMs, long atMs) {
        StepSpec step = new StepSpec(
                tasks, TARGET_CAPACITY, Duration.ofMillis(declaredMs), ImmutableList.of(), Optional.empty(), 100);
        master.submitJob(JobOrders.of(atMs, job, step, false), ms(atMs));
        master.tick(ms(atMs));
    }

    private void confirmStart(int run, long atMs) {
        master.handleStartResponse("t", recorder.startedRuns.get(run), OrderVerdict.DONE, 1_000 + atMs, ms(atMs));
    }

    /** Guards against a start of which the log can't tell whether the task had a chance to end in time. */
    @Test
    void each_start_is_reported_with_its_expected_time_the_time_left_and_the_time_waited() {
        submit("job", 2, 800, 2);
        confirmStart(0, 3);
        reportDone(0, 802);

        assertThat(recorder.startTimings)
                .containsExactly(new StartTiming(ms(800), ms(1_500), 0), new StartTiming(ms(800), ms(700), ms(800)))
                .inOrder();
        assertThat(recorder.startTimings.get(0).missesDeadline()).isFalse();
        assertThat(recorder.startTimings.get(1).missesDeadline()).isTrue();
    }

    /** Guards against large jobs that end late because of a single start, which the times of the others hide. */
    @Test
    void the_result_of_a_job_comes_with_its_declared_work_and_its_first_last_and_tightest_start() {
        submit("job", 2, 800, 2);
        confirmStart(0, 3);
        reportDone(0, 802);
        confirmStart(1, 803);
        reportDone(1, 1_400);

        assertThat(recorder.results).containsExactly(new JobResult.Complete());
        assertThat(recorder.summaries)
                .containsExactly(new JobSummary(
                        "job", 2.0 * 2_000 * ms(800), Optional.of(new JobSummary.Starts(0, ms(800), 87))));
    }

    /** Guards against refused jobs that can't be told from started ones, or whose size is unknown. */
    @Test
    void a_refusal_comes_with_the_declared_work_and_without_starts() {
        submit("running", 1, 800, 2);
        submit("too long", 1, 5_000, 3);

        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
        assertThat(recorder.summaries)
                .containsExactly(new JobSummary("too long", 2_000.0 * ms(5_000), Optional.empty()));
    }

    /** Guards against a task without a declared time, whose ratio of times would be a division by zero. */
    @Test
    void a_task_that_is_expected_to_take_no_time_is_in_time() {
        StartTiming timing = new StartTiming(0, ms(10), 0);

        assertThat(timing.missesDeadline()).isFalse();
        assertThat(timing.leftPercent()).isAtLeast(100);
    }

    /** Guards against a start that just misses its deadline and is rounded to one that meets it. */
    @Test
    void the_time_left_falls_below_one_hundred_percent_when_the_deadline_is_missed() {
        assertThat(new StartTiming(1_000, 1_000, 0).leftPercent()).isEqualTo(100);
        assertThat(new StartTiming(1_001, 1_000, 0).leftPercent()).isEqualTo(99);
    }
}
