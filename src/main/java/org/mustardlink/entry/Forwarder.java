package org.mustardlink.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;
import org.mustardlink.membership.Owner;
import org.mustardlink.membership.OwnerDirectory;
import org.mustardlink.peer.PeerClient;

/**
 * Sends what belongs to other entry hosts to them.
 *
 * <p>Never says "not run" by itself. Whether the owner is gone or only unreachable decides whether the answer is final,
 * never whether something starts.
 */
final class Forwarder {
    private final OwnerDirectory owners;
    private final String host;
    private final long incarnation;
    private final Runnable forwarded;
    private final Map<Long, CompletableFuture<JobAnswer>> open = new ConcurrentHashMap<>();
    private final AtomicLong nextCall = new AtomicLong();

    /** Sends one request to the entry host at an address. */
    @FunctionalInterface
    interface PeerCall {
        CompletableFuture<JobAnswer> send(InetSocketAddress peer, Duration timeout);
    }

    Forwarder(OwnerDirectory owners, String host, long incarnation, Runnable forwarded) {
        this.forwarded = forwarded;
        this.owners = owners;
        this.host = host;
        this.incarnation = incarnation;
    }

    /**
     * Forwards a request to the entry host that answers for a submission.
     *
     * @param timeout time within which the caller must be answered
     */
    CompletableFuture<JobAnswer> forward(SubmissionId id, Duration timeout, PeerCall call) {
        Owner owner = owners.find(id.session().host(), id.session().incarnation());
        if (owner instanceof Owner.HandedOver successor) {
            return send(successor.peer(), timeout, call);
        }
        if (owner instanceof Owner.Gone || isEarlierSelf(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.Final(Verdict.failed(Reason.OWNER_GONE)));
        }
        if (owner instanceof Owner.Alive alive && !id.session().host().equals(host)) {
            return send(alive.peer(), timeout, call);
        }
        return CompletableFuture.completedFuture(PeerClient.unreachableAnswer());
    }

    /** Answers every forwarded request that is still open. */
    void giveUp() {
        open.values().forEach(answer -> answer.complete(PeerClient.unreachableAnswer()));
    }

    private boolean isEarlierSelf(SubmissionId id) {
        return id.session().host().equals(host) && id.session().incarnation() < incarnation;
    }

    private CompletableFuture<JobAnswer> send(InetSocketAddress peer, Duration timeout, PeerCall call) {
        CompletableFuture<JobAnswer> answer = call.send(peer, timeout);
        forwarded.run();
        long number = nextCall.incrementAndGet();
        open.put(number, answer);
        return answer.whenComplete((_answer, _failure) -> open.remove(number));
    }
}
