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

/** Tests what a master makes of orders without an answer, which a target may carry out seconds later. */
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

    private static TargetEntry target(String id, long bornMs) {
        return new TargetEntry(
                id,
                bornMs,
                InetSocketAddress.createUnresolved(id, 1),
                POOL,
                false,
                new Capacity(2_000, 100, 0),
                ImmutableSet.of("a"));
    }

    private static HoldReport report(long clockMs, RunId... running) {
        return report(clockMs, 0, running);
    }

    private static HoldReport report(long clockMs, long bornMs, RunId... running) {
        ImmutableList.Builder<HoldReport.RunProgress> runProgress = ImmutableList.builder();
        for (RunId run : running) {
            runProgress.add(new HoldReport.RunProgress(run, 0));
        }
        return new HoldReport(clockMs, bornMs, runProgress.build(), ImmutableList.of());
    }

    private void answerLastHold(String target, HoldReport report, long now) {
        master.reported(target, recorder.lastHold(target).number(), report, now);
        master.tick(now);
    }

    private void failLastHold(String target, long now) {
        master.reportFailed(target, recorder.lastHold(target).number(), OrderVerdict.UNKNOWN, now);
        master.tick(now);
    }

    private RunId submitOneTask(long now) {
        master.submit(JobOrders.of(1, "job", ONE_TASK, false), now);
        master.tick(now);
        return recorder.startedRuns.get(recorder.startedRuns.size() - 1);
    }

    /** Lets every request for a report of a target fail until a time. */
    private void failHolds(String target, long fromMs, long untilMs) {
        long answered = 0;
        for (long at = fromMs; at <= untilMs; at += 10) {
            master.tick(ms(at));
            long number = recorder.lastHold(target).number();
            if (number != answered) {
                answered = number;
                failLastHold(target, ms(at));
            }
        }
    }

    @BeforeEach
    void takeOverTarget() {
        master.targetsListed(ImmutableList.of(target("t", 0)), 0);
        master.tick(0);
        answerLastHold("t", report(1_000), ms(1));
    }

    /** Guards against a second run: whether the lease in a late order still counts is the target's to judge. */
    @Test
    void an_unanswered_start_is_stopped_even_after_its_lease_has_expired() {
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(122));

        answerLastHold("t", report(2_400), ms(1_401));

        assertThat(recorder.startedRuns).containsExactly(first);
        assertThat(recorder.stoppedRuns).containsExactly(first);
    }

    /** Guards against an order of before the lease's end that the target carries out once it is reachable again. */
    @Test
    void a_target_whose_lease_has_expired_is_taken_over_again_with_a_higher_token() {
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.DONE, 1_003, ms(3));
        long fence = recorder.lastHold("t").fence();

        failHolds("t", 10, 3_000);

        assertThat(recorder.lastHold("t").fence()).isGreaterThan(fence);
    }

    /** Guards against a second run beside a start that a target which can't be asked may still carry out. */
    @Test
    void an_unanswered_start_is_kept_until_the_target_reports_under_the_higher_token() {
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(122));
        master.targetsListed(ImmutableList.of(target("t", 0), target("u", 0)), ms(130));
        master.tick(ms(130));
        answerLastHold("u", report(7_000), ms(131));

        failHolds("t", 150, 2_500);
        answerLastHold("u", report(9_500), ms(2_500));
        master.submit(JobOrders.of(2, "job", ONE_TASK, false), ms(2_510));
        master.tick(ms(2_510));
        assertThat(recorder.startedRuns).containsExactly(first);

        master.tick(ms(2_600));
        answerLastHold("t", report(3_600), ms(2_601));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /** Guards against targets that are gone and keep their rows, and against tasks that wait for them without end. */
    @Test
    void the_lease_of_a_silent_target_expires_although_reports_are_still_requested() {
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.DONE, 1_003, ms(3));
        master.targetsListed(ImmutableList.of(target("t", 0), target("u", 0)), ms(10));
        master.tick(ms(10));
        answerLastHold("u", report(7_000), ms(11));

        failHolds("t", 20, 1_300);
        answerLastHold("u", report(8_300), ms(1_310));
        failHolds("t", 1_320, 1_900);
        assertThat(recorder.lastHold("t").deadlineMs()).isEmpty();
        master.targetsListed(ImmutableList.of(target("u", 0)), ms(1_900));
        failHolds("t", 1_910, 3_000);

        int holds = recorder.holdCount("t");
        master.tick(ms(5_000));
        master.tick(ms(6_000));
        assertThat(recorder.holdCount("t")).isEqualTo(holds);
    }

    /** Guards against a start that the earlier life got and the next one carries out before it knows the raised token. */
    @Test
    void an_unanswered_start_is_kept_across_a_target_restart_until_the_next_report() {
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(122));

        master.targetsListed(ImmutableList.of(target("t", 200), target("u", 0)), ms(130));
        master.tick(ms(130));
        answerLastHold("u", report(7_000), ms(131));
        assertThat(recorder.startedRuns).containsExactly(first);

        answerLastHold("t", new HoldReport(20, 200, ImmutableList.of(), ImmutableList.of()), ms(140));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /** Guards against a second run beside one that the next life has started before its restart was noticed. */
    @Test
    void a_confirmed_run_is_kept_across_a_target_restart_until_the_next_report() {
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.DONE, 20, ms(3));

        master.targetsListed(ImmutableList.of(target("t", 200), target("u", 0)), ms(30));
        master.tick(ms(30));
        answerLastHold("u", report(7_000), ms(31));
        assertThat(recorder.startedRuns).containsExactly(first);

        answerLastHold("t", report(48, 200, first), ms(32));
        master.tick(ms(40));
        assertThat(recorder.startedRuns).containsExactly(first);
        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /** Guards against a clock of the earlier life, after which no report of the next one counts as the newest. */
    @Test
    void an_answer_from_before_a_restart_does_not_set_the_clock_of_the_restarted_target() {
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(2));
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.DONE, 500_000, ms(3));
        master.withdraw(new RequestId("east-1", 1, 1), "job", ms(4));
        master.targetsListed(ImmutableList.of(target("t", 200)), ms(5));
        master.tick(ms(5));

        master.stopAnswered("t", first, OrderVerdict.DONE, 500_004, ms(6));
        answerLastHold("t", new HoldReport(20, 200, ImmutableList.of(), ImmutableList.of()), ms(7));
        master.tick(ms(8));

        assertThat(recorder.lastHold("t").deadlineMs().getAsLong()).isLessThan(2_000L);
    }

    /** Guards against orders of before a restart that carry the newest token, because the claim has no higher one left. */
    @Test
    void a_target_for_which_the_claim_has_no_token_left_gets_no_orders_and_is_reported_as_fenced() {
        for (int life = 1; life <= FencingToken.MAX_STEP + 1; life++) {
            master.targetsListed(ImmutableList.of(target("t", life * 100L)), ms(10L * life));
            master.tick(ms(10L * life));
        }
        assertThat(recorder.fenced).isEmpty();
        int holds = recorder.holdCount("t");

        master.targetsListed(ImmutableList.of(target("t", 1_000_000)), ms(5_000));
        master.tick(ms(5_000));

        assertThat(recorder.fenced).containsExactly("t");
        assertThat(recorder.holdCount("t")).isEqualTo(holds);
        master.tick(ms(5_200));
        assertThat(recorder.fenced).hasSize(2);
        assertThat(recorder.holdCount("t")).isEqualTo(holds);
    }

    /** Guards against work that nobody waits for: the restart of a target forgot that a run was being stopped. */
    @Test
    void a_run_of_a_withdrawn_job_is_stopped_after_the_restart_of_its_target() {
        StepSpec second = new StepSpec(
                1, new Capacity(1_000, 1, 0), Duration.ofMillis(800), ImmutableList.of(), Optional.empty(), 9);
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(1));
        master.submit(JobOrders.of(1, "job", second, false), ms(2));
        master.tick(ms(2));
        RunId first = recorder.startedRuns.get(0);
        master.startAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(122));
        master.withdraw(new RequestId("east-1", 1, 1), "job", ms(123));
        assertThat(recorder.stoppedRuns).containsExactly(first);
        master.stopAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(243));

        master.targetsListed(ImmutableList.of(target("t", 200)), ms(250));
        master.tick(ms(250));
        answerLastHold("t", report(20, 200, first), ms(260));
        for (int at = 270; at < 420; at += 10) {
            master.tick(ms(at));
        }
        answerLastHold("t", report(190, 200, first), ms(430));
        for (int at = 440; at < 2_000; at += 10) {
            master.tick(ms(at));
            if (at % 100 == 0) {
                answerLastHold("t", report(190 + at, 200, first), ms(at));
            }
        }

        assertThat(recorder.stoppedRuns.size()).isGreaterThan(1);
    }

    /** Guards against a pool that is claimed anew because a target that is listed again refuses the claim's first token. */
    @Test
    void a_target_that_is_listed_again_gets_no_lower_token() {
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(1));
        RunId first = submitOneTask(ms(2));
        master.startAnswered("t", first, OrderVerdict.DONE, 1_003, ms(3));
        failHolds("t", 10, 3_000);
        long raised = recorder.lastHold("t").fence();
        master.tick(ms(3_200));
        answerLastHold("t", report(4_200, 100), ms(3_201));

        master.targetsListed(ImmutableList.of(), ms(3_300));
        master.tick(ms(3_300));
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(8_000));
        master.tick(ms(8_000));

        assertThat(recorder.lastHold("t").fence()).isAtLeast(raised);
    }

    /** Guards against jobs that are held to their deadline because their order was repeated over a new link. */
    @Test
    void a_queued_job_can_still_be_refused_after_its_order_was_repeated_to_the_same_claim() {
        StepSpec wide = new StepSpec(
                1, new Capacity(2_000, 1, 0), Duration.ofMillis(300), ImmutableList.of(), Optional.empty(), 9);
        master.submit(JobOrders.of(1, "first", wide, false), ms(2));
        master.tick(ms(2));
        master.startAnswered("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 1_003, ms(3));
        master.submit(JobOrders.of(2, "second", wide, false), ms(4));
        master.tick(ms(4));
        assertThat(recorder.results).isEmpty();
        master.submit(JobOrders.of(2, "second", wide, false).with(Duration.ofMillis(1_499), true, false), ms(5));
        for (int at = 10; at < 60_000; at += 10) {
            master.tick(ms(at));
            if (at < 2_000 && at % 100 == 0) {
                answerLastHold("t", report(1_000 + at, 100, recorder.startedRuns.get(0)), ms(at));
            }
        }
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
    }
}
