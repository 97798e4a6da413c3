package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that hosts know of a start without a response until its target refuses it, whichever hosts fail. */
final class PendingStartsTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final TargetEntry TARGET = new TargetEntry(
            "t",
            0,
            InetSocketAddress.createUnresolved("t", 1),
            POOL,
            false,
            new Capacity(2_000, 1_000, 0),
            ImmutableSet.of("a"));

    private static final StepSpec ONE_TASK =
            new StepSpec(1, new Capacity(1_000, 1, 0), Duration.ofMillis(50), ImmutableList.of(), Optional.empty(), 9);
    private static final PendingStart START =
            new PendingStart("t", FencingToken.firstOfRound(1, 1).value(), "job");
    private static final PendingStart OTHER_START = new PendingStart("u", 7, "other");

    private final RecordingPoolActions recorder = new RecordingPoolActions();
    private final PendingStarts pendingStarts = new PendingStarts();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static PendingStartStatement pending(PendingStart... starts) {
        return pendingFor(Duration.ofNanos(PendingStarts.HOLD_NANOS), starts);
    }

    private static PendingStartStatement pendingFor(Duration time, PendingStart... starts) {
        return new PendingStartStatement(
                Maps.toMap(ImmutableList.copyOf(starts), _start -> time), ImmutableList.of(), Duration.ZERO);
    }

    private static PendingStartStatement refused(PendingStart... starts) {
        return new PendingStartStatement(ImmutableMap.of(), ImmutableList.copyOf(starts), Duration.ZERO);
    }

    /** Creates the master of a round, to which the only target has not reported yet. */
    private PoolMaster newMaster(int round, long now) {
        PoolMaster master = new PoolMaster(
                POOL,
                FencingToken.firstOfRound(round, 1),
                new LeaseLimits(Duration.ofSeconds(1), Duration.ofMillis(1_300)),
                recorder.confirmations,
                recorder,
                _order -> Optional.empty(),
                pendingStarts,
                (_since, _now) -> true,
                now);
        master.updateTargets(ImmutableList.of(TARGET), now);
        master.tick(now);
        return master;
    }

    private void answerLastExtension(PoolMaster master, long clockMs, long now) {
        answerLastExtension(master, "t", clockMs, now);
    }

    private void answerLastExtension(PoolMaster master, String target, long clockMs, long now) {
        LeaseReport report = new LeaseReport(clockMs, 0, ImmutableList.of(), ImmutableList.of());
        master.handleReport(target, recorder.lastExtension(target).sequenceNumber(), report, now);
        master.tick(now);
    }

    /** Returns the master of round 1, which has ordered the start of the job's task at 2 ms without a response. */
    private PoolMaster newMasterWithPendingStart() {
        PoolMaster master = newMaster(1, 0);
        answerLastExtension(master, 1_000, ms(1));
        master.submitJob(JobOrders.of(1, "job", ONE_TASK, false), ms(2));
        master.tick(ms(2));
        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.UNKNOWN, 0, ms(122));
        return master;
    }

    private static ImmutableList<PendingStart> statedStarts(List<PendingStartStatement> statements) {
        return statements.stream()
                .flatMap(statement -> statement.pending().keySet().stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Guards against a job that is accepted between two statements of its master, of which one was lost. */
    @Test
    void a_job_is_refused_from_the_first_statement_until_its_start_is_refused() {
        pendingStarts.record(pending(START, OTHER_START), 0);
        pendingStarts.takeDueStatements(ImmutableList.of(), ms(1_400));
        assertThat(pendingStarts.contains("job")).isTrue();
        assertThat(pendingStarts.contains("unknown")).isFalse();

        pendingStarts.record(refused(START), ms(1_500));
        assertThat(pendingStarts.contains("job")).isFalse();
        assertThat(pendingStarts.contains("other")).isTrue();
    }

    /** Guards against a job that is accepted because one of the two targets that may still start it refuses the start. */
    @Test
    void a_job_is_refused_until_its_starts_at_all_targets_are_refused() {
        PendingStart elsewhere = new PendingStart("u", START.fencingToken(), "job");
        pendingStarts.record(pending(START, elsewhere), 0);
        pendingStarts.record(refused(START), ms(1));
        assertThat(pendingStarts.contains("job")).isTrue();

        pendingStarts.record(refused(elsewhere), ms(2));
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /** Guards against a job that is refused for ever, because its target has left for good and no master asks it. */
    @Test
    void a_job_is_accepted_again_some_time_after_the_last_statement() {
        pendingStarts.record(pending(START), 0);
        pendingStarts.record(pending(START), ms(600));

        pendingStarts.takeDueStatements(ImmutableList.of(), ms(600) + PendingStarts.HOLD_NANOS - 1);
        assertThat(pendingStarts.contains("job")).isTrue();
        pendingStarts.takeDueStatements(ImmutableList.of(), ms(600) + PendingStarts.HOLD_NANOS);
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /** Guards against a second run after the end of a master that has known of a start but not stated it yet. */
    @Test
    void a_new_pending_start_is_stated_at_once_and_then_repeated() {
        PoolMaster master = newMasterWithPendingStart();
        pendingStarts.recordOwn(ImmutableList.of(OTHER_START), 0);
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(), ms(100))).hasSize(1);

        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(130)))
                .containsExactly(pending(START));
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(140)))
                .isEmpty();
        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(430))))
                .containsExactly(OTHER_START, START);
    }

    /** Guards against messages that list all known starts to every host whenever one more start is late. */
    @Test
    void many_starts_that_become_pending_one_after_another_are_each_stated_once_per_interval() {
        int jobCount = 20;
        StepSpec smallTask = new StepSpec(
                1, new Capacity(100, 1, 0), Duration.ofMillis(50), ImmutableList.of(), Optional.empty(), jobCount);
        PoolMaster master = newMaster(1, 0);
        answerLastExtension(master, 1_000, ms(1));
        IntStream.range(0, jobCount)
                .forEach(i -> master.submitJob(JobOrders.of(i, "job-" + i, smallTask, false), ms(2)));
        master.tick(ms(2));
        assertThat(recorder.startedRuns).hasSize(jobCount);
        pendingStarts.recordOwn(ImmutableList.of(OTHER_START), 0);
        pendingStarts.takeDueStatements(ImmutableList.of(), ms(100));

        int statedCount = 0;
        for (int i = 0; i < jobCount; i++) {
            master.handleStartResponse("t", recorder.startedRuns.get(i), OrderVerdict.UNKNOWN, 0, ms(122 + i));
            statedCount += statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(122 + i)))
                    .size();
        }

        assertThat(statedCount).isEqualTo(jobCount);
        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(400))))
                .hasSize(jobCount + 1);
    }

    /** Guards against a second run: the master's host ends, and the next master doesn't know of the start. */
    @Test
    void the_next_master_repeats_a_start_until_the_target_has_confirmed_its_token() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(next), ms(500)))
                .containsExactly(pending(START));
        long laterNanos = ms(500) + PendingStarts.HOLD_NANOS / 2;
        pendingStarts.takeDueStatements(ImmutableList.of(next), laterNanos);
        pendingStarts.takeDueStatements(ImmutableList.of(next), laterNanos + PendingStarts.HOLD_NANOS - 1);
        assertThat(pendingStarts.contains("job")).isTrue();

        answerLastExtension(next, 30_000, laterNanos + PendingStarts.HOLD_NANOS);
        assertThat(pendingStarts.takeDueStatements(
                        ImmutableList.of(next), laterNanos + PendingStarts.HOLD_NANOS + ms(300)))
                .containsExactly(refused(START));
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /**
     * Guards against a second run in the pool that was taken over: its leases are over, but a silent target may still
     * carry out a start of the earlier master.
     */
    @Test
    void the_next_master_starts_a_job_with_a_pending_start_only_after_the_target_has_confirmed_its_token() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        TargetEntry other = new TargetEntry(
                "u", 0, InetSocketAddress.createUnresolved("u", 1), POOL, false, TARGET.capacity(), TARGET.labels());
        next.updateTargets(ImmutableList.of(TARGET, other), ms(500));
        pendingStarts.takeDueStatements(ImmutableList.of(next), ms(500));
        next.confirmEarlierMastersEnded(ms(500));
        JobOrder resumed = JobOrders.of(1, "job", ONE_TASK, false).copyWith(Duration.ofSeconds(5), true, false);
        JobOrder unrelated = JobOrders.of(2, "unrelated", ONE_TASK, false).copyWith(Duration.ofSeconds(5), true, false);
        next.submitJob(resumed, ms(1_600));
        next.submitJob(unrelated, ms(1_600));
        next.tick(ms(1_600));
        answerLastExtension(next, "u", 5_000, ms(1_610));
        next.tick(ms(1_620));
        assertThat(recorder.startTargets).containsExactly("u");
        assertThat(recorder.startedRuns.get(0).task().job()).isEqualTo("unrelated");

        answerLastExtension(next, "t", 5_000, ms(1_640));
        next.tick(ms(1_650));
        assertThat(recorder.startedRuns).hasSize(2);
    }

    /**
     * Guards against a second run in a pool whose new master places a job before the pending starts are updated for the
     * first time after its claim.
     */
    @Test
    void a_new_master_knows_the_pending_starts_of_its_host_from_its_first_placement_on() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        TargetEntry other = new TargetEntry(
                "u", 0, InetSocketAddress.createUnresolved("u", 1), POOL, false, TARGET.capacity(), TARGET.labels());
        next.updateTargets(ImmutableList.of(TARGET, other), ms(500));
        next.confirmEarlierMastersEnded(ms(500));
        JobOrder resumed = JobOrders.of(1, "job", ONE_TASK, false).copyWith(Duration.ofSeconds(5), true, false);
        next.submitJob(resumed, ms(1_600));
        next.tick(ms(1_600));
        answerLastExtension(next, "u", 5_000, ms(1_610));
        next.tick(ms(1_620));

        assertThat(recorder.startedRuns).isEmpty();
    }

    /** Guards against a master that was replaced and forgets a start of which it has told nobody yet. */
    @Test
    void a_start_of_a_released_master_is_still_stated() {
        PoolMaster master = newMaster(1, 0);
        answerLastExtension(master, 1_000, ms(1));
        master.submitJob(JobOrders.of(1, "job", ONE_TASK, false), ms(2));
        master.tick(ms(2));
        assertThat(master.pendingStarts()).isEmpty();
        master.release();
        pendingStarts.recordOwn(master.pendingStarts(), ms(50));

        assertThat(pendingStarts.contains("job")).isTrue();
        Duration remaining = Duration.ofNanos(PendingStarts.HOLD_NANOS - ms(10));
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(), ms(60)))
                .containsExactly(pendingFor(remaining, START));
    }

    /** Guards against a second run in a pool that is taken over by a host which has started after the statements. */
    @Test
    void a_host_learns_pending_starts_when_it_is_connected() {
        pendingStarts.record(pending(START), 0);
        PendingStarts ofNewHost = new PendingStarts();
        pendingStarts.known(ms(1_000)).forEach(statement -> ofNewHost.record(statement, ms(1_001)));
        assertThat(ofNewHost.contains("job")).isTrue();

        ofNewHost.takeDueStatements(ImmutableList.of(), ms(2) + PendingStarts.HOLD_NANOS);
        assertThat(ofNewHost.contains("job")).isFalse();
    }

    /**
     * Guards against a second run: a target refuses a start, starts again, and its next process, which knows no fencing
     * token, carries the start out before a report shows the restart, beside a run of the caller's next try.
     */
    @Test
    void a_refused_start_is_pending_again_while_its_target_is_silent() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        answerLastExtension(next, 5_000, ms(510));
        pendingStarts.takeDueStatements(ImmutableList.of(next), ms(600));
        assertThat(pendingStarts.contains("job")).isFalse();

        next.handleReportFailure("t", recorder.lastExtension("t").sequenceNumber(), OrderVerdict.UNKNOWN, ms(700));
        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(next), ms(710))))
                .containsExactly(START);
        assertThat(pendingStarts.contains("job")).isTrue();

        next.tick(ms(810));
        answerLastExtension(next, 5_300, ms(820));
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(next), ms(1_020)))
                .containsExactly(refused(START));
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /** Guards against a second run beside one that the next process of the target has started by a late order. */
    @Test
    void a_refused_start_is_pending_again_while_its_run_is_present_and_belongs_to_no_job() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        answerLastExtension(next, 5_000, ms(510));
        pendingStarts.takeDueStatements(ImmutableList.of(next), ms(600));

        LeaseReport.RunProgress late = new LeaseReport.RunProgress(new RunId(new TaskName("job", 0, 0, 0), 1), 10);
        LeaseReport report = new LeaseReport(5_200, 0, ImmutableList.of(late), ImmutableList.of());
        next.handleReport("t", recorder.lastExtension("t").sequenceNumber(), report, ms(700));

        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(next), ms(710))))
                .containsExactly(START);
    }

    /** Guards against a start that no other host ever hears of, because the target refuses it a moment later. */
    @Test
    void a_start_without_a_response_is_stated_although_its_target_refuses_it_before_the_next_review() {
        PoolMaster master = newMasterWithPendingStart();
        answerLastExtension(master, 1_123, ms(123));
        master.withdrawRequest(JobOrders.of(1, "job", ONE_TASK, false).request(), "job", ms(123));
        master.handleStopResponse("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 1_124, ms(124));
        answerLastExtension(master, 1_126, ms(126));
        assertThat(master.pendingStarts()).isEmpty();

        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(130))))
                .containsExactly(START);
        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(430)))
                .containsExactly(refused(START));
    }

    /** Guards against a job that is never accepted again, because its target is silent from time to time. */
    @Test
    void a_start_that_was_refused_once_is_forgotten_although_its_target_stays_silent() {
        pendingStarts.record(pending(START), 0);
        PoolMaster next = newMaster(2, ms(500));
        answerLastExtension(next, 5_000, ms(510));
        pendingStarts.takeDueStatements(ImmutableList.of(next), ms(600));
        next.handleReportFailure("t", recorder.lastExtension("t").sequenceNumber(), OrderVerdict.UNKNOWN, ms(700));
        pendingStarts.takeDueStatements(ImmutableList.of(next), PendingStarts.HOLD_NANOS - 1);
        assertThat(pendingStarts.contains("job")).isTrue();

        pendingStarts.takeDueStatements(ImmutableList.of(next), PendingStarts.HOLD_NANOS);
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /** Guards against a second run in a pool that is taken over by a host which has started after the refusal. */
    @Test
    void a_host_learns_refused_starts_when_it_is_connected() {
        pendingStarts.record(pending(START), 0);
        pendingStarts.record(refused(START), ms(100));
        PendingStarts ofNewHost = new PendingStarts();
        pendingStarts.known(ms(1_000)).forEach(statement -> ofNewHost.record(statement, ms(1_001)));
        assertThat(ofNewHost.contains("job")).isFalse();

        PoolMaster next = newMaster(2, ms(1_100));
        assertThat(statedStarts(ofNewHost.takeDueStatements(ImmutableList.of(next), ms(1_110))))
                .containsExactly(START);
    }

    /** Guards against a job that stays refused after the target has confirmed or stopped its run. */
    @Test
    void a_start_that_is_confirmed_late_is_refused() {
        PoolMaster master = newMasterWithPendingStart();
        pendingStarts.takeDueStatements(ImmutableList.of(master), ms(130));

        master.handleStartResponse("t", recorder.startedRuns.get(0), OrderVerdict.DONE, 1_200, ms(200));

        assertThat(pendingStarts.takeDueStatements(ImmutableList.of(master), ms(430)))
                .containsExactly(refused(START));
        assertThat(pendingStarts.contains("job")).isFalse();
    }

    /** Guards against a superseded master that settles the start of a later one. */
    @Test
    void a_master_says_nothing_of_starts_under_a_higher_token_than_its_own() {
        PoolMaster master = newMaster(1, 0);
        answerLastExtension(master, 1_000, ms(1));
        long laterToken = FencingToken.firstOfRound(2, 1).value();

        assertThat(master.statusOf(new PendingStart("t", laterToken, "job"))).isEqualTo(PendingStart.Status.UNKNOWN);
        assertThat(master.statusOf(new PendingStart("u", 0, "job"))).isEqualTo(PendingStart.Status.UNKNOWN);
    }

    private static PendingStart startOf(String job) {
        return new PendingStart("u", 7, job);
    }

    private static PendingStart[] startsOf(int firstJob, int count) {
        return IntStream.range(firstJob, firstJob + count)
                .mapToObj(i -> startOf("job-" + i))
                .toArray(PendingStart[]::new);
    }

    /** Guards against messages that grow beyond the limit of a frame, and against own starts of which no other host hears. */
    @Test
    void many_starts_of_this_host_are_all_kept_and_stated_in_several_messages() {
        int count = 2 * PendingStarts.MAX_STARTS;
        pendingStarts.recordOwn(ImmutableList.copyOf(startsOf(0, count)), 0);

        IntStream.range(0, count)
                .forEach(i -> assertThat(pendingStarts.contains("job-" + i)).isTrue());
        List<PendingStartStatement> statements = pendingStarts.takeDueStatements(ImmutableList.of(), ms(1));
        assertThat(statements).hasSize(count / PendingStarts.MAX_STATED);
        statements.forEach(statement -> assertThat(statement.pending().size()).isAtMost(PendingStarts.MAX_STATED));
        assertThat(statedStarts(statements)).containsExactlyElementsIn(startsOf(0, count));
    }

    /**
     * Guards against a second run: so many starts get no response that the first one is forgotten before its caller
     * sends the job again.
     */
    @Test
    void the_first_of_many_starts_is_known_when_its_caller_sends_the_job_again() {
        for (int i = 0; i < 1_300; i++) {
            pendingStarts.record(pending(startsOf(34 * i, 34)), ms(i));
        }

        pendingStarts.takeDueStatements(ImmutableList.of(), ms(1_300));
        assertThat(pendingStarts.contains("job-0")).isTrue();
        assertThat(pendingStarts.contains("job-" + (1_300 * 34 - 1))).isTrue();
    }

    /** Guards against a second run beside a start of this host that the statements of other hosts have displaced. */
    @Test
    void a_start_of_this_host_is_repeated_however_many_starts_other_hosts_state() {
        pendingStarts.recordOwn(ImmutableList.of(START), 0);
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS)), ms(1));

        assertThat(statedStarts(pendingStarts.takeDueStatements(ImmutableList.of(), ms(2))))
                .containsExactly(START);
    }

    /** Guards against a table that grows without limit because hosts state starts faster than they are resolved. */
    @Test
    void a_bounded_number_of_starts_of_other_hosts_is_kept() {
        pendingStarts.record(pending(startsOf(0, 2 * PendingStarts.MAX_STARTS)), 0);

        assertThat(statedStarts(pendingStarts.known(ms(1)))).hasSize(PendingStarts.MAX_STARTS);
    }

    /** Guards against jobs that are never accepted again after too many starts were stated at once. */
    @Test
    void jobs_are_accepted_again_when_the_last_start_that_could_not_be_kept_has_ended() {
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS)), 0);
        pendingStarts.record(pending(startOf("not kept")), ms(100));
        pendingStarts.takeDueStatements(ImmutableList.of(), PendingStarts.HOLD_NANOS);
        assertThat(pendingStarts.contains("not kept")).isTrue();

        pendingStarts.takeDueStatements(ImmutableList.of(), ms(100) + PendingStarts.HOLD_NANOS);
        assertThat(pendingStarts.contains("not kept")).isFalse();
    }

    /** Guards against a second run through a host that has started after more starts were stated than can be kept. */
    @Test
    void a_host_that_is_connected_learns_that_more_starts_are_pending_than_are_kept() {
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS)), 0);
        pendingStarts.record(pending(startOf("not kept")), ms(100));
        PendingStarts ofNewHost = new PendingStarts();
        pendingStarts.known(ms(1_000)).forEach(statement -> ofNewHost.record(statement, ms(1_000)));
        ofNewHost.takeDueStatements(ImmutableList.of(), ms(100) + PendingStarts.HOLD_NANOS - 1);
        assertThat(ofNewHost.contains("not kept")).isTrue();

        ofNewHost.takeDueStatements(ImmutableList.of(), ms(100) + PendingStarts.HOLD_NANOS);
        assertThat(ofNewHost.contains("not kept")).isFalse();
    }

    /** Guards against a second run of a job whose earlier start is one that the host of its next master could not keep. */
    @Test
    void a_master_starts_nothing_while_more_starts_are_pending_than_its_host_keeps() {
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS)), 0);
        pendingStarts.record(pending(START), ms(100));
        long afterKeptNanos = PendingStarts.HOLD_NANOS + ms(1);
        PoolMaster next = newMaster(2, afterKeptNanos);
        pendingStarts.takeDueStatements(ImmutableList.of(next), afterKeptNanos);
        next.submitJob(JobOrders.of(1, "job", ONE_TASK, false), afterKeptNanos);
        answerLastExtension(next, 30_000, afterKeptNanos + ms(10));
        assertThat(recorder.startedRuns).isEmpty();

        pendingStarts.takeDueStatements(ImmutableList.of(next), ms(100) + PendingStarts.HOLD_NANOS);
        next.tick(ms(100) + PendingStarts.HOLD_NANOS);
        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against more starts without a response than the hosts can keep, of which some would be unknown to them. */
    @Test
    void a_master_orders_no_start_until_enough_of_the_starts_that_its_host_knows_are_resolved() {
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS / 2)), 0);
        PoolMaster master = newMaster(1, ms(1));
        pendingStarts.takeDueStatements(ImmutableList.of(master), ms(1));
        answerLastExtension(master, 1_000, ms(2));
        master.submitJob(JobOrders.of(1, "job", ONE_TASK, false), ms(3));
        master.tick(ms(3));
        assertThat(recorder.startedRuns).isEmpty();

        for (long nanos = ms(100); nanos <= PendingStarts.HOLD_NANOS; nanos += ms(100)) {
            answerLastExtension(master, 1_000 + TimeUnit.NANOSECONDS.toMillis(nanos), nanos);
            pendingStarts.takeDueStatements(ImmutableList.of(master), nanos);
        }
        master.submitJob(JobOrders.of(2, "next", ONE_TASK, false), PendingStarts.HOLD_NANOS);
        master.tick(PendingStarts.HOLD_NANOS);
        assertThat(recorder.startedRuns).hasSize(1);
    }

    /** Guards against a second run: a master orders starts without a response faster than the hosts can keep them. */
    @Test
    void a_master_whose_starts_get_no_response_orders_no_more_than_can_be_kept() {
        int room = 100;
        StepSpec smallTask = new StepSpec(
                1, new Capacity(1, 1, 0), Duration.ofMillis(50), ImmutableList.of(), Optional.empty(), 1_000);
        pendingStarts.record(pending(startsOf(0, PendingStarts.MAX_STARTS / 2 - room)), 0);
        PoolMaster master = newMaster(1, 0);
        for (int i = 1; i <= 400; i++) {
            if (i % 10 == 1) {
                pendingStarts.takeDueStatements(ImmutableList.of(master), ms(i));
                answerLastExtension(master, 1_000 + i, ms(i));
            }
            master.submitJob(JobOrders.of(i, "own-" + i, smallTask, false), ms(i));
            master.tick(ms(i));
        }

        assertThat(recorder.startedRuns).hasSize(room);
    }
}
