package org.mustardlink.front;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobOrders;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.StepSpec;

/** Tests how requests are sent to masters, resent, refused and answered. */
final class RequestDispatcherTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final PoolId WEST = new PoolId("yard", "west");
    private static final Claim EAST_MASTER = new Claim(EAST, "east-1", 1, 1);
    private static final Claim EAST_SUCCESSOR = new Claim(EAST, "east-2", 2, 2);
    private static final Claim WEST_MASTER = new Claim(WEST, "west-1", 3, 1);
    private static final PoolId NORTH = new PoolId("yard", "north");
    private static final Claim NORTH_MASTER = new Claim(NORTH, "north-1", 4, 1);
    private static final PoolId SOUTH = new PoolId("yard", "south");
    private static final Claim SOUTH_MASTER = new Claim(SOUTH, "south-1", 5, 1);

    private ImmutableList<PoolId> pools = ImmutableList.of(EAST, WEST);
    private final Map<PoolId, Claim> masters = new HashMap<>();
    private final Map<PoolId, PoolLoad> loads = new HashMap<>();
    private final List<SentOrder> sentOrders = new ArrayList<>();
    private final List<Claim> withdrawn = new ArrayList<>();
    private final List<Claim> superseded = new ArrayList<>();
    private final Map<Long, CallerResponse> responses = new HashMap<>();
    private final RequestDispatcher dispatcher = new RequestDispatcher("east", new Directory(), new Recorder());

    private record SentOrder(Claim master, JobOrder order) {}

    private final class Directory implements PoolDirectory {
        @Override
        public ImmutableList<PoolId> pools(String _service) {
            return pools;
        }

        @Override
        public Optional<Claim> master(PoolId pool, long _now) {
            return Optional.ofNullable(masters.get(pool));
        }

        @Override
        public PoolLoad load(PoolId pool) {
            return loads.getOrDefault(pool, PoolLoad.NONE);
        }
    }

    private final class Recorder implements DispatchActions {
        @Override
        public void submit(Claim master, JobOrder order) {
            sentOrders.add(new SentOrder(master, order));
        }

        @Override
        public void withdraw(Claim master, RequestId _request, String _job) {
            withdrawn.add(master);
        }

        @Override
        public void recordSupersededResult(Claim claim, long _request, JobResult _result) {
            superseded.add(claim);
        }

        @Override
        public void respond(long request, CallerResponse response) {
            responses.put(request, response);
        }
    }

    /** Returns the id of a request of {@link #submit}. */
    private static RequestId request(long number) {
        return new RequestId("east-1", 1, number);
    }

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void submit(long number, long now) {
        submit("job-" + number, number, now);
    }

    private void submit(String job, long number, long now) {
        StepSpec step = new StepSpec(
                1,
                new Capacity(1_000, 0, 0),
                Duration.ofMillis(100),
                ImmutableList.of(),
                Optional.empty(),
                Integer.MAX_VALUE);
        dispatcher.submit(JobOrders.of(number, job, step, true), "yard", now);
    }

    /**
     * Guards against responses that arrive after the callers' deadlines because the next tick is scheduled too late.
     */
    @Test
    void the_next_tick_is_due_before_the_first_deadline() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        long first = sentOrders.get(0).order().remaining().toNanos() - ms(20);
        assertThat(dispatcher.nextTickNanos(0)).isEqualTo(first);
        submit(2, ms(100));
        assertThat(dispatcher.nextTickNanos(ms(100))).isEqualTo(first);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Complete(), ms(150));
        dispatcher.tick(ms(200));

        assertThat(dispatcher.nextTickNanos(ms(200))).isEqualTo(first + ms(100));
        dispatcher.handleResult(request(2), EAST_MASTER, new JobResult.Complete(), ms(250));
        dispatcher.tick(ms(300));
        assertThat(dispatcher.nextTickNanos(ms(300))).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against requests that wait for the next deadline although their pool already has a new master. */
    @Test
    void the_next_tick_is_due_soon_while_a_request_has_no_master() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Moved(), ms(10));
        assertThat(dispatcher.nextTickNanos(ms(10))).isAtMost(ms(30));
        masters.remove(EAST);
        dispatcher.tick(ms(30));
        assertThat(dispatcher.nextTickNanos(ms(30))).isAtMost(ms(50));

        masters.put(EAST, new Claim(EAST, "east-2", 2, 2));
        dispatcher.tick(ms(50));

        assertThat(sentOrders).hasSize(2);
        assertThat(dispatcher.nextTickNanos(ms(50))).isGreaterThan(ms(500));
    }

    /**
     * Guards against refusing callers during a burst in one domain while a pool of another domain has free capacity.
     */
    @Test
    void a_job_refused_by_a_full_pool_is_offered_to_one_with_capacity_before_its_caller_is_refused() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        loads.put(WEST, new PoolLoad(1_000, 1_000, 0));
        submit(1, 0);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(1)), ms(2));

        assertThat(responses).isEmpty();
        assertThat(sentOrders.get(1).master()).isEqualTo(WEST_MASTER);
        assertThat(sentOrders.get(1).order().mayHaveStarted()).isFalse();
        dispatcher.handleResult(request(1), WEST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(1)), ms(5));
        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
    }

    /**
     * Guards against a job that two pools redirect to each other forever: each sends the same result for a resent job.
     */
    @Test
    void a_job_that_was_redirected_and_then_refused_does_not_go_back_to_the_first_pool() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        loads.put(EAST, new PoolLoad(2_000, 500, 3));
        submit(1, 0);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(2));
        dispatcher.handleResult(request(1), WEST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(1)), ms(5));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
        assertThat(sentOrders).hasSize(2);
    }

    /**
     * Guards against connections that close without a response when a request arrives shortly before a
     * planned shutdown.
     */
    @Test
    void a_request_that_a_stopping_host_may_not_answer_in_time_is_refused_immediately() {
        masters.put(EAST, EAST_MASTER);
        dispatcher.scheduleShutdown(ms(5_500));

        submit(1, ms(3_900));
        submit(2, ms(4_100));

        assertThat(sentOrders).hasSize(1);
        assertThat(responses.keySet()).containsExactly(2L);
        assertThat(responses.get(2L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
    }

    /** Guards against connections that close without a response when jobs are still open at the shutdown of a host. */
    @Test
    void a_host_that_shuts_down_answers_every_open_request_and_withdraws_its_jobs() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        dispatcher.shutDown(ms(100));
        submit(2, ms(101));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.MAY_HAVE_RUN);
        assertThat(withdrawn).containsExactly(EAST_MASTER);
        assertThat(responses.get(2L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
    }

    /** Guards against jobs that are offered to one full pool after another while their callers wait. */
    @Test
    void a_job_refused_by_a_full_pool_is_refused_immediately_while_no_other_pool_has_capacity() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        loads.put(WEST, new PoolLoad(999, 999, 5));
        submit(1, 0);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(1)), ms(2));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
    }

    private void giveEveryPoolCapacity() {
        pools = ImmutableList.of(EAST, WEST, NORTH, SOUTH);
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        masters.put(NORTH, NORTH_MASTER);
        masters.put(SOUTH, SOUTH_MASTER);
        for (PoolId pool : pools) {
            loads.put(pool, new PoolLoad(1_000, 1_000, 0));
        }
        loads.put(WEST, new PoolLoad(2_000, 1_000, 0));
        loads.put(NORTH, new PoolLoad(1_500, 1_000, 0));
    }

    /**
     * Guards against refusing callers while a third pool has free capacity, because the known load of the second pool
     * was out of date.
     */
    @Test
    void a_refused_job_is_offered_to_two_other_pools_only_to_start_immediately() {
        giveEveryPoolCapacity();
        submit(1, 0);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(2)), ms(2));
        dispatcher.handleResult(
                request(1), WEST_MASTER, new JobResult.Refused("no room", Duration.ofSeconds(1)), ms(4));

        assertThat(sentOrders).hasSize(3);
        assertThat(sentOrders.get(0).order().mustStartImmediately()).isFalse();
        assertThat(sentOrders.get(1).master()).isEqualTo(WEST_MASTER);
        assertThat(sentOrders.get(1).order().mustStartImmediately()).isTrue();
        assertThat(sentOrders.get(2).master()).isEqualTo(NORTH_MASTER);
        assertThat(sentOrders.get(2).order().mustStartImmediately()).isTrue();
        assertThat(responses).isEmpty();
    }

    /**
     * Guards against a job that is offered to ever more pools while its caller waits, and against a retry delay that
     * comes from a pool of another domain.
     */
    @Test
    void a_job_that_two_other_pools_have_no_capacity_for_is_refused_with_the_reason_of_the_first_pool() {
        giveEveryPoolCapacity();
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(2)), ms(2));
        dispatcher.handleResult(
                request(1), WEST_MASTER, new JobResult.Refused("no room", Duration.ofSeconds(1)), ms(4));

        dispatcher.handleResult(
                request(1), NORTH_MASTER, new JobResult.Refused("no room", Duration.ofSeconds(1)), ms(6));

        assertThat(sentOrders).hasSize(3);
        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
        assertThat(responses.get(1L).reason()).isEqualTo("full");
        assertThat(responses.get(1L).retryAfter()).hasValue(Duration.ofSeconds(2));
    }

    /** Guards against a second run: a master that is lost may have accepted the job that was offered to it. */
    @Test
    void an_offered_job_whose_master_is_lost_is_resent_to_the_next_master_as_possibly_started() {
        giveEveryPoolCapacity();
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Refused("full", Duration.ofSeconds(2)), ms(2));

        masters.put(WEST, new Claim(WEST, "west-2", 7, 2));
        dispatcher.tick(ms(100));

        assertThat(sentOrders).hasSize(3);
        assertThat(sentOrders.get(2).order().mayHaveStarted()).isTrue();
        assertThat(sentOrders.get(2).order().mustStartImmediately()).isFalse();
    }

    @Test
    void a_job_goes_to_the_pool_of_its_own_domain() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);

        submit(1, 0);

        assertThat(sentOrders.get(0).master()).isEqualTo(EAST_MASTER);
        assertThat(sentOrders.get(0).order().mayRedirect()).isTrue();
    }

    @Test
    void a_job_goes_to_another_domain_while_its_own_has_no_master() {
        masters.put(WEST, WEST_MASTER);

        submit(1, 0);

        assertThat(sentOrders.get(0).master()).isEqualTo(WEST_MASTER);
    }

    /**
     * Guards against two concurrent runs of a job: only the next master of the same pool learns which tasks
     * are running.
     */
    @Test
    void a_job_whose_master_is_lost_waits_for_the_next_master_of_the_same_pool() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        submit(1, 0);

        masters.remove(EAST);
        dispatcher.tick(ms(100));
        assertThat(sentOrders).hasSize(1);
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(200));

        assertThat(sentOrders.get(1).master()).isEqualTo(EAST_SUCCESSOR);
        assertThat(sentOrders.get(1).order().mayHaveStarted()).isTrue();
        assertThat(sentOrders.get(1).order().remaining()).isEqualTo(Duration.ofMillis(1_300));
    }

    /** Guards against first runs in two pools: a master that hands a job back may have started some of its tasks. */
    @Test
    void a_job_that_its_master_hands_back_waits_for_the_next_master_of_the_same_pool() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        submit(1, 0);

        masters.remove(EAST);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Moved(), ms(1));
        dispatcher.tick(ms(60));
        assertThat(sentOrders).hasSize(1);
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(80));

        assertThat(sentOrders).hasSize(2);
        assertThat(sentOrders.get(1).master()).isEqualTo(EAST_SUCCESSOR);
        assertThat(sentOrders.get(1).order().mayHaveStarted()).isTrue();
    }

    /** Guards against a message storm between an entry host and a host that is no longer the master. */
    @Test
    void a_job_is_resent_to_a_host_that_has_denied_being_the_master_only_after_a_pause() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);

        for (int i = 0; i < 10; i++) {
            dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Moved(), ms(i));
            dispatcher.tick(ms(i));
        }
        assertThat(sentOrders).hasSize(1);
        dispatcher.tick(ms(60));
        assertThat(sentOrders).hasSize(2);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Moved(), ms(61));
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(62));

        assertThat(sentOrders).hasSize(3);
    }

    @Test
    void a_redirected_job_goes_to_the_other_pool_and_may_not_move_again() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        submit(1, 0);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(1));

        assertThat(sentOrders.get(1).master()).isEqualTo(WEST_MASTER);
        assertThat(sentOrders.get(1).order().mayRedirect()).isFalse();
        assertThat(sentOrders.get(1).order().mayHaveStarted()).isFalse();
    }

    private void redirectToPoolWithoutMaster() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(1));
        dispatcher.tick(ms(20));
        assertThat(sentOrders).hasSize(1);
        assertThat(responses).isEmpty();
    }

    /** Guards against jobs that go back and forth forever between an entry host and a master that redirects them. */
    @Test
    void a_job_that_is_redirected_to_a_pool_without_a_master_is_refused_soon_and_does_not_go_back() {
        redirectToPoolWithoutMaster();

        dispatcher.tick(ms(300));

        assertThat(sentOrders).hasSize(1);
        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
    }

    /** Guards against callers that are refused because of a planned handover in the pool with free capacity. */
    @Test
    void a_job_that_is_redirected_to_a_pool_without_a_master_waits_for_the_next_master() {
        redirectToPoolWithoutMaster();

        masters.put(WEST, WEST_MASTER);
        dispatcher.tick(ms(40));

        assertThat(sentOrders.get(1).master()).isEqualTo(WEST_MASTER);
        assertThat(sentOrders.get(1).order().mayHaveStarted()).isFalse();
    }

    /**
     * Guards against a second run in another pool: a resent job makes the master of the first pool redirect it again.
     */
    @Test
    void further_results_of_a_pool_that_has_redirected_the_job_are_ignored() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(1));
        masters.remove(WEST);

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(2));
        dispatcher.tick(ms(3));

        assertThat(sentOrders).hasSize(2);
        assertThat(responses).isEmpty();
    }

    private void replaceMasterOfEast() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        loads.put(WEST, new PoolLoad(1_000, 1_000, 0));
        submit(1, 0);
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(600));
        assertThat(sentOrders).hasSize(2);
    }

    /** Guards against a second run in another pool: a slow master may redirect a job that its successor has started. */
    @Test
    void a_redirection_by_a_replaced_master_is_ignored() {
        replaceMasterOfEast();

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Redirected(WEST), ms(610));

        assertThat(sentOrders).hasSize(2);
        assertThat(superseded).containsExactly(EAST_MASTER);
    }

    /** Guards against a second run in another pool, and against NOT_RUN for a job that the next master has started. */
    @Test
    void a_refusal_by_a_replaced_master_is_ignored() {
        replaceMasterOfEast();

        dispatcher.handleResult(
                request(1), EAST_MASTER, new JobResult.Refused("too late", Duration.ofSeconds(1)), ms(610));

        assertThat(sentOrders).hasSize(2);
        assertThat(responses).isEmpty();
    }

    /**
     * Guards against a run under the next master that continues next to the caller's second attempt, because a replaced
     * master has abandoned the job.
     */
    @Test
    void a_job_that_a_replaced_master_abandons_continues_under_the_next_master() {
        replaceMasterOfEast();

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Abandoned("the entry host is gone"), ms(610));

        assertThat(responses).isEmpty();
        dispatcher.handleResult(request(1), EAST_SUCCESSOR, new JobResult.Complete(), ms(700));
        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.COMPLETE);
    }

    /** Guards against a completed job that isn't reported to its caller, and against further work for it. */
    @Test
    void a_job_that_a_replaced_master_has_completed_is_complete_and_withdrawn_from_the_next_master() {
        replaceMasterOfEast();

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Complete(), ms(610));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.COMPLETE);
        assertThat(withdrawn).containsExactly(EAST_SUCCESSOR);
    }

    @Test
    void a_request_without_any_master_is_refused_soon_as_not_run() {
        submit(1, 0);

        dispatcher.tick(ms(100));
        assertThat(responses).isEmpty();
        dispatcher.tick(ms(300));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.NOT_RUN);
        assertThat(responses.get(1L).retryAfter()).isPresent();
    }

    /** Guards against a wrong NOT_RUN: the lost master may have started tasks. */
    @Test
    void a_request_whose_master_stays_lost_is_never_reported_as_not_run() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        masters.remove(EAST);

        dispatcher.tick(ms(1_490));

        assertThat(responses.get(1L).kind()).isEqualTo(CallerResponse.Kind.TIMED_OUT);
    }

    /**
     * Guards against a run that goes on beside the second try of its caller: the job was withdrawn from the new master
     * only, while the earlier one, which the other hosts didn't reach, still extended the leases of some targets.
     */
    @Test
    void the_job_of_a_caller_that_disconnects_is_withdrawn_from_a_replaced_master_as_well() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(10));

        dispatcher.handleCallerGone(1);

        assertThat(withdrawn).containsExactly(EAST_MASTER, EAST_SUCCESSOR);
    }

    /** Guards against messages to masters that have already ended the job. */
    @Test
    void a_job_is_not_withdrawn_from_a_master_that_has_handed_it_back() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Moved(), ms(5));
        masters.put(EAST, EAST_SUCCESSOR);
        dispatcher.tick(ms(10));

        dispatcher.handleCallerGone(1);

        assertThat(withdrawn).containsExactly(EAST_SUCCESSOR);
    }

    @Test
    void the_job_of_a_caller_that_disconnects_is_withdrawn() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);

        dispatcher.handleCallerGone(1);

        assertThat(withdrawn).containsExactly(EAST_MASTER);
        assertThat(dispatcher.openRequestCount()).isEqualTo(0);
        assertThat(responses).isEmpty();
    }

    @Test
    void jobs_are_resent_when_the_connection_to_the_master_is_replaced() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);

        dispatcher.resendOrders("west-1", ms(10));
        dispatcher.resendOrders("east-1", ms(20));

        assertThat(sentOrders).hasSize(2);
    }

    /**
     * Guards against two concurrent runs of a task: a caller that has lost its connection resends the job while the
     * first run continues, and only the shard that has the job recognizes it.
     */
    @Test
    void a_resent_job_goes_to_the_same_shard() {
        ImmutableList.Builder<PoolId> shards = ImmutableList.builder();
        for (int shard = 0; shard < 4; shard++) {
            PoolId pool = new PoolId("yard", "east", shard, 4);
            shards.add(pool);
            masters.put(pool, new Claim(pool, "east-" + shard, 1, 1));
        }
        pools = shards.build();
        for (int job = 0; job < 20; job++) {
            submit("job-" + job, 2L * job, 0);
            submit("job-" + job, 2L * job + 1, ms(1));
            assertThat(sentOrders.get(2 * job).master())
                    .isEqualTo(sentOrders.get(2 * job + 1).master());
        }
        assertThat(sentOrders.stream().map(SentOrder::master).distinct().count())
                .isEqualTo(4);
    }

    /**
     * Guards against a first run that continues next to the second attempt, because the master was silent when the
     * caller disconnected.
     */
    @Test
    void the_job_of_a_caller_that_disconnects_while_no_master_is_known_is_withdrawn_from_the_last_master() {
        masters.put(EAST, EAST_MASTER);
        submit(1, 0);
        masters.remove(EAST);
        dispatcher.tick(ms(600));

        dispatcher.handleCallerGone(1);

        assertThat(withdrawn).containsExactly(EAST_MASTER);
    }

    /**
     * Guards against two runs of a task: a master refuses a request of this host's earlier process, and a request of the
     * present one that has the same number goes to another pool while the first pool runs it.
     */
    @Test
    void a_result_for_a_request_of_an_earlier_process_with_the_same_number_is_ignored() {
        masters.put(EAST, EAST_MASTER);
        masters.put(WEST, WEST_MASTER);
        submit(1, 0);
        RequestId ofEarlierProcess = new RequestId("east-1", 0, 1);

        dispatcher.handleResult(ofEarlierProcess, EAST_MASTER, new JobResult.Redirected(WEST), ms(1));
        dispatcher.handleResult(ofEarlierProcess, EAST_MASTER, new JobResult.Complete(), ms(2));

        assertThat(sentOrders).hasSize(1);
        assertThat(superseded).isEmpty();
        assertThat(responses).isEmpty();

        dispatcher.handleResult(request(1), EAST_MASTER, new JobResult.Complete(), ms(3));
        assertThat(responses).hasSize(1);
    }
}
