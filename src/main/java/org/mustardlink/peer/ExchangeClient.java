package org.mustardlink.peer;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.CheckResult;
import org.mustardlink.membership.ExchangeEnvelope;
import org.mustardlink.membership.ExchangeTransport;
import org.mustardlink.membership.Member;
import org.mustardlink.peer.thrift.CheckOutcome;
import org.mustardlink.peer.thrift.Exchange;
import org.mustardlink.peer.thrift.ExchangeFrame;

/**
 * Sends exchanges and checks to other entry hosts. Thread-safe.
 *
 * <p>A call that fails on an idle connection is retried once on a new connection, which is safe because exchanges and
 * checks may be repeated. After a timeout, every idle connection to the peer is closed, because a middlebox may have
 * dropped its state.
 */
public final class ExchangeClient implements ExchangeTransport, AutoCloseable {
    private static final int MAX_IDLE_PER_PEER = 1;

    /**
     * Twice the time in which a host of the largest deployment calls every member once. A connection that has been idle
     * for longer is not worth its memory.
     */
    private static final long MAX_IDLE_NANOS = Duration.ofMinutes(2).toNanos();

    private final TAsyncClientManager manager;
    private final Map<String, Deque<Connection>> idleConnections = new HashMap<>();
    private final LongAdder transferredBytes = new LongAdder();
    private final LongAdder startedCalls = new LongAdder();

    private ExchangeClient(TAsyncClientManager manager) {
        this.manager = manager;
    }

    private record Connection(Exchange.AsyncClient client, TNonblockingSocket socket, long idleSinceNanos) {}

    /** Creates a client and starts its I/O thread. */
    public static ExchangeClient start() {
        try {
            return new ExchangeClient(new TAsyncClientManager());
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start the exchange client", e);
        }
    }

    @Override
    public CompletableFuture<CallReply<ExchangeEnvelope>> exchange(
            String address, ExchangeEnvelope sent, Duration timeout) {
        ExchangeFrame frame = ExchangeFrames.toThrift(sent);
        RetryingCall<ExchangeFrame, ExchangeEnvelope> call = new RetryingCall<>(
                address, timeout, (client, callback) -> client.exchange(frame, callback), ExchangeFrames::fromThrift);
        return call.start();
    }

    @Override
    public CompletableFuture<CallReply<CheckResult>> check(String address, Member subject, Duration timeout) {
        RetryingCall<CheckOutcome, CheckResult> call = new RetryingCall<>(
                address,
                timeout,
                (client, callback) -> client.check(subject.id(), subject.incarnation(), subject.peer(), callback),
                ExchangeFrames::fromThrift);
        return call.start();
    }

    /** Returns the number of bytes that this client has sent and received, including frame headers. */
    public long transferredBytes() {
        return transferredBytes.sum();
    }

    /** Returns the number of calls that this client has started. A retry does not count as another call. */
    public long startedCalls() {
        return startedCalls.sum();
    }

    @Override
    public void close() {
        synchronized (idleConnections) {
            idleConnections
                    .values()
                    .forEach(connections -> connections.forEach(
                            connection -> connection.socket().close()));
            idleConnections.clear();
        }
        manager.stop();
    }

    private Optional<Connection> takeIdle(String address) {
        synchronized (idleConnections) {
            Deque<Connection> connections = idleConnections.getOrDefault(address, new ArrayDeque<>());
            for (Connection next = connections.pollLast(); next != null; next = connections.pollLast()) {
                if (System.nanoTime() - next.idleSinceNanos() <= MAX_IDLE_NANOS) {
                    return Optional.of(next);
                }
                next.socket().close();
            }
            idleConnections.remove(address);
            return Optional.empty();
        }
    }

    private void releaseConnection(String address, Connection connection) {
        synchronized (idleConnections) {
            Deque<Connection> connections = idleConnections.computeIfAbsent(address, _unused -> new ArrayDeque<>());
            if (connections.size() < MAX_IDLE_PER_PEER) {
                connections.addLast(new Connection(connection.client(), connection.socket(), System.nanoTime()));
            } else {
                connection.socket().close();
            }
        }
    }

    private void closeIdle(String address) {
        synchronized (idleConnections) {
            Optional.ofNullable(idleConnections.remove(address))
                    .ifPresent(connections -> connections.forEach(
                            connection -> connection.socket().close()));
        }
    }

    private Connection connect(String address) throws IOException, TTransportException {
        InetSocketAddress peer = Addresses.parse(address);
        TNonblockingSocket socket =
                new CountingSocket(peer.getAddress().getHostAddress(), peer.getPort(), transferredBytes);
        Exchange.AsyncClient client = new Exchange.AsyncClient(new TBinaryProtocol.Factory(), manager, socket);
        return new Connection(client, socket, System.nanoTime());
    }

    /** Adds the bytes that a connection sends and receives to a counter. */
    private static final class CountingSocket extends TNonblockingSocket {
        private final LongAdder bytes;

        private CountingSocket(String host, int port, LongAdder bytes) throws IOException, TTransportException {
            super(host, port, 0);
            this.bytes = bytes;
        }

        @Override
        public int read(ByteBuffer buffer) throws TTransportException {
            int read = super.read(buffer);
            bytes.add(Math.max(0, read));
            return read;
        }

        @Override
        public int write(ByteBuffer buffer) throws TTransportException {
            int written = super.write(buffer);
            bytes.add(Math.max(0, written));
            return written;
        }
    }

    @FunctionalInterface
    private interface Call<R> {
        void send(Exchange.AsyncClient client, AsyncMethodCallback<R> callback) throws TException;
    }

    private final class RetryingCall<R, T> {
        private final String address;
        private final Duration timeout;
        private final Call<R> call;
        private final Function<R, T> convert;
        private final CompletableFuture<CallReply<T>> reply = new CompletableFuture<>();

        private RetryingCall(String address, Duration timeout, Call<R> call, Function<R, T> convert) {
            this.address = address;
            this.timeout = timeout;
            this.call = call;
            this.convert = convert;
        }

        private CompletableFuture<CallReply<T>> start() {
            startedCalls.increment();
            Optional<Connection> pooled = takeIdle(address);
            send(pooled, pooled.isPresent());
            // The client manager checks its timeouts only between other events, so the timeout is enforced here too.
            return reply.completeOnTimeout(
                            CallReply.failed(CheckResult.SILENT), timeout.toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((ended, _failure) -> {
                        if (ended.outcome() == CheckResult.SILENT) {
                            closeIdle(address);
                        }
                    });
        }

        private void send(Optional<Connection> pooled, boolean mayRetry) {
            try {
                Connection connection = pooled.isPresent() ? pooled.get() : connect(address);
                connection.client().setTimeout(timeout.toMillis());
                call.send(connection.client(), new AsyncMethodCallback<>() {
                    @Override
                    public void onComplete(R response) {
                        releaseConnection(address, connection);
                        handleResponse(response);
                    }

                    @Override
                    public void onError(Exception failure) {
                        connection.socket().close();
                        handleFailure(failure, mayRetry);
                    }
                });
            } catch (IOException | TException | IllegalStateException e) {
                handleFailure(e, mayRetry);
            }
        }

        private void handleResponse(R response) {
            try {
                reply.complete(CallReply.answered(convert.apply(response)));
            } catch (IllegalArgumentException e) {
                reply.complete(CallReply.failed(CheckResult.SILENT));
            }
        }

        private void handleFailure(Exception failure, boolean mayRetry) {
            if (failure instanceof TimeoutException) {
                reply.complete(CallReply.failed(CheckResult.SILENT));
            } else if (mayRetry && !reply.isDone()) {
                send(Optional.empty(), false);
            } else {
                boolean refused = failure instanceof ConnectException;
                reply.complete(CallReply.failed(refused ? CheckResult.REFUSED : CheckResult.SILENT));
            }
        }
    }
}
