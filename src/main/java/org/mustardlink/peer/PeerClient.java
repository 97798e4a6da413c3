package org.mustardlink.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.peer.thrift.Peer;
import org.mustardlink.peer.thrift.PeerAnswer;

/**
 * Sends submissions, lookups and cancellations to the entry host that owns their session. Thread-safe.
 *
 * <p>Futures never complete exceptionally: a peer that cannot be reached gives {@link Reason#OWNER_UNREACHABLE}.
 */
public final class PeerClient implements AutoCloseable {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_IDLE_PER_PEER = 32;

    private final TAsyncClientManager manager;
    private final Map<InetSocketAddress, Deque<Peer.AsyncClient>> idle = new ConcurrentHashMap<>();

    private PeerClient(TAsyncClientManager manager) {
        this.manager = manager;
    }

    /** Starts a client. */
    public static PeerClient start() {
        try {
            return new PeerClient(new TAsyncClientManager());
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start the peer client", e);
        }
    }

    /** Submits a job at its owner. */
    public CompletableFuture<JobAnswer> submit(InetSocketAddress owner, SubmissionId id, String job, Duration timeout) {
        return call(owner, timeout, (client, callback) -> client.submit(id.toString(), job, callback));
    }

    /** Waits at the owner for the verdict of an earlier submission. */
    public CompletableFuture<JobAnswer> lookUp(InetSocketAddress owner, SubmissionId id, Duration timeout) {
        return call(owner, timeout, (client, callback) -> client.lookUp(id.toString(), callback));
    }

    /** Cancels a submission at its owner. */
    public CompletableFuture<JobAnswer> cancel(InetSocketAddress owner, SubmissionId id, Duration timeout) {
        return call(owner, timeout, (client, callback) -> client.cancel(id.toString(), callback));
    }

    /** Returns the answer for an owner that cannot be reached now. */
    public static JobAnswer unreachable() {
        return new JobAnswer.Final(Verdict.failed(Reason.OWNER_UNREACHABLE, RETRY_AFTER));
    }

    @Override
    public void close() {
        manager.stop();
    }

    private CompletableFuture<JobAnswer> call(InetSocketAddress owner, Duration timeout, Call call) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        try {
            Peer.AsyncClient client = take(owner);
            client.setTimeout(timeout.toMillis());
            call.send(client, new AsyncMethodCallback<>() {
                @Override
                public void onComplete(PeerAnswer response) {
                    release(owner, client);
                    answer.complete(PeerAnswers.fromThrift(response));
                }

                @Override
                public void onError(Exception _failure) {
                    answer.complete(unreachable());
                }
            });
        } catch (IOException | TException e) {
            answer.complete(unreachable());
        }
        return answer;
    }

    private Peer.AsyncClient take(InetSocketAddress owner) throws IOException, TTransportException {
        Peer.AsyncClient pooled = connections(owner).pollLast();
        if (pooled != null) {
            return pooled;
        }
        TNonblockingSocket socket = new TNonblockingSocket(owner.getAddress().getHostAddress(), owner.getPort(), 0);
        return new Peer.AsyncClient(new TBinaryProtocol.Factory(), manager, socket);
    }

    private void release(InetSocketAddress owner, Peer.AsyncClient client) {
        Deque<Peer.AsyncClient> connections = connections(owner);
        if (connections.size() < MAX_IDLE_PER_PEER) {
            connections.addLast(client);
        }
    }

    private Deque<Peer.AsyncClient> connections(InetSocketAddress owner) {
        return idle.computeIfAbsent(owner, _unused -> new ConcurrentLinkedDeque<>());
    }

    @FunctionalInterface
    private interface Call {
        void send(Peer.AsyncClient client, AsyncMethodCallback<PeerAnswer> callback) throws TException;
    }
}
