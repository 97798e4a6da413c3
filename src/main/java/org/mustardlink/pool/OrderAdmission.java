package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Decides whether a host passes an order to the master of a pool or answers it without the master. One instance serves
 * all pools of a host. Not thread-safe.
 *
 * <p>An entry host repeats its orders when a link is replaced. So an order may arrive when the master has already given
 * a result for it, upon which the entry host may have sent the job to another pool, and when its request has been
 * withdrawn. A repeated order says that an earlier master may have started tasks of the job, which the master can't
 * refuse. The host therefore keeps the results and withdrawals of a request as long as an order for it can arrive:
 * entry hosts send orders until the deadline of the request, and an order is in transit for {@link #MAX_TRANSIT} at
 * most.
 *
 * <p>What is kept expires by a clock that stands still while the host is frozen, because orders that have arrived
 * meanwhile are handled afterwards.
 */
public final class OrderAdmission {
    /**
     * Longest time from the sending of an order to its arrival at a host that isn't frozen. TCP retransmits data for
     * seconds after a network partition, unless the connection is replaced earlier.
     */
    static final Duration MAX_TRANSIT = Duration.ofSeconds(10);
    /**
     * Time for which a lost entry host is kept that doesn't send heartbeats again. Its orders may lie in a connection
     * until TCP gives the connection up, which takes about a quarter of an hour.
     */
    static final Duration LOST_ENTRY_HOST_RETENTION = Duration.ofHours(1);
    /** Longest time between two calls of {@link #expire} that counts; a longer one shows that the host was frozen. */
    static final Duration MAX_EXPIRY_INTERVAL = Duration.ofMillis(500);

    private static final JobResult WITHDRAWN = new JobResult.Abandoned("withdrawn");

    /** The orders that masters of this host have taken and not answered. */
    private final Map<RequestId, OpenOrder> openOrders = new HashMap<>();

    private final ExpiringMap<ResultKey, SentResult> results = new ExpiringMap<>();
    /** Requests that no caller waits for any more, with the result that their orders get. */
    private final ExpiringMap<RequestId, JobResult> withdrawnRequests = new ExpiringMap<>();
    /**
     * Incarnations of entry hosts that were lost and not readmitted, with the number of the last heartbeat that this
     * host had sent at the loss.
     */
    private final ExpiringMap<EntryHostIncarnation, Long> lostEntryHosts = new ExpiringMap<>();

    private long lastExpiryNanos;
    /** Time for which the host has run, without the time for which it was frozen. */
    private long clockNanos;

    /**
     * An order that a master has taken.
     *
     * @param admittedNanos when the order arrived
     * @param deadlineNanos deadline of the request, by {@link #clockNanos}; not earlier than the entry host's own
     */
    private record OpenOrder(long admittedNanos, long deadlineNanos) {}

    /** One incarnation of an entry host. */
    private record EntryHostIncarnation(String host, long incarnation) {}

    /** Key of a result: the pool whose master gave it, and the request. */
    private record ResultKey(PoolId pool, RequestId request) {}

    /** A result, and the round of the claim under which it was given. */
    private record SentResult(int round, JobResult result) {
        /**
         * Returns whether the result is valid for an order that was sent to the claim of the given round. A result that
         * says that nothing of the job was started is valid for its own claim only: after that claim, another master
         * may have started tasks of the job.
         */
        private boolean isValidFor(int claimRound) {
            boolean reportsNotStarted = result instanceof JobResult.Refused || result instanceof JobResult.Redirected;
            return claimRound == round || !reportsNotStarted;
        }
    }

    /**
     * Creates an instance without orders.
     *
     * @param now the current time
     */
    public OrderAdmission(long now) {
        this.lastExpiryNanos = now;
    }

    /**
     * Decides about an order. An order that already has a result gets the same result again. An order of a withdrawn
     * request gets a result and starts nothing, because the caller may have sent the job again elsewhere. An order that
     * was sent to another claim is returned, because its entry host doesn't know under which claim the job would run.
     *
     * @param pool the pool to which the order was sent
     * @param round round of the claim to which the order was sent
     * @param masterRound round of the claim under which this host is the master of the pool; empty if it isn't
     * @return the result with which the order is answered; empty if the master has to take it
     */
    public Optional<JobResult> admit(PoolId pool, int round, OptionalInt masterRound, JobOrder order, long now) {
        RequestId request = order.request();
        Optional<SentResult> sent =
                results.get(new ResultKey(pool, request)).filter(result -> result.isValidFor(round));
        if (sent.isPresent()) {
            return sent.map(SentResult::result);
        }
        Optional<JobResult> withdrawal = withdrawalOf(order);
        if (withdrawal.isPresent()) {
            return withdrawal;
        }
        if (masterRound.isEmpty() || masterRound.getAsInt() != round) {
            return Optional.of(new JobResult.Moved());
        }
        openOrders.putIfAbsent(request, new OpenOrder(now, deadlineNanos(order)));
        return Optional.empty();
    }

    /** Returns the result for an order whose request no caller waits for any more; empty if one may wait. */
    private Optional<JobResult> withdrawalOf(JobOrder order) {
        RequestId request = order.request();
        if (isLost(request.host(), request.incarnation())) {
            // If the entry host was only silent, it ends the request with this result and may already have repeated
            // the order.
            withdrawnRequests.put(request, WITHDRAWN, deadlineNanos(order) + MAX_TRANSIT.toNanos());
        }
        return withdrawnRequests.get(request);
    }

    private boolean isLost(String host, long incarnation) {
        return lostEntryHosts.get(new EntryHostIncarnation(host, incarnation)).isPresent();
    }

    private long deadlineNanos(JobOrder order) {
        return clockNanos + order.remaining().toNanos();
    }

    /** Returns when the order of a request was admitted; empty if it has a result or was withdrawn. */
    public OptionalLong admittedNanos(RequestId request) {
        OpenOrder order = openOrders.get(request);
        return order == null ? OptionalLong.empty() : OptionalLong.of(order.admittedNanos());
    }

    /**
     * Records the result that the master of a pool gives for a request, which repeated orders get as well.
     * {@link JobResult.Moved} isn't repeated: the order may be sent to the same claim again.
     *
     * @param round round of the claim under which the result is given
     */
    public void recordResult(PoolId pool, int round, RequestId request, JobResult result) {
        checkNotNull(result, "result");
        long expiryNanos = expiryNanos(openOrders.remove(request));
        if (!(result instanceof JobResult.Moved)) {
            results.put(new ResultKey(pool, request), new SentResult(round, result), expiryNanos);
        }
    }

    /** Records that no caller waits for a request any more, whether its order has arrived or not. */
    public void recordWithdrawal(RequestId request) {
        withdrawnRequests.put(request, WITHDRAWN, expiryNanos(openOrders.remove(request)));
    }

    /**
     * Withdraws the requests of a lost entry host: all whose orders have arrived, and those whose orders arrive before
     * {@link #readmitEntryHost} accepts the entry host again.
     *
     * @param lastSentHeartbeat number of the last heartbeat that this host has sent to any host; numbers rise within
     *     this host's process
     */
    public void recordEntryHostLoss(String host, long incarnation, long lastSentHeartbeat) {
        for (Iterator<Map.Entry<RequestId, OpenOrder>> orders =
                        openOrders.entrySet().iterator();
                orders.hasNext(); ) {
            Map.Entry<RequestId, OpenOrder> order = orders.next();
            RequestId request = order.getKey();
            if (request.host().equals(host) && request.incarnation() == incarnation) {
                orders.remove();
                withdrawnRequests.put(request, WITHDRAWN, expiryNanos(order.getValue()));
            }
        }
        lostEntryHosts.put(
                new EntryHostIncarnation(host, incarnation),
                lastSentHeartbeat,
                clockNanos + LOST_ENTRY_HOST_RETENTION.toNanos());
    }

    /**
     * Accepts new requests of a lost entry host that had only been silent. That a heartbeat of it arrives doesn't show
     * this, because a stalled connection may deliver the heartbeat long after the end of its sender. Only a process
     * that has outlived the loss can acknowledge a heartbeat that was sent to it afterwards.
     *
     * @param acknowledgedHeartbeat highest number of a heartbeat of this host that the entry host has acknowledged
     * @return whether the entry host was lost and is accepted from now on
     */
    @CanIgnoreReturnValue
    public boolean readmitEntryHost(String host, long incarnation, long acknowledgedHeartbeat) {
        EntryHostIncarnation entryHost = new EntryHostIncarnation(host, incarnation);
        boolean readmitted = lostEntryHosts
                .get(entryHost)
                .filter(lastSentHeartbeat -> acknowledgedHeartbeat > lastSentHeartbeat)
                .isPresent();
        if (readmitted) {
            lostEntryHosts.remove(entryHost);
        }
        return readmitted;
    }

    /**
     * Returns the time until which an order for a request can arrive.
     *
     * @param order the open order of the request, null if there is none; then the entry host has withdrawn the request
     *     and sends no order for it any more
     */
    private long expiryNanos(OpenOrder order) {
        long lastSentNanos = order == null ? clockNanos : Math.max(clockNanos, order.deadlineNanos());
        return lastSentNanos + MAX_TRANSIT.toNanos();
    }

    /**
     * Forgets results, withdrawals and lost entry hosts for which no order can arrive any more. Is called after each
     * batch of events; of a time without a call only {@link #MAX_EXPIRY_INTERVAL} counts.
     */
    public void expire(long now) {
        clockNanos += Math.max(0, Math.min(now - lastExpiryNanos, MAX_EXPIRY_INTERVAL.toNanos()));
        lastExpiryNanos = now;
        results.removeExpired(clockNanos);
        withdrawnRequests.removeExpired(clockNanos);
        lostEntryHosts.removeExpired(clockNanos);
    }

    /** Returns the number of results, withdrawals and lost entry hosts that are kept. */
    int keptCount() {
        return results.size() + withdrawnRequests.size() + lostEntryHosts.size();
    }
}
