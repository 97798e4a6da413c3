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

/** Tests how a master handles orders without a response, which the target may still carry out seconds later. */
final class LateOrderTest {
    private static final PoolId POOL = new PoolId("yard", "east");

    private static final StepSpec ONE_TASK = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = recorder.newMaster(POOL);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static TargetEntry target(String id, long startTimeMs) {
        return new TargetEntry(
                id,
                startTimeMs,
                InetSocketAddress.createUnresolved(id, 1),
                POOL,
                false,
                new Capacity(2_000, 100, 0),
                ImmutableSet.of("a"));
    }

    private static LeaseReport report(long clockMs, RunId... running) {
        return report(clockMs, 0, running);
    }

    private static LeaseReport report(long clockMs, long startTimeMs, RunId... running) {
        ImmutableList.Builder<LeaseReport.RunProgress> runProgress = ImmutableList.builder();
        for (RunId run : running) {
            runProgress.add(new LeaseReport.RunProgress(run, 0));
        }
        return new LeaseReport(clockMs, startTimeMs, runProgress.build(), ImmutableList.of());
    }

    private void answerLastExtension(String target, LeaseReport report, long now) {
        master.handleReport(target, recorder.lastExtension(target).sequenceNumber(), report, now);
        master.tick(now);
    }

    private void failLastExtension(String target, long now) {
        master.handleReportFailure(target, recorder.lastExtension(target).sequenceNumber(), OrderVerdict.UNKNOWN, now);
        master.tick(now);
    }

    private RunId submitOneTask(long now) {
        master.submitJob(JobOrders.of(1, "job", ONE_TASK, false), now);
        master.tick(now);
        return recorder.startedRuns.get(recorder.startedRuns.size() - 1);
    }

    /** Leaves every lease extension to a target unanswered between two times. */
    private void failExtensions(String target, long fromMs, long untilMs) {
        long lastFailedNumber = 0;
        for (long at = fromMs; at <= untilMs; at += 10) {
            master.tick(ms(at));
            long number = recorder.lastExtension(target).sequenceNumber();
            if (number != lastFailedNumber) {
                lastFailedNumber = number;
                failLastExtension(target, ms(at));
            }
        }
    }

    @BeforeEach
    void takeOverTarget() {
        master.updateTargets(ImmutableList.of(target("t", 0)), 0);
        master.tick(0);
        answerLastExtension("t", report(1_000), ms(1));
    }

    /**
     * Guards against a second run: the lease in a start order has expired by the master's clock, but the target may
     * still accept the order.
     */
    @Test
    void an_unanswered_start_is_stopped_even_after_its_lease_has_expired() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(122));

        answerLastExtension("t", report(2_400), ms(1_401));

        assertThat(recorder.startedRuns).containsExactly(first);
        assertThat(recorder.stoppedRuns).containsExactly(first);
    }

    /** Guards against an order from before the lease's end that the target carries out once it is reachable again. */
    @Test
    void a_target_whose_lease_has_expired_is_taken_over_again_with_a_higher_token() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 1_003, ms(3));
        long firstToken = recorder.lastExtension("t").fencingToken();

        failExtensions("t", 10, 3_000);

        assertThat(recorder.lastExtension("t").fencingToken()).isGreaterThan(firstToken);
    }

    /** Guards against a second run beside an unanswered start that an unreachable target may still carry out. */
    @Test
    void an_unanswered_start_is_kept_until_the_target_reports_under_the_higher_token() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(122));
        master.updateTargets(ImmutableList.of(target("t", 0), target("u", 0)), ms(130));
        master.tick(ms(130));
        answerLastExtension("u", report(7_000), ms(131));

        failExtensions("t", 150, 2_500);
        answerLastExtension("u", report(9_500), ms(2_500));
        master.submitJob(JobOrders.of(2, "job", ONE_TASK, false), ms(2_510));
        master.tick(ms(2_510));
        assertThat(recorder.startedRuns).containsExactly(first);

        master.tick(ms(2_600));
        answerLastExtension("t", report(3_600), ms(2_601));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /**
     * Guards against removed targets that stay in the master's tables, and tasks that wait for them for ever, because
     * report requests keep extending the lease.
     */
    @Test
    void the_lease_of_a_silent_target_expires_although_reports_are_still_requested() {
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 1_003, ms(3));
        master.updateTargets(ImmutableList.of(target("t", 0), target("u", 0)), ms(10));
        master.tick(ms(10));
        answerLastExtension("u", report(7_000), ms(11));

        failExtensions("t", 20, 1_300);
        answerLastExtension("u", report(8_300), ms(1_310));
        failExtensions("t", 1_320, 1_900);
        assertThat(recorder.lastExtension("t").leaseDeadlineMs()).isEmpty();
        master.updateTargets(ImmutableList.of(target("u", 0)), ms(1_900));
        failExtensions("t", 1_910, 3_000);

        int extensionCount = recorder.extensionCount("t");
        master.tick(ms(5_000));
        master.tick(ms(6_000));
        assertThat(recorder.extensionCount("t")).isEqualTo(extensionCount);
    }

    /**
     * Guards against a second run: a start that was sent before the target's restart may be carried out by the
     * restarted target, which doesn't know the raised fencing token yet.
     */
    @Test
    void an_unanswered_start_is_kept_across_a_target_restart_until_the_next_report() {
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(122));

        master.updateTargets(ImmutableList.of(target("t", 200), target("u", 0)), ms(130));
        master.tick(ms(130));
        answerLastExtension("u", report(7_000), ms(131));
        assertThat(recorder.startedRuns).containsExactly(first);

        answerLastExtension("t", new LeaseReport(20, 200, ImmutableList.of(), ImmutableList.of()), ms(140));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /**
     * Guards against a second run beside one that a restarted target has started before the master noticed the restart.
     */
    @Test
    void a_confirmed_run_is_kept_across_a_target_restart_until_the_next_report() {
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 20, ms(3));

        master.updateTargets(ImmutableList.of(target("t", 200), target("u", 0)), ms(30));
        master.tick(ms(30));
        answerLastExtension("u", report(7_000), ms(31));
        assertThat(recorder.startedRuns).containsExactly(first);

        answerLastExtension("t", report(48, 200, first), ms(32));
        master.tick(ms(40));
        assertThat(recorder.startedRuns).containsExactly(first);
        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /**
     * Guards against a clock reading from before a restart: the restarted target's clock is lower, and none of its
     * reports would count as the newest.
     */
    @Test
    void a_response_from_before_a_restart_does_not_set_the_clock_of_the_restarted_target() {
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 500_000, ms(3));
        master.withdrawRequest(new RequestId("east-1", 1, 1), "job", ms(4));
        master.updateTargets(ImmutableList.of(target("t", 200)), ms(5));
        master.tick(ms(5));

        master.handleStopResponse("t", first, OrderVerdict.DONE, 500_004, ms(6));
        answerLastExtension("t", new LeaseReport(20, 200, ImmutableList.of(), ImmutableList.of()), ms(7));
        master.tick(ms(8));

        assertThat(recorder.lastExtension("t").leaseDeadlineMs().getAsLong()).isLessThan(2_000L);
    }

    /**
     * Guards against orders from before a restart that the target accepts, because the claim has no higher token left
     * to fence them with. Only a new claim can take over the target.
     */
    @Test
    void a_target_for_which_the_claim_has_no_token_left_gets_no_orders_and_is_reported_as_fenced() {
        for (int restart = 1; restart <= FencingToken.MAX_SEQUENCE + 1; restart++) {
            master.updateTargets(ImmutableList.of(target("t", restart * 100L)), ms(10L * restart));
            master.tick(ms(10L * restart));
        }
        assertThat(recorder.fenced).isEmpty();
        int extensionCount = recorder.extensionCount("t");

        master.updateTargets(ImmutableList.of(target("t", 1_000_000)), ms(5_000));
        master.tick(ms(5_000));

        assertThat(recorder.fenced).containsExactly("t");
        assertThat(recorder.extensionCount("t")).isEqualTo(extensionCount);
        master.tick(ms(5_200));
        assertThat(recorder.fenced).hasSize(2);
        assertThat(recorder.extensionCount("t")).isEqualTo(extensionCount);
    }

    /** Guards against a run without a caller that continues because the target's restart erased the pending stop. */
    @Test
    void a_run_of_a_withdrawn_job_is_stopped_after_the_restart_of_its_target() {
        StepSpec step = new StepSpec(
                1, new Capacity(1_000, 1, 0), Duration.ofMillis(800), ImmutableList.of(), Optional.empty(), 9);
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(1));
        master.submitJob(JobOrders.of(1, "job", step, false), ms(2));
        master.tick(ms(2));
        RunId first = recorder.startedRuns.get(0);
        master.handleStartResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(122));
        master.withdrawRequest(new RequestId("east-1", 1, 1), "job", ms(123));
        assertThat(recorder.stoppedRuns).containsExactly(first);
        master.handleStopResponse("t", first, OrderVerdict.UNKNOWN, 0, ms(243));

        master.updateTargets(ImmutableList.of(target("t", 200)), ms(250));
        master.tick(ms(250));
        answerLastExtension("t", report(20, 200, first), ms(260));
        for (int at = 270; at < 420; at += 10) {
            master.tick(ms(at));
        }
        answerLastExtension("t", report(190, 200, first), ms(430));
        for (int at = 440; at < 2_000; at += 10) {
            master.tick(ms(at));
            if (at % 100 == 0) {
                answerLastExtension("t", report(190 + at, 200, first), ms(at));
            }
        }

        assertThat(recorder.stoppedRuns.size()).isGreaterThan(1);
    }

    /**
     * Guards against a needless new claim of the pool: a target that is listed again refuses the claim's first token if
     * it has seen a higher one.
     */
    @Test
    void a_target_that_is_listed_again_gets_no_lower_token() {
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(1));
        RunId first = submitOneTask(ms(2));
        master.handleStartResponse("t", first, OrderVerdict.DONE, 1_003, ms(3));
        failExtensions("t", 10, 3_000);
        long raisedToken = recorder.lastExtension("t").fencingToken();
        master.tick(ms(3_200));
        answerLastExtension("t", report(4_200, 100), ms(3_201));

        master.updateTargets(ImmutableList.of(), ms(3_300));
        master.tick(ms(3_300));
        master.updateTargets(ImmutableList.of(target("t", 100)), ms(8_000));
        master.tick(ms(8_000));

        assertThat(recorder.lastExtension("t").fencingToken()).isAtLeast(raisedToken);
    }

    /**
     * Guards against queued jobs that wait for their deadline instead of being refused, because their order was
     * repeated over a new connection and so marked as resumed.
     */
    @Test
    void a_queued_job_can_still_be_refused_after_its_order_was_repeated_to_the_same_claim() {
        StepSpec wide = new StepSpec(
                1, new Capacity(2_000, 1, 0), Duration.ofMillis(300), ImmutableList.of(), Optional.empty(), 9);
        master.submitJob(JobOrders.of(1, "first", wide, false), ms(2));
        master.tick(ms(2));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 1_003, ms(3));
        master.submitJob(JobOrders.of(2, "second", wide, false), ms(4));
        master.tick(ms(4));
        assertThat(recorder.results).isEmpty();
        master.submitJob(JobOrders.of(2, "second", wide, false).copyWith(Duration.ofMillis(1_499), true, false), ms(5));
        for (int at = 10; at < 60_000; at += 10) {
            master.tick(ms(at));
            if (at < 2_000 && at % 100 == 0) {
                answerLastExtension("t", report(1_000 + at, 100, recorder.startedRuns.get(0)), ms(at));
            }
        }
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
    }

    /**
     * Guards against a second run in another pool beside a start that is carried out late, by a later process of its
     * target: the caller has sent the job again through another domain, where nothing is known of the start.
     */
    @Test
    void a_start_is_pending_from_its_timeout_or_the_end_of_its_job_until_the_target_refuses_it() {
        master.updateTargets(ImmutableList.of(target("t", 5_000)), 0);
        master.tick(0);
        answerLastExtension("t", report(1_001, 5_000), ms(1));
        PendingStart start = new PendingStart("t", recorder.lastExtension("t").fencingToken(), "job");
        RunId run = submitOneTask(ms(2));
        assertThat(master.pendingStarts()).isEmpty();
        master.handleStartResponse("t", run, OrderVerdict.UNKNOWN, 0, ms(122));
        assertThat(master.pendingStarts()).containsExactly(start);

        master.withdrawRequest(JobOrders.of(1, "job", ONE_TASK, false).request(), "job", ms(130));
        assertThat(master.pendingStarts()).containsExactly(start);

        master.updateTargets(ImmutableList.of(target("t", 7_000)), ms(200));
        master.tick(ms(200));
        assertThat(master.pendingStarts()).containsExactly(start);
        assertThat(master.statusOf(start)).isEqualTo(PendingStart.Status.POSSIBLE);
        answerLastExtension("t", report(5, 7_000), ms(210));
        assertThat(master.pendingStarts()).isEmpty();
        assertThat(master.statusOf(start)).isEqualTo(PendingStart.Status.REFUSED);
    }

    /** Guards against refusing a job that is sent again although its first run was confirmed and only has to end. */
    @Test
    void a_job_whose_starts_were_all_confirmed_has_no_pending_start() {
        master.updateTargets(ImmutableList.of(target("t", 0)), 0);
        master.tick(0);
        answerLastExtension("t", report(1_001), ms(1));
        RunId run = submitOneTask(ms(2));
        master.handleStartResponse("t", run, OrderVerdict.DONE, 1_003, ms(3));

        master.withdrawRequest(JobOrders.of(1, "job", ONE_TASK, false).request(), "job", ms(130));

        assertThat(master.pendingStarts()).isEmpty();
    }
}
