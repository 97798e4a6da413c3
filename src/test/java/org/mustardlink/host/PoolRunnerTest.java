package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.ownership.NoOwnershipActions;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.platform.TargetOrderClient;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobOrders;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.StepSpec;

/** Tests which orders a host takes for its pools when messages arrive in another order than they were sent. */
final class PoolRunnerTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final PoolId WEST = new PoolId("yard", "west");
    private static final HostInfo SELF = new HostInfo("west-1", "west", 2, "127.0.0.1:1", 750);
    private static final int ROUND = 1;
    private static final int LINES_PER_SECOND = 10;
    private static final JobResult WITHDRAWN = new JobResult.Abandoned("withdrawn");

    private static final StepSpec ONE_TASK = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final List<JobResult> results = new ArrayList<>();
    private final EventLog log = EventLog.create("west-1", "west", LINES_PER_SECOND);
    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.small());
    private final PoolRunner runner = new PoolRunner(
            new HostLoop(_now -> {}, now -> now, _failure -> {}),
            TargetOrderClient.create(requester),
            new TargetDirectory(log),
            Duration.ofSeconds(1),
            log,
            EntryMetrics.create(1, 1),
            (_pool, _round, _request, result) -> results.add(result),
            (_pool, _order) -> Optional.empty());

    @BeforeEach
    void becomeTheMasterOfBothPools() {
        PoolOwnership ownership = new PoolOwnership(SELF, new NoOwnershipActions(), 0);
        runner.acquire(new Claim(EAST, SELF.id(), SELF.incarnation(), ROUND), ownership, 0);
        runner.acquire(new Claim(WEST, SELF.id(), SELF.incarnation(), ROUND), ownership, 0);
    }

    @AfterEach
    void close() {
        requester.close();
    }

    /** Returns an order of the front east-1, incarnation 1, that a master takes although it knows no target yet. */
    private static JobOrder order(long number) {
        return JobOrders.of(number, "job-" + number, ONE_TASK, false).with(Duration.ofMillis(1_500), true, false);
    }

    private static RequestId request(long number) {
        return order(number).request();
    }

    private int openJobs(PoolId pool) {
        return runner.load(pool, 0).orElseThrow().openJobs();
    }

    /** Guards against a result under a claim that the front doesn't know, which it would pass over. */
    @Test
    void an_order_that_was_sent_to_another_claim_of_the_host_is_handed_back() {
        runner.submit(EAST, ROUND + 1, order(1), 0);

        assertThat(results).containsExactly(new JobResult.Moved());
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against "not run" for a job that another master has started between two claims of this host. */
    @Test
    void a_refusal_is_repeated_under_its_own_claim_only() {
        JobOrder fresh = JobOrders.of(1, "job-1", ONE_TASK, false);
        runner.submit(EAST, ROUND, fresh, 0);
        runner.submit(EAST, ROUND, fresh, 1);
        assertThat(results).hasSize(2);
        assertThat(results.get(1)).isInstanceOf(JobResult.Refused.class);

        runner.release(EAST, "claimed by another host");
        runner.acquire(
                new Claim(EAST, SELF.id(), SELF.incarnation(), ROUND + 2),
                new PoolOwnership(SELF, new NoOwnershipActions(), 0),
                2);
        runner.submit(EAST, ROUND + 2, order(1), 3);

        assertThat(results).hasSize(2);
        assertThat(openJobs(EAST)).isEqualTo(1);
    }

    /** Guards against two runs of a task: its caller has sent the job again elsewhere since the withdrawal. */
    @Test
    void an_order_that_arrives_after_its_withdrawal_is_answered_and_not_taken() {
        runner.withdraw(EAST, request(1), "job-1", 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against a late order of the pool that a request went to before it was pointed to another pool of this host. */
    @Test
    void an_order_that_arrives_after_the_withdrawal_from_another_pool_is_answered_and_not_taken() {
        runner.withdraw(WEST, request(1), "job-1", 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against a job that starts anew because nothing was kept of the one that its withdrawal has ended. */
    @Test
    void an_order_that_is_repeated_after_its_withdrawal_is_answered_and_not_taken() {
        runner.submit(EAST, ROUND, order(1), 0);
        assertThat(openJobs(EAST)).isEqualTo(1);
        runner.withdraw(EAST, request(1), "job-1", 1);
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against a withdrawal that reaches further than its request: a caller may send the job again. */
    @Test
    void another_request_for_a_withdrawn_job_is_taken() {
        runner.withdraw(EAST, request(1), "job-1", 0);
        JobOrder again = JobOrders.of(2, "job-1", ONE_TASK, false).with(Duration.ofMillis(1_500), true, false);
        runner.submit(EAST, ROUND, again, 1);

        assertThat(results).isEmpty();
        assertThat(openJobs(EAST)).isEqualTo(1);
    }

    /** Guards against two runs of a task: the callers of a lost front send their jobs again through other hosts. */
    @Test
    void an_order_that_arrives_after_the_loss_of_its_front_is_answered_and_not_taken() {
        runner.frontLost("east-1", 1, 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against a front that was only silent and whose jobs are answered without a run from then on. */
    @Test
    void a_front_that_is_heard_again_after_its_loss_gets_new_requests_served_and_none_of_the_given_up_ones() {
        runner.submit(EAST, ROUND, order(1), 0);
        runner.frontLost("east-1", 1, 1);
        runner.frontHeard("east-1", 1);
        runner.submit(EAST, ROUND, order(1), 2);
        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);

        runner.submit(EAST, ROUND, order(2), 3);
        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(1);
    }
}
