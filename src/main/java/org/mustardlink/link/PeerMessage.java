package org.mustardlink.link;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PendingStartStatement;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RequestId;

/** A message between dispatch hosts. */
public sealed interface PeerMessage {
    /**
     * The first message on each connection.
     *
     * @param sender the host that opened the connection
     * @param connectionNumber number of the connection, higher than the numbers of all connections that the sender's
     *     incarnation has opened before
     */
    record Hello(HostInfo sender, long connectionNumber) implements PeerMessage {
        public Hello {
            checkNotNull(sender, "sender");
        }
    }

    /**
     * Reports that the sender is alive and which pools it is the master of.
     *
     * @param sequence sequence number of the heartbeat within the sender's incarnation, which counts its heartbeats to
     *     all receivers
     * @param acknowledged sequence number of the receiver's last heartbeat that the sender received; shows that the
     *     sender was alive after that heartbeat had been sent
     * @param acknowledgedIncarnation incarnation of the receiver that sent the acknowledged heartbeat; sequence numbers
     *     restart with each incarnation
     * @param untilNext time until the sender's next heartbeat to the receiver
     * @param stopping whether the sender is shutting down
     * @param claims claims that make the sender the master of a pool
     * @param loads load of each pool that the sender is the master of
     * @param withdrawals withdrawals that the receiver hasn't acknowledged yet, the first ones if there are more than
     *     {@link #MAX_WITHDRAWALS}; a {@link Withdraw} alone is lost with its connection
     */
    record Heartbeat(
            long sequence,
            long acknowledged,
            long acknowledgedIncarnation,
            Duration untilNext,
            boolean stopping,
            ImmutableList<Claim> claims,
            ImmutableMap<PoolId, PoolLoad> loads,
            ImmutableList<Withdraw> withdrawals)
            implements PeerMessage {
        /** Maximum number of withdrawals in a heartbeat, which bounds the size of its frame. */
        public static final int MAX_WITHDRAWALS = 1_000;

        public Heartbeat {
            checkNotNull(untilNext, "next");
            checkNotNull(claims, "claims");
            checkNotNull(loads, "loads");
            checkNotNull(withdrawals, "withdrawals");
            checkArgument(withdrawals.size() <= MAX_WITHDRAWALS, "too many withdrawals: %s", withdrawals.size());
        }

        /**
         * Returns whether callers wait for all requests of the sender that the heartbeat doesn't withdraw. A heartbeat
         * with the maximum number of withdrawals may not list all of them.
         */
        public boolean confirmsRequests() {
            return withdrawals.size() < MAX_WITHDRAWALS;
        }
    }

    /**
     * Submits a job to the master of a pool.
     *
     * @param pool the pool
     * @param round the round of the claim that makes the receiver the pool's master, as far as the sender knows
     * @param order the job
     */
    record Submit(PoolId pool, int round, JobOrder order) implements PeerMessage {
        public Submit {
            checkNotNull(pool, "pool");
            checkNotNull(order, "order");
        }
    }

    /**
     * Withdraws a job whose request no longer waits for the result.
     *
     * @param pool the pool whose master has the job
     * @param request the request that submitted the job
     * @param job the job
     */
    record Withdraw(PoolId pool, RequestId request, String job) implements PeerMessage {}

    /**
     * Answers a {@link Submit}.
     *
     * @param pool the pool whose master answers
     * @param round the round of the claim for which the job was submitted
     * @param request the request
     * @param result the result
     */
    record Result(PoolId pool, int round, RequestId request, JobResult result) implements PeerMessage {}

    /**
     * States for which jobs a start may still be carried out, so that the receiver must not accept them, and for which it
     * no longer may. Repeated as long as a start is pending.
     *
     * @param statement the pending and the refused starts
     */
    record PendingStarts(PendingStartStatement statement) implements PeerMessage {
        public PendingStarts {
            checkNotNull(statement, "statement");
        }
    }

    /** Requests a {@link Snapshot}; sent by a host that has no configuration yet. */
    record SnapshotRequest() implements PeerMessage {}

    /**
     * The records that the sender has read from the store, for a host that cannot reach the store.
     *
     * @param configuration the configuration's record as stored
     * @param targets the records of the targets by key
     * @param claims the newest claim of each pool
     */
    record Snapshot(String configuration, ImmutableMap<String, String> targets, ImmutableList<Claim> claims)
            implements PeerMessage {
        public Snapshot {
            checkNotNull(configuration, "configuration");
            checkNotNull(targets, "targets");
            checkNotNull(claims, "claims");
        }
    }

    /**
     * Requests that a job be canceled.
     *
     * @param job the job
     */
    record Cancel(String job) implements PeerMessage {}

    /**
     * Answers a {@link Cancel}.
     *
     * @param job the job
     * @param found whether the job was open at the sender
     */
    record Canceled(String job, boolean found) implements PeerMessage {}
}
