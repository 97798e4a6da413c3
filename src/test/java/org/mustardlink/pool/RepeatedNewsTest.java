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

/** Tests what a master remembers of a target and of a job when news of them comes again. */
final class RepeatedNewsTest {
    private static final PoolId POOL = new PoolId("yard", "east");

    private static final StepSpec ONE_TASK = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final RecordedOrders recorder = new RecordedOrders();
    private final PoolMaster master = recorder.masterOf(POOL);

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

    private static HoldReport report(long clockMs, long bornMs, RunId... running) {
        ImmutableList.Builder<HoldReport.RunProgress> listed = ImmutableList.builder();
        for (RunId run : running) {
            listed.add(new HoldReport.RunProgress(run, 0));
        }
        return new HoldReport(clockMs, bornMs, listed.build(), ImmutableList.of());
    }

    private void answerHold(String target, HoldReport report, long now) {
        master.reported(target, recorder.lastHold(target).number(), report, now);
        master.tick(now);
    }

    private void silence(String target, long fromMs, long untilMs) {
        long answered = 0;
        for (long at = fromMs; at <= untilMs; at += 10) {
            master.tick(ms(at));
            long number = recorder.lastHold(target).number();
            if (number != answered) {
                answered = number;
                master.reportFailed(target, number, OrderVerdict.UNKNOWN, ms(at));
                master.tick(ms(at));
            }
        }
    }

    @BeforeEach
    void takeTheTargetOver() {
        master.targetsListed(ImmutableList.of(target("t", 100)), 0);
        master.tick(0);
        answerHold("t", report(1_000, 100), ms(1));
    }

    /** Guards against work that nobody waits for: the restart of a target forgot that a run was being stopped. */
    @Test
    void a_run_of_a_withdrawn_job_is_stopped_after_the_restart_of_its_target() {
        StepSpec second = new StepSpec(
                1, new Capacity(1_000, 1, 0), Duration.ofMillis(800), ImmutableList.of(), Optional.empty(), 9);
        master.submit(JobOrders.of(1, "job", second, false), ms(2));
        master.tick(ms(2));
        RunId first = recorder.starts.get(0);
        master.startAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(122));
        master.withdraw(new RequestId("east-1", 1, 1), "job", ms(123));
        assertThat(recorder.stops).containsExactly(first);
        master.stopAnswered("t", first, OrderVerdict.UNKNOWN, 0, ms(243));

        master.targetsListed(ImmutableList.of(target("t", 200)), ms(250));
        master.tick(ms(250));
        answerHold("t", report(20, 200, first), ms(260));
        for (int at = 270; at < 420; at += 10) {
            master.tick(ms(at));
        }
        answerHold("t", report(190, 200, first), ms(430));
        for (int at = 440; at < 2_000; at += 10) {
            master.tick(ms(at));
            if (at % 100 == 0) {
                answerHold("t", report(190 + at, 200, first), ms(at));
            }
        }

        assertThat(recorder.stops.size()).isGreaterThan(1);
    }

    /** Guards against a pool that is claimed anew because a target that is listed again refuses the claim's first token. */
    @Test
    void a_target_that_is_listed_again_gets_no_lower_token() {
        master.submit(JobOrders.of(1, "job", ONE_TASK, false), ms(2));
        master.tick(ms(2));
        RunId first = recorder.starts.get(0);
        master.startAnswered("t", first, OrderVerdict.DONE, 1_003, ms(3));
        silence("t", 10, 3_000);
        long raised = recorder.lastHold("t").fence();
        master.tick(ms(3_200));
        answerHold("t", report(4_200, 100), ms(3_201));

        master.targetsListed(ImmutableList.of(), ms(3_300));
        master.tick(ms(3_300));
        master.targetsListed(ImmutableList.of(target("t", 100)), ms(8_000));
        master.tick(ms(8_000));

        assertThat(recorder.lastHold("t").fence()).isAtLeast(raised);
    }

    /** Guards against jobs that are held to their deadline because their order was repeated over a new link. */
    @Test
    void an_order_that_is_repeated_to_the_same_claim_leaves_a_queued_job_refusable() {
        StepSpec wide = new StepSpec(
                1, new Capacity(2_000, 1, 0), Duration.ofMillis(300), ImmutableList.of(), Optional.empty(), 9);
        master.submit(JobOrders.of(1, "first", wide, false), ms(2));
        master.tick(ms(2));
        master.startAnswered("t", recorder.starts.get(0), OrderVerdict.DONE, 1_003, ms(3));
        master.submit(JobOrders.of(2, "second", wide, false), ms(4));
        master.tick(ms(4));
        assertThat(recorder.results).isEmpty();
        master.submit(JobOrders.of(2, "second", wide, false).with(Duration.ofMillis(1_499), true, false), ms(5));
        for (int at = 10; at < 60_000; at += 10) {
            master.tick(ms(at));
            if (at < 2_000 && at % 100 == 0) {
                answerHold("t", report(1_000 + at, 100, recorder.starts.get(0)), ms(at));
            }
        }
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Refused.class);
    }
}
