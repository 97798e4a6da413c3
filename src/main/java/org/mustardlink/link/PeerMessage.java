package org.mustardlink.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RequestId;

/** A message between entry hosts. */
public sealed interface PeerMessage {
    /**
     * First message of each connection.
     *
     * @param sender the host that opened the connection
     * @param connectionNumber number of the connection, above those of all that the sender's incarnation has opened before
     */
    record Hello(HostInfo sender, long connectionNumber) implements PeerMessage {
        public Hello {
            checkNotNull(sender, "sender");
        }
    }

    /**
     * Says that the sender lives and what it is the master of.
     *
     * @param sequence number of the heartbeat within the sender's incarnation
     * @param acknowledged number of the receiver's last heartbeat that the sender got
     * @param acknowledgedIncarnation incarnation of the receiver that sent that heartbeat; numbers start anew with each
     * @param untilNext time until the sender's next heartbeat to the receiver
     * @param stopping whether the sender is about to end
     * @param claims claims under which the sender is a master
     * @param loads loads of the pools that the sender is the master of
     */
    record Heartbeat(
            long sequence,
            long acknowledged,
            long acknowledgedIncarnation,
            Duration untilNext,
            boolean stopping,
            ImmutableList<Claim> claims,
            ImmutableMap<PoolId, PoolLoad> loads)
            implements PeerMessage {
        public Heartbeat {
            checkNotNull(untilNext, "next");
            checkNotNull(claims, "claims");
            checkNotNull(loads, "loads");
        }
    }

    /**
     * Hands a job to the master of a pool.
     *
     * @param pool the pool
     * @param round the round of the claim under which the receiver is the pool's master as far as the sender knows
     * @param order the job
     */
    record Submit(PoolId pool, int round, JobOrder order) implements PeerMessage {
        public Submit {
            checkNotNull(pool, "pool");
            checkNotNull(order, "order");
        }
    }

    /**
     * Says that nobody waits for a job any more.
     *
     * @param pool the pool whose master has the job
     * @param request the request that waited
     * @param job the job
     */
    record Withdraw(PoolId pool, RequestId request, String job) implements PeerMessage {}

    /**
     * Answers a {@link Submit}.
     *
     * @param pool the pool whose master answers
     * @param round the round of the claim to which the request was sent
     * @param request the request
     * @param result the result
     */
    record Result(PoolId pool, int round, RequestId request, JobResult result) implements PeerMessage {}

    /** Asks for a {@link Snapshot}; sent by a host that has no configuration yet. */
    record SnapshotRequest() implements PeerMessage {}

    /**
     * What the sender has read from the store, for a host that can't reach it.
     *
     * @param configuration the configuration's record as it stands in the store
     * @param targets the records of targets by key
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
     * Asks for a job to be canceled.
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
