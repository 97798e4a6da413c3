package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests how a master handles a job that its caller resends while runs of the first request may still exist. */
final class ResentJobTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final PoolId OTHER_POOL = new PoolId("yard", "west");
    private static final StepSpec STEP = new StepSpec(
            1,
            new Capacity(2_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final RecordingPoolActions recorder = new RecordingPoolActions();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static TargetEntry target(String id) {
        return new TargetEntry(
                id,
                0,
                InetSocketAddress.createUnresolved(id, 1),
                POOL,
                false,
                new Capacity(2_000, 100, 0),
                ImmutableSet.of("a"));
    }

    private static RunId firstRunOf(String job) {
        return new RunId(new TaskName(job, 0, 0, 0), 1);
    }

    private static LeaseReport report(long clockMs, RunId... running) {
        ImmutableList.Builder<LeaseReport.RunProgress> runProgress = ImmutableList.builder();
        for (RunId run : running) {
            runProgress.add(new LeaseReport.RunProgress(run, 0));
        }
        return new LeaseReport(clockMs, 0, runProgress.build(), ImmutableList.of());
    }

    private static JobOrder order(long request, String job) {
        return JobOrders.of(request, job, STEP, true);
    }

    private static JobOrder resumedOrder(long request, String job) {
        JobOrder order = order(request, job);
        return order.copyWith(order.remaining(), true, false);
    }

    private PoolMaster masterWithFreeOtherPool(TargetEntry... targets) {
        PoolMaster master = recorder.newMaster(POOL, _order -> Optional.of(OTHER_POOL));
        master.updateTargets(ImmutableList.copyOf(targets), 0);
        master.tick(0);
        return master;
    }

    /** Guards against a redirection, and so a second run in another pool, while this pool has an inherited run. */
    @Test
    void a_job_with_an_inherited_run_is_admitted_although_another_pool_has_free_capacity() {
        PoolMaster master = masterWithFreeOtherPool(target("t"));
        RunId first = firstRunOf("job");
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001, first), ms(1));

        master.submitJob(order(1, "job"), ms(2));
        master.tick(ms(2));

        assertThat(recorder.results).isEmpty();
        master.handleReport(
                "t",
                recorder.takeLastExtensionNumber(),
                new LeaseReport(
                        1_020,
                        0,
                        ImmutableList.of(),
                        ImmutableList.of(new LeaseReport.RunEnd(1, first, LeaseReport.RunOutcome.DONE))),
                ms(20));
        assertThat(recorder.startedRuns).isEmpty();
        assertThat(recorder.results).containsExactly(new JobResult.Complete());
    }

    /**
     * Guards against a redirection, and so a second run in another pool, while the first run is still being stopped.
     */
    @Test
    void a_job_whose_first_run_is_being_stopped_is_admitted_and_starts_when_that_run_has_ended() {
        PoolMaster master = masterWithFreeOtherPool(target("t"));
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001), ms(1));
        master.submitJob(order(1, "job"), ms(2));
        master.tick(ms(2));
        RunId first = recorder.startedRuns.get(0);
        master.handleStartResponse("t", first, OrderVerdict.DONE, 1_003, ms(3));
        master.withdrawRequest(new RequestId("east-1", 1, 1), "job", ms(10));
        recorder.results.clear();

        master.submitJob(order(2, "job"), ms(11));
        master.tick(ms(11));
        assertThat(recorder.results).isEmpty();
        assertThat(recorder.startedRuns).hasSize(1);

        master.handleReport(
                "t",
                recorder.takeLastExtensionNumber(),
                new LeaseReport(
                        1_060,
                        0,
                        ImmutableList.of(),
                        ImmutableList.of(new LeaseReport.RunEnd(1, first, LeaseReport.RunOutcome.STOPPED))),
                ms(60));
        master.tick(ms(60));
        assertThat(recorder.startedRuns).hasSize(2);
        assertThat(recorder.startedRuns.get(1).attempt()).isGreaterThan(first.attempt());
    }

    /** Guards against the result "not run" for a job that has run here for its first request. */
    @Test
    void a_job_that_was_admitted_while_an_earlier_run_may_exist_is_never_refused_as_not_run() {
        PoolMaster master = masterWithFreeOtherPool(target("t"));
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001, firstRunOf("job")), ms(1));
        master.endHandover();
        master.tick(ms(20));
        assertThat(recorder.stoppedRuns).containsExactly(firstRunOf("job"));

        master.submitJob(order(1, "job"), ms(21));
        for (long at = 30; at <= 1_600; at += 10) {
            master.tick(ms(at));
        }

        assertThat(recorder.startedRuns).isEmpty();
        assertThat(recorder.results).hasSize(1);
        assertThat(recorder.results.get(0)).isInstanceOf(JobResult.Abandoned.class);
    }

    /**
     * Guards against a second run: a repeated order for a known job says, unlike the first order, that an earlier
     * master may have started the job.
     */
    @Test
    void a_known_job_that_is_resubmitted_as_resumed_starts_nothing_before_every_target_has_reported() {
        PoolMaster master = recorder.newMaster(POOL);
        master.updateTargets(ImmutableList.of(target("t"), target("u")), 0);
        master.tick(0);
        long extensionNumberOfU = recorder.takeLastExtensionNumber();
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001), ms(1));
        master.submitJob(order(1, "other"), ms(2));
        master.tick(ms(2));
        RunId other = recorder.startedRuns.get(0);
        master.handleStartResponse("t", other, OrderVerdict.DONE, 1_003, ms(3));

        master.submitJob(order(2, "job"), ms(4));
        master.submitJob(resumedOrder(3, "job"), ms(5));
        master.handleReport(
                "t",
                recorder.lastExtension("t").sequenceNumber(),
                new LeaseReport(
                        1_020,
                        0,
                        ImmutableList.of(),
                        ImmutableList.of(new LeaseReport.RunEnd(1, other, LeaseReport.RunOutcome.DONE))),
                ms(20));
        master.tick(ms(20));
        assertThat(recorder.startedRuns).containsExactly(other);

        RunId first = firstRunOf("job");
        master.handleReport("u", extensionNumberOfU, report(501, first), ms(30));
        master.tick(ms(30));
        assertThat(recorder.startedRuns).containsExactly(other);
        assertThat(recorder.stoppedRuns).isEmpty();
        master.endHandover();
        master.tick(ms(60));
        assertThat(recorder.stoppedRuns).isEmpty();
    }

    /**
     * Guards against a second run beside one on a target that is missing from the list only because the store
     * was unreachable.
     */
    @Test
    void a_resumed_job_waits_for_the_lease_time_while_the_target_list_may_be_incomplete() {
        PoolMaster master = recorder.newMaster(POOL, _order -> Optional.empty(), (_since, _now) -> false);
        master.updateTargets(ImmutableList.of(target("t")), 0);
        master.confirmEarlierMastersEnded(0);
        master.tick(0);
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001), ms(1));
        master.submitJob(resumedOrder(1, "job"), ms(2));
        master.tick(ms(2));
        master.tick(ms(1_000));
        assertThat(recorder.startedRuns).isEmpty();

        master.handleReport("t", recorder.takeLastExtensionNumber(), report(2_060), ms(1_060));
        master.tick(ms(1_070));

        assertThat(recorder.startedRuns).hasSize(1);
    }

    /**
     * Guards against a second run beside one on a target that had just registered: the earlier master started tasks
     * there until it ended, and this one has a list that was read before.
     */
    @Test
    void a_resumed_job_waits_until_the_target_list_was_read_after_the_earlier_masters_ended() {
        AtomicLong listReadNanos = new AtomicLong(-1);
        PoolMaster master = recorder.newMaster(
                POOL, _order -> Optional.empty(), (sinceNanos, _now) -> listReadNanos.get() >= sinceNanos);
        master.updateTargets(ImmutableList.of(target("t")), 0);
        master.tick(0);
        master.handleReport("t", recorder.takeLastExtensionNumber(), report(1_001), ms(1));
        master.submitJob(resumedOrder(1, "job"), ms(2));
        master.tick(ms(2));
        assertWithMessage("the list was read before the claim")
                .that(recorder.startedRuns)
                .isEmpty();

        master.confirmEarlierMastersEnded(ms(20));
        listReadNanos.set(ms(10));
        master.tick(ms(30));
        assertWithMessage("the list was read before the earlier master ended")
                .that(recorder.startedRuns)
                .isEmpty();

        listReadNanos.set(ms(21));
        master.tick(ms(40));
        assertThat(recorder.startedRuns).hasSize(1);
    }

    /**
     * Guards against a second run beside one whose lease an earlier master still extends: the earlier master is
     * disconnected from the other hosts but not from its targets, one of which this master can't reach.
     */
    @Test
    void a_resumed_job_waits_for_silent_targets_until_the_earlier_masters_have_ended() {
        PoolMaster master = recorder.newMaster(POOL);
        master.updateTargets(ImmutableList.of(target("t"), target("u")), 0);
        master.tick(0);
        master.handleReportFailure("u", recorder.lastExtension("u").sequenceNumber(), OrderVerdict.UNKNOWN, ms(300));
        master.handleReport("t", recorder.lastExtension("t").sequenceNumber(), report(3_000), ms(2_000));
        master.submitJob(resumedOrder(1, "job"), ms(2_001));
        master.tick(ms(2_001));
        assertThat(recorder.startedRuns).isEmpty();

        master.confirmEarlierMastersEnded(ms(2_010));
        master.handleReport("t", recorder.lastExtension("t").sequenceNumber(), report(4_055), ms(3_055));
        master.tick(ms(3_055));
        assertThat(recorder.startedRuns).isEmpty();
        master.tick(ms(3_070));

        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against inherited runs that hold up the leases of their targets, and so the other runs there. */
    @Test
    void an_inherited_run_that_is_not_handed_over_is_stopped_a_quarter_of_a_lease_after_the_claim() {
        PoolMaster master = recorder.newMaster(POOL);
        master.updateTargets(ImmutableList.of(target("t"), target("late")), 0);
        master.tick(0);
        master.handleReport("t", recorder.lastExtension("t").sequenceNumber(), report(1_100, firstRunOf("a")), ms(100));
        master.tick(ms(240));
        assertThat(recorder.stoppedRuns).isEmpty();
        master.tick(ms(260));
        assertThat(recorder.stoppedRuns).containsExactly(firstRunOf("a"));

        master.handleReport(
                "late", recorder.lastExtension("late").sequenceNumber(), report(1_600, firstRunOf("b")), ms(600));
        master.tick(ms(610));
        assertWithMessage("a run that is reported late is stopped at once")
                .that(recorder.stoppedRuns)
                .contains(firstRunOf("b"));
    }
}
