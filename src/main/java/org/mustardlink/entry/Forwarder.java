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
 * Forwards requests to the entry hosts that own their sessions.
 *
 * <p>Never answers "not run", because only the owner of a session can know that. Whether the owner is gone or merely
 * unreachable decides if the answer is final; it never decides if a task is started.
 */
final class Forwarder {
    private final OwnerDirectory owners;
    private final String ownHost;
    private final long ownIncarnation;
    private final Runnable onForward;
    private final Map<Long, CompletableFuture<JobAnswer>> openRequests = new ConcurrentHashMap<>();
    private final AtomicLong lastRequestNumber = new AtomicLong();

    /** Sends one request to the entry host at an address. */
    @FunctionalInterface
    interface PeerCall {
        CompletableFuture<JobAnswer> send(InetSocketAddress peer, Duration timeout);
    }

    Forwarder(OwnerDirectory owners, String ownHost, long ownIncarnation, Runnable onForward) {
        this.onForward = onForward;
        this.owners = owners;
        this.ownHost = ownHost;
        this.ownIncarnation = ownIncarnation;
    }

    /**
     * Forwards a request to the entry host that answers for a submission.
     *
     * @param timeout time limit for answering the caller
     */
    CompletableFuture<JobAnswer> forward(SubmissionId id, Duration timeout, PeerCall call) {
        Owner owner = owners.findOwner(id.session().host(), id.session().incarnation());
        if (owner instanceof Owner.HandedOver successor) {
            return send(successor.peer(), timeout, call);
        }
        if (owner instanceof Owner.Gone || isEarlierIncarnation(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.Final(Verdict.failed(Reason.OWNER_GONE)));
        }
        if (owner instanceof Owner.Alive alive && !id.session().host().equals(ownHost)) {
            return send(alive.peer(), timeout, call);
        }
        return CompletableFuture.completedFuture(PeerClient.unreachableAnswer());
    }

    /** Answers every forwarded request that is still open as unreachable. */
    void abandonOpenRequests() {
        openRequests.values().forEach(answer -> answer.complete(PeerClient.unreachableAnswer()));
    }

    private boolean isEarlierIncarnation(SubmissionId id) {
        return id.session().host().equals(ownHost) && id.session().incarnation() < ownIncarnation;
    }

    private CompletableFuture<JobAnswer> send(InetSocketAddress peer, Duration timeout, PeerCall call) {
        CompletableFuture<JobAnswer> answer = call.send(peer, timeout);
        onForward.run();
        long requestNumber = lastRequestNumber.incrementAndGet();
        openRequests.put(requestNumber, answer);
        return answer.whenComplete((_answer, _failure) -> openRequests.remove(requestNumber));
    }
}
