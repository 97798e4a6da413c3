package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests for how long a host keeps what it needs to recognize orders that arrive late or repeatedly. */
final class OrderAdmissionTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final PoolId WEST = new PoolId("yard", "west");
    private static final int ROUND = 1;
    private static final OptionalInt MASTER = OptionalInt.of(ROUND);
    private static final JobResult REDIRECTED = new JobResult.Redirected(WEST);
    private static final JobResult WITHDRAWN = new JobResult.Abandoned("withdrawn");
    private static final Duration CALLER_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration CALL_INTERVAL = Duration.ofMillis(100);
    /** Number of the last heartbeat that the host has sent when it loses an entry host. */
    private static final long LAST_HEARTBEAT = 7;

    private static final StepSpec ONE_TASK = new StepSpec(
            1,
            new Capacity(1_000, 1, 0),
            Duration.ofMillis(50),
            ImmutableList.of(),
            Optional.empty(),
            Integer.MAX_VALUE);

    private final OrderAdmission admission = new OrderAdmission(0);
    private long now;

    private static JobOrder order(long number) {
        return JobOrders.of(number, "job-" + number, ONE_TASK, true);
    }

    /** Returns the order as an entry host repeats it some time later. */
    private static JobOrder repeatedOrder(long number, Duration later) {
        return order(number).copyWith(CALLER_TIMEOUT.minus(later), true, false);
    }

    private Optional<JobResult> admit(JobOrder order) {
        return admission.admit(EAST, ROUND, MASTER, order, now);
    }

    /** Lets time pass on a host that runs, and therefore handles events all the time. */
    private void run(Duration duration) {
        long endNanos = now + duration.toNanos();
        while (now < endNanos) {
            now = Math.min(endNanos, now + CALL_INTERVAL.toNanos());
            admission.expire(now);
        }
    }

    /** Guards against a repeated order that is judged anew although its request is still open at its entry host. */
    @Test
    void a_result_is_repeated_until_the_last_order_of_the_request_can_arrive() {
        assertThat(admit(order(1))).isEmpty();
        admission.recordResult(EAST, ROUND, order(1).request(), REDIRECTED);
        run(CALLER_TIMEOUT.plus(OrderAdmission.MAX_TRANSIT).minusMillis(1));

        assertThat(admit(repeatedOrder(1, CALLER_TIMEOUT))).hasValue(REDIRECTED);
    }

    /** Guards against a withdrawn request whose order is in transit for long. */
    @Test
    void a_withdrawal_is_kept_while_an_order_of_the_request_can_be_in_transit() {
        admission.recordWithdrawal(order(1).request());
        run(OrderAdmission.MAX_TRANSIT.minusMillis(1));

        assertThat(admit(order(1))).hasValue(WITHDRAWN);
    }

    /**
     * Guards against a request of an entry host that was only silent: it stays open there, and its order is repeated
     * until its deadline.
     */
    @Test
    void a_request_that_was_withdrawn_with_its_entry_host_stays_withdrawn_until_its_last_order_can_arrive() {
        assertThat(admit(order(1))).isEmpty();
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT);
        admission.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1);
        run(CALLER_TIMEOUT.plus(OrderAdmission.MAX_TRANSIT).minusMillis(1));

        assertThat(admit(repeatedOrder(1, CALLER_TIMEOUT))).hasValue(WITHDRAWN);
    }

    /**
     * Guards against two runs of a task: a stalled connection delivers a heartbeat of an ended entry host and the order
     * behind it, while the caller sends the job again through another host.
     */
    @Test
    void an_order_behind_a_heartbeat_that_was_written_before_the_loss_of_its_sender_is_not_accepted() {
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT);
        assertThat(admission.readmitEntryHost("east-1", 1, LAST_HEARTBEAT)).isFalse();

        assertThat(admit(order(1))).hasValue(WITHDRAWN);
    }

    /** Guards against an entry host that was only silent, and whose new jobs would all be answered without a run. */
    @Test
    void a_lost_entry_host_is_readmitted_when_it_has_seen_a_heartbeat_that_was_sent_after_the_loss() {
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT);
        assertThat(admission.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1)).isTrue();

        assertThat(admit(order(1))).isEmpty();
    }

    /** Guards against an entry host that is lost again and readmitted by what it had seen before. */
    @Test
    void an_entry_host_that_is_lost_again_is_not_readmitted_by_an_acknowledgment_from_before() {
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT);
        admission.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1);
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT + 1);
        assertThat(admission.readmitEntryHost("east-1", 1, LAST_HEARTBEAT + 1)).isFalse();

        assertThat(admit(order(1))).hasValue(WITHDRAWN);
    }

    /** Guards against an order that lay in the socket of a frozen host and is judged anew when the host continues. */
    @Test
    void the_time_for_which_the_host_was_frozen_does_not_count() {
        assertThat(admit(order(1))).isEmpty();
        admission.recordResult(EAST, ROUND, order(1).request(), REDIRECTED);
        admission.recordWithdrawal(order(2).request());
        now += Duration.ofMinutes(1).toNanos();
        admission.expire(now);

        assertThat(admit(repeatedOrder(1, Duration.ofMillis(1)))).hasValue(REDIRECTED);
        assertThat(admit(order(2))).hasValue(WITHDRAWN);
    }

    /** Guards against memory that grows with every request that a host has ever answered. */
    @Test
    void nothing_is_kept_when_no_order_can_arrive_any_more() {
        assertThat(admit(order(1))).isEmpty();
        admission.recordResult(EAST, ROUND, order(1).request(), REDIRECTED);
        admission.recordWithdrawal(order(2).request());
        admission.recordWithdrawal(order(2).request());
        admission.recordEntryHostLoss("east-1", 1, LAST_HEARTBEAT);
        run(CALLER_TIMEOUT.plus(OrderAdmission.MAX_TRANSIT));
        assertThat(admission.keptCount()).isEqualTo(1);

        run(OrderAdmission.LOST_ENTRY_HOST_RETENTION);
        assertThat(admission.keptCount()).isEqualTo(0);
    }
}
