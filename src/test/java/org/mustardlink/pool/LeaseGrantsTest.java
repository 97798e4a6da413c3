package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Tests that the runs of a request end within the delay after which its caller sends the job again, whoever is the
 * master by then.
 */
final class LeaseGrantsTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final StepSpec STEP = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(800),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);
    private static final RunId FIRST_RUN = new RunId(new TaskName("job", 0, 0, 0), 1);
    private static final long RESEND_DELAY_MS = 1_300;
    /** Slowest clock of a target that the platform allows. */
    private static final double SLOWEST_CLOCK = 0.98;

    private final AtomicLong confirmedNanos = new AtomicLong();
    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PoolMaster master = newMaster();
    private long endNumber;

    private PoolMaster newMaster() {
        recorder.confirmations = (_request, _now) -> confirmedNanos.get();
        PoolMaster created = recorder.newMaster(POOL);
        created.updateTargets(
                ImmutableList.of(new TargetEntry(
                        "t",
                        0,
                        InetSocketAddress.createUnresolved("t", 1),
                        POOL,
                        false,
                        new Capacity(2_000, 100, 0),
                        ImmutableSet.of("a"))),
                0);
        created.tick(0);
        return created;
    }

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the clock of the target, the slowest that the platform allows, at a time of the master. */
    private static long clockMs(long timeMs) {
        return 10_000 + (long) (timeMs * SLOWEST_CLOCK);
    }

    private void reportRunning(long timeMs, RunId... running) {
        ImmutableList.Builder<LeaseReport.RunProgress> progress = ImmutableList.builder();
        for (RunId run : running) {
            progress.add(new LeaseReport.RunProgress(run, (int) (timeMs / 20)));
        }
        master.handleReport(
                "t",
                recorder.lastExtension("t").sequenceNumber(),
                new LeaseReport(clockMs(timeMs), 0, progress.build(), ImmutableList.of()),
                ms(timeMs));
    }

    private OptionalLong lastLeaseDeadlineMs() {
        return recorder.lastExtension("t").leaseDeadlineMs();
    }

    private void startJob() {
        reportRunning(1);
        master.submitJob(JobOrders.of(1, "job", STEP, true), ms(2));
        master.tick(ms(2));
        assertThat(recorder.startedRuns).containsExactly(FIRST_RUN);
        master.handleStartResponse("t", FIRST_RUN, OrderVerdict.DONE, clockMs(3), ms(3));
    }

    /**
     * Guards against a run that goes on beside the second try of its caller: the entry host fell silent, and the master
     * extended the lease until it noticed, so that the lease ended after the caller had sent the job again.
     */
    @Test
    void a_lease_ends_before_a_caller_whose_request_is_no_longer_confirmed_sends_the_job_again() {
        startJob();
        confirmedNanos.set(ms(50));
        long latestDeadlineMs = 0;
        for (long timeMs = 100; timeMs <= 1_300; timeMs += 50) {
            reportRunning(timeMs, FIRST_RUN);
            master.tick(ms(timeMs));
            latestDeadlineMs = Math.max(latestDeadlineMs, lastLeaseDeadlineMs().orElse(0));
        }

        assertThat(latestDeadlineMs).isGreaterThan(clockMs(1_000));
        assertThat(latestDeadlineMs).isLessThan(clockMs(50 + RESEND_DELAY_MS));
    }

    /** Guards against leases that run out although the caller waits. */
    @Test
    void a_lease_is_extended_by_its_full_duration_while_the_request_is_confirmed() {
        startJob();
        confirmedNanos.set(ms(700));
        reportRunning(700, FIRST_RUN);

        assertThat(lastLeaseDeadlineMs().orElseThrow()).isEqualTo(clockMs(700) + 1_000);
    }

    /** Guards against the loss of all runs of a target because one of them has a silent entry host. */
    @Test
    void a_job_whose_entry_host_is_silent_is_stopped_before_the_lease_of_its_target_ends() {
        startJob();
        confirmedNanos.set(ms(10));
        master.tick(ms(1_005));
        assertThat(recorder.stoppedRuns).isEmpty();

        master.tick(ms(1_025));

        assertThat(recorder.stoppedRuns).containsExactly(FIRST_RUN);
        assertThat(recorder.results).hasSize(1);
    }

    /**
     * Guards against an inherited run that goes on beside the second try of its caller: the connection broke with the
     * earlier master's host, and the next master extended the lease while it waited for the job to be handed over.
     */
    @Test
    void the_lease_of_an_earlier_master_is_not_extended_before_its_runs_are_handed_over() {
        reportRunning(100, FIRST_RUN);
        for (long timeMs = 150; timeMs <= 250; timeMs += 50) {
            reportRunning(timeMs, FIRST_RUN);
            assertWithMessage("at " + timeMs + " ms")
                    .that(lastLeaseDeadlineMs())
                    .isEmpty();
        }

        JobOrder order = JobOrders.of(1, "job", STEP, true);
        master.submitJob(order.copyWith(order.remaining(), true, false), ms(250));
        reportRunning(251, FIRST_RUN);

        assertThat(lastLeaseDeadlineMs()).isPresent();
        master.tick(ms(300));
        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /** Guards against a lease that other jobs extend for a run whose stop order was lost. */
    @Test
    void the_lease_of_a_target_is_not_extended_while_a_run_of_a_withdrawn_job_is_there() {
        startJob();
        master.withdrawRequest(JobOrders.of(1, "job", STEP, true).request(), "job", ms(100));
        assertThat(recorder.stoppedRuns).containsExactly(FIRST_RUN);

        reportRunning(110, FIRST_RUN);
        assertThat(lastLeaseDeadlineMs()).isEmpty();
        master.submitJob(JobOrders.of(2, "other", STEP, true), ms(111));
        master.tick(ms(120));
        assertWithMessage("a start would extend the lease, too")
                .that(recorder.startedRuns)
                .containsExactly(FIRST_RUN);

        master.handleReport(
                "t",
                recorder.lastExtension("t").sequenceNumber(),
                new LeaseReport(
                        clockMs(150),
                        0,
                        ImmutableList.of(),
                        ImmutableList.of(
                                new LeaseReport.RunEnd(++endNumber, FIRST_RUN, LeaseReport.RunOutcome.STOPPED))),
                ms(150));
        assertThat(lastLeaseDeadlineMs()).isPresent();
    }

    /** Guards against settings of another deployment for which the periods don't add up to less than its delay. */
    @Test
    void the_periods_add_up_to_less_than_the_resend_delay_of_any_deployment() {
        for (long resendMs : new long[] {400, 700, 1_300, 5_000}) {
            LeaseLimits limits = new LeaseLimits(Duration.ofSeconds(1), Duration.ofMillis(resendMs));
            long confirmed = ms(5_000);
            for (long timeMs = 5_000; timeMs < 5_000 + resendMs; timeMs += 10) {
                long leaseMs = limits.longestLeaseMillis(confirmed, ms(timeMs));
                assertWithMessage("resend delay " + resendMs + " ms, " + timeMs)
                        .that(timeMs + leaseMs / SLOWEST_CLOCK)
                        .isLessThan(5_000.0 + resendMs);
            }
            assertThat(limits.confirmationTimeout()).isLessThan(Duration.ofMillis(resendMs));
        }
    }
}
