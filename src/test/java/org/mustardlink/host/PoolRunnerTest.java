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
import org.mustardlink.ownership.NoOpOwnershipActions;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.platform.TargetOrderClient;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobOrders;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.LeaseLimits;
import org.mustardlink.pool.PendingStarts;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.StepSpec;

/** Tests which orders a host accepts for its pools when messages arrive late, repeatedly or out of order. */
final class PoolRunnerTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final PoolId WEST = new PoolId("yard", "west");
    private static final HostInfo SELF = new HostInfo("west-1", "west", 2, "127.0.0.1:1", 750);
    private static final int ROUND = 1;
    private static final int LINES_PER_SECOND = 10;
    /** Number of the last heartbeat that the host has sent when it loses an entry host. */
    private static final long LAST_HEARTBEAT = 7;
    /** Requests of other callers between two orders of a request; a busy host ends as many jobs within a second. */
    private static final int OTHER_REQUEST_COUNT = 2_000;

    private static final JobResult WITHDRAWN = new JobResult.Abandoned("withdrawn");

    private static final StepSpec ONE_TASK = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final List<JobResult> results = new ArrayList<>();
    private Optional<PoolId> poolWithCapacity = Optional.empty();
    private final EventLog log = EventLog.create("west-1", "west", LINES_PER_SECOND);
    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
    private final PoolRunner runner = new PoolRunner(
            new HostLoop(_now -> {}, now -> now, _failure -> {}),
            TargetOrderClient.create(requester),
            new TargetDirectory(log),
            new LeaseLimits(Duration.ofSeconds(1), Duration.ofMillis(1_300)),
            (_request, now) -> now,
            new PendingStarts(),
            log,
            EntryMetrics.create(1, 1),
            (_pool, _round, _request, result) -> results.add(result),
            (_pool, _order) -> poolWithCapacity);

    @BeforeEach
    void acquireBothPools() {
        PoolOwnership ownership = new PoolOwnership(SELF, new NoOpOwnershipActions(), Duration.ofSeconds(1), 0);
        runner.acquire(new Claim(EAST, SELF.id(), SELF.incarnation(), ROUND), ownership, 0);
        runner.acquire(new Claim(WEST, SELF.id(), SELF.incarnation(), ROUND), ownership, 0);
    }

    @AfterEach
    void closeRequester() {
        requester.close();
    }

    /** Returns an order of the entry host east-1, incarnation 1, that a master accepts before it knows any target. */
    private static JobOrder order(long number) {
        return JobOrders.of(number, "job-" + number, ONE_TASK, false).copyWith(Duration.ofMillis(1_500), true, false);
    }

    /** Returns the first order of a request, which a master refuses or redirects as long as it knows no target. */
    private static JobOrder firstOrder(long number) {
        return JobOrders.of(number, "job-" + number, ONE_TASK, true);
    }

    private static RequestId request(long number) {
        return order(number).request();
    }

    private int openJobs(PoolId pool) {
        return runner.load(pool, 0).orElseThrow().openJobs();
    }

    /** Guards against a result under a claim that the entry host does not know: it would ignore that result. */
    @Test
    void an_order_that_was_sent_to_another_claim_of_the_host_is_returned() {
        runner.submit(EAST, ROUND + 1, order(1), 0);

        assertThat(results).containsExactly(new JobResult.Moved());
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /**
     * Guards against the result "not run" for a job that another master has started between two claims of this host.
     */
    @Test
    void a_refusal_is_repeated_under_its_own_claim_only() {
        JobOrder firstOrder = JobOrders.of(1, "job-1", ONE_TASK, false);
        runner.submit(EAST, ROUND, firstOrder, 0);
        runner.submit(EAST, ROUND, firstOrder, 1);
        assertThat(results).hasSize(2);
        assertThat(results.get(1)).isInstanceOf(JobResult.Refused.class);

        runner.release(EAST, "claimed by another host");
        runner.acquire(
                new Claim(EAST, SELF.id(), SELF.incarnation(), ROUND + 2),
                new PoolOwnership(SELF, new NoOpOwnershipActions(), Duration.ofSeconds(1), 0),
                2);
        runner.submit(EAST, ROUND + 2, order(1), 3);

        assertThat(results).hasSize(2);
        assertThat(openJobs(EAST)).isEqualTo(1);
    }

    /** Guards against two runs of a task: its caller may have sent the job again elsewhere after the withdrawal. */
    @Test
    void an_order_that_arrives_after_its_withdrawal_is_answered_but_not_accepted() {
        runner.withdraw(EAST, request(1), "job-1", 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /**
     * Guards against two runs of a task whose request was redirected between pools of this host: the order to the first
     * pool may arrive after the request was withdrawn from the second one.
     */
    @Test
    void an_order_that_arrives_after_the_withdrawal_from_another_pool_is_answered_but_not_accepted() {
        runner.withdraw(WEST, request(1), "job-1", 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against starting a withdrawn job again because no record of its withdrawal was kept. */
    @Test
    void an_order_that_is_repeated_after_its_withdrawal_is_answered_but_not_accepted() {
        runner.submit(EAST, ROUND, order(1), 0);
        assertThat(openJobs(EAST)).isEqualTo(1);
        runner.withdraw(EAST, request(1), "job-1", 1);
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against a withdrawal that affects other requests for the same job: a caller may send the job again. */
    @Test
    void another_request_for_a_withdrawn_job_is_accepted() {
        runner.withdraw(EAST, request(1), "job-1", 0);
        JobOrder resubmitted =
                JobOrders.of(2, "job-1", ONE_TASK, false).copyWith(Duration.ofMillis(1_500), true, false);
        runner.submit(EAST, ROUND, resubmitted, 1);

        assertThat(results).isEmpty();
        assertThat(openJobs(EAST)).isEqualTo(1);
    }

    /** Guards against two runs of a task: callers of a lost entry host send their jobs again through other hosts. */
    @Test
    void an_order_that_arrives_after_the_loss_of_its_entry_host_is_answered_but_not_accepted() {
        runner.handleEntryHostLoss("east-1", 1, LAST_HEARTBEAT, 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against an entry host that was only silent, and whose new jobs would all be answered without a run. */
    @Test
    void after_a_lost_entry_host_is_readmitted_its_new_requests_are_accepted_but_not_the_withdrawn_ones() {
        runner.submit(EAST, ROUND, order(1), 0);
        runner.handleEntryHostLoss("east-1", 1, LAST_HEARTBEAT, 1);
        runner.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1);
        runner.submit(EAST, ROUND, order(1), 2);
        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);

        runner.submit(EAST, ROUND, order(2), 3);
        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(1);
    }

    /**
     * Guards against two runs of a task: its entry host has sent the job to another pool after the refusal, and a master
     * doesn't refuse an order that is repeated over a new link.
     */
    @Test
    void a_refusal_is_repeated_for_an_order_that_is_repeated_over_a_new_link() {
        runner.submit(EAST, ROUND, firstOrder(1), 0);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).hasSize(2);
        assertThat(results.get(0)).isInstanceOf(JobResult.Refused.class);
        assertThat(results.get(1)).isEqualTo(results.get(0));
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against two runs of a task: its entry host has sent the job to the other pool. */
    @Test
    void a_redirection_is_repeated_for_an_order_that_is_repeated_over_a_new_link() {
        poolWithCapacity = Optional.of(WEST);
        runner.submit(EAST, ROUND, firstOrder(1), 0);
        poolWithCapacity = Optional.empty();
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(new JobResult.Redirected(WEST), new JobResult.Redirected(WEST));
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against two runs of a task because a busy host forgets a redirection before the order is repeated. */
    @Test
    void a_redirection_is_repeated_after_the_results_of_many_other_requests() {
        poolWithCapacity = Optional.of(WEST);
        runner.submit(EAST, ROUND, firstOrder(1), 0);
        poolWithCapacity = Optional.empty();
        for (int i = 0; i < OTHER_REQUEST_COUNT; i++) {
            runner.submit(WEST, ROUND, firstOrder(2 + i), 1);
        }
        results.clear();
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(new JobResult.Redirected(WEST));
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against two runs of a task because a busy host forgets a withdrawal before the late order arrives. */
    @Test
    void a_withdrawn_order_is_not_accepted_after_the_withdrawals_of_many_other_requests() {
        runner.withdraw(EAST, request(1), "job-1", 0);
        for (int i = 0; i < OTHER_REQUEST_COUNT; i++) {
            runner.withdraw(WEST, request(2 + i), "job-" + (2 + i), 1);
        }
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /**
     * Guards against two runs of a task: a stalled connection delivers a heartbeat of an ended entry host and the order
     * behind it, while the caller sends the job again through another host.
     */
    @Test
    void an_order_behind_a_late_heartbeat_of_its_lost_entry_host_is_answered_but_not_accepted() {
        runner.handleEntryHostLoss("east-1", 1, LAST_HEARTBEAT, 0);
        runner.readmitEntryHost("east-1", 1, LAST_HEARTBEAT);
        runner.submit(EAST, ROUND, order(1), 1);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /** Guards against two runs of a task because a host of a large fleet forgets which entry hosts were lost. */
    @Test
    void an_order_of_a_lost_entry_host_is_not_accepted_after_the_loss_of_many_others() {
        runner.handleEntryHostLoss("east-1", 1, LAST_HEARTBEAT, 0);
        for (int i = 0; i < OTHER_REQUEST_COUNT; i++) {
            runner.handleEntryHostLoss("north-" + i, 1, LAST_HEARTBEAT, 1);
        }
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }

    /**
     * Guards against a job that runs although no caller waits for it: the entry host has ended the request with the
     * result of the first order, and its caller sends the job again elsewhere.
     */
    @Test
    void an_order_that_was_answered_while_its_entry_host_was_lost_is_not_accepted_when_it_is_repeated() {
        runner.handleEntryHostLoss("east-1", 1, LAST_HEARTBEAT, 0);
        runner.submit(EAST, ROUND, order(1), 1);
        runner.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1);
        runner.submit(EAST, ROUND, order(1), 2);

        assertThat(results).containsExactly(WITHDRAWN, WITHDRAWN);
        assertThat(openJobs(EAST)).isEqualTo(0);
    }
}
