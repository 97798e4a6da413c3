package org.mustardlink.peer;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
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
import org.mustardlink.http.TimeoutMonitor;
import org.mustardlink.peer.thrift.HandoverPart;
import org.mustardlink.peer.thrift.Peer;
import org.mustardlink.peer.thrift.PeerAnswer;

/**
 * Sends submissions, lookups, cancellations and handovers to other entry hosts. Thread-safe.
 *
 * <p>Futures complete within the timeout and never exceptionally: if the peer cannot be reached, an answer is {@link
 * Reason#OWNER_UNREACHABLE} and a handover or announcement is {@code false}. The Thrift client closes a connection whose
 * call failed or timed out. A call that fails on a pooled connection is retried once on a new one, which is safe because
 * the owner recognizes the submission id.
 */
public final class PeerClient implements AutoCloseable {
    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_IDLE_PER_PEER = 32;
    /** A connection that has been idle for longer is replaced, because a middlebox may have dropped its state. */
    private static final long MAX_IDLE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Consecutive timeouts after which a peer counts as silent. */
    private static final int SILENCE_THRESHOLD = 3;

    private final TAsyncClientManager manager;
    private final Map<InetSocketAddress, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();
    private final TimeoutMonitor timeoutMonitor = new TimeoutMonitor(SILENCE_THRESHOLD);
    private final AtomicLong silentPeerCount = new AtomicLong();

    private record Connection(Peer.AsyncClient client, TNonblockingSocket socket) {}

    private record IdleConnection(Connection connection, long idleSinceNanos) {}

    private PeerClient(TAsyncClientManager manager) {
        this.manager = manager;
    }

    /** Creates a client and starts its I/O thread. */
    public static PeerClient start() {
        try {
            return new PeerClient(new TAsyncClientManager());
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start the client for submissions to entry hosts", e);
        }
    }

    /**
     * Submits a job to the owner of its session.
     *
     * @param deadline time within which the owner must answer: what remains of the caller's deadline
     * @param timeout longest time until the future completes
     */
    public CompletableFuture<JobAnswer> submit(
            InetSocketAddress owner, SubmissionId id, String job, Duration deadline, Duration timeout) {
        return callOwner(
                owner,
                timeout,
                (client, callback) -> client.submit(id.toString(), job, Math.max(1, deadline.toMillis()), callback));
    }

    /** Asks the owner for the verdict of an earlier submission; the owner answers when it has the verdict. */
    public CompletableFuture<JobAnswer> lookUp(InetSocketAddress owner, SubmissionId id, Duration timeout) {
        return callOwner(owner, timeout, (client, callback) -> client.lookUp(id.toString(), callback));
    }

    /** Asks the owner of a session to cancel a submission. */
    public CompletableFuture<JobAnswer> cancel(InetSocketAddress owner, SubmissionId id, Duration timeout) {
        return callOwner(owner, timeout, (client, callback) -> client.cancel(id.toString(), callback));
    }

    /**
     * Hands closed sessions and retained answers over to a successor.
     *
     * @param timeout longest time for each part of the handover
     * @return whether the successor is responsible for the sessions from now on
     */
    public CompletableFuture<Boolean> handOver(InetSocketAddress successor, Handover handover, Duration timeout) {
        CompletableFuture<Boolean> accepted = CompletableFuture.completedFuture(true);
        for (HandoverPart part : handover.toParts()) {
            accepted = accepted.thenCompose(previousAccepted ->
                    previousAccepted ? handOver(successor, part, timeout) : CompletableFuture.completedFuture(false));
        }
        return accepted;
    }

    /** Tells a peer that an incarnation of an entry host has stopped and which entry host took over its sessions. */
    public CompletableFuture<Boolean> announceLeave(
            InetSocketAddress peer, String host, long incarnation, String successor, Duration timeout) {
        return call(
                peer,
                timeout,
                (Peer.AsyncClient client, AsyncMethodCallback<Void> callback) ->
                        client.left(host, incarnation, successor, callback),
                _done -> true,
                false);
    }

    /** Returns the answer given to callers while the owner cannot be reached. */
    public static JobAnswer unreachableAnswer() {
        return new JobAnswer.Final(Verdict.failed(Reason.OWNER_UNREACHABLE, UNREACHABLE_RETRY_AFTER));
    }

    /** Returns how often a peer was found silent after several consecutive timeouts. */
    public long silentPeerCount() {
        return silentPeerCount.get();
    }

    /** Closes every idle connection, so that the next calls open new ones. */
    public void closeIdle() {
        ImmutableList.copyOf(idleConnections.keySet()).forEach(this::closeIdle);
    }

    @Override
    public void close() {
        closeIdle();
        manager.stop();
    }

    private CompletableFuture<Boolean> handOver(InetSocketAddress successor, HandoverPart part, Duration timeout) {
        return call(
                successor,
                timeout,
                (Peer.AsyncClient client, AsyncMethodCallback<Boolean> callback) -> client.handover(part, callback),
                accepted -> accepted,
                false);
    }

    private CompletableFuture<JobAnswer> callOwner(InetSocketAddress owner, Duration timeout, Call<PeerAnswer> call) {
        return call(owner, timeout, call, PeerAnswers::fromThrift, unreachableAnswer());
    }

    private <R, T> CompletableFuture<T> call(
            InetSocketAddress peer, Duration timeout, Call<R> call, Function<R, T> convert, T fallback) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        long endNanos = System.nanoTime() + timeout.toNanos();
        new RetryingCall<>(peer, endNanos, call, convert, fallback, answer).send(true);
        // The client manager checks its timeouts only between other events, so the timeout is enforced here too.
        return answer.completeOnTimeout(fallback, Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
    }

    private final class RetryingCall<R, T> {
        private final InetSocketAddress peer;
        private final long endNanos;
        private final Call<R> call;
        private final Function<R, T> convert;
        private final T fallback;
        private final CompletableFuture<T> answer;

        private RetryingCall(
                InetSocketAddress peer,
                long endNanos,
                Call<R> call,
                Function<R, T> convert,
                T fallback,
                CompletableFuture<T> answer) {
            this.peer = peer;
            this.endNanos = endNanos;
            this.call = call;
            this.convert = convert;
            this.fallback = fallback;
            this.answer = answer;
        }

        private void send(boolean mayUsePooled) {
            try {
                Connection pooled = mayUsePooled ? takeIdle(peer) : null;
                Connection connection = pooled == null ? connect(peer) : pooled;
                connection
                        .client()
                        .setTimeout(Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime())));
                call.send(connection.client(), new AsyncMethodCallback<>() {
                    @Override
                    public void onComplete(R response) {
                        releaseConnection(peer, connection);
                        handleResponse(response);
                    }

                    @Override
                    public void onError(Exception failure) {
                        handleFailure(failure, pooled != null);
                    }
                });
            } catch (IOException | TException e) {
                answer.complete(fallback);
            }
        }

        private void handleResponse(R response) {
            timeoutMonitor.recordAnswer(peer);
            try {
                answer.complete(convert.apply(response));
            } catch (IllegalArgumentException e) {
                // A peer of a newer version may send a reason that this version does not know.
                answer.complete(fallback);
            }
        }

        private void handleFailure(Exception failure, boolean wasPooled) {
            if (failure instanceof TimeoutException) {
                if (timeoutMonitor.recordTimeout(peer)) {
                    silentPeerCount.incrementAndGet();
                    closeIdle(peer);
                }
            } else if (wasPooled) {
                send(false);
                return;
            }
            answer.complete(fallback);
        }
    }

    private Connection connect(InetSocketAddress peer) throws IOException, TTransportException {
        TNonblockingSocket socket = new TNonblockingSocket(peer.getAddress().getHostAddress(), peer.getPort(), 0);
        return new Connection(new Peer.AsyncClient(new TBinaryProtocol.Factory(), manager, socket), socket);
    }

    private Connection takeIdle(InetSocketAddress peer) {
        Deque<IdleConnection> pooled = idleConnectionsTo(peer);
        IdleConnection newest = pooled.pollLast();
        if (newest == null) {
            return null;
        }
        if (System.nanoTime() - newest.idleSinceNanos() <= MAX_IDLE_NANOS) {
            return newest.connection();
        }
        // The most recently used connection is too old, so all others are too.
        newest.connection().socket().close();
        closeIdle(peer);
        return null;
    }

    private void releaseConnection(InetSocketAddress peer, Connection connection) {
        Deque<IdleConnection> pooled = idleConnectionsTo(peer);
        IdleConnection released = new IdleConnection(connection, System.nanoTime());
        if (pooled.size() < MAX_IDLE_PER_PEER) {
            pooled.addLast(released);
        } else {
            connection.socket().close();
        }
    }

    private void closeIdle(InetSocketAddress peer) {
        Deque<IdleConnection> pooled = idleConnectionsTo(peer);
        for (IdleConnection idle = pooled.pollFirst(); idle != null; idle = pooled.pollFirst()) {
            idle.connection().socket().close();
        }
    }

    private Deque<IdleConnection> idleConnectionsTo(InetSocketAddress peer) {
        return idleConnections.computeIfAbsent(peer, _unused -> new ConcurrentLinkedDeque<>());
    }

    @FunctionalInterface
    private interface Call<R> {
        void send(Peer.AsyncClient client, AsyncMethodCallback<R> callback) throws TException;
    }
}
