package org.mustardlink.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TNonblockingSocket;
import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.drain.TargetReport;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.peer.thrift.Peer;

/**
 * Fetches configuration pages and drain reports from other entry hosts. Thread-safe.
 *
 * <p>A failed call completes exceptionally with {@link ErrorCode#NO_ANSWER}, or with a {@link
 * java.util.concurrent.TimeoutException} if the timeout passes first. Connections are separate from those of {@link
 * PeerClient}, so that a request does not wait behind a large job.
 */
public final class ConfigPeerClient implements AutoCloseable {
    private static final int MAX_IDLE_CLIENTS_PER_PEER = 2;

    private final TAsyncClientManager manager;
    private final Map<InetSocketAddress, Deque<Peer.AsyncClient>> idleClients = new ConcurrentHashMap<>();

    private ConfigPeerClient(TAsyncClientManager manager) {
        this.manager = manager;
    }

    /** Creates a client and starts its I/O thread. */
    public static ConfigPeerClient start() {
        try {
            return new ConfigPeerClient(new TAsyncClientManager());
        } catch (IOException e) {
            throw new CodedException(
                    ErrorCode.INTERNAL, "cannot start the client for configuration and drain reports", e);
        }
    }

    /**
     * Fetches a page of a host's configuration.
     *
     * @param host peer address of the host
     * @param offset first offset of the page
     * @param changeId change whose status the page reports, empty for none
     * @param timeout longest time until the future completes
     */
    public CompletableFuture<ConfigPage> fetchPage(
            InetSocketAddress host, long offset, String changeId, Duration timeout) {
        return this.<org.mustardlink.peer.thrift.ConfigPage>call(
                        host, timeout, (client, callback) -> client.configSince(offset, changeId, callback))
                .thenApply(ConfigMessages::fromThrift);
    }

    /** Fetches a host's report on the tasks that it has in flight at a target. */
    public CompletableFuture<TargetReport> fetchDrainReport(InetSocketAddress host, String target, Duration timeout) {
        return this.<org.mustardlink.peer.thrift.DrainReport>call(
                        host, timeout, (client, callback) -> client.drainReport(target, callback))
                .thenApply(ConfigMessages::fromThrift);
    }

    @Override
    public void close() {
        manager.stop();
    }

    private <T> CompletableFuture<T> call(InetSocketAddress host, Duration timeout, Call<T> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        try {
            Peer.AsyncClient client = takeClient(host, timeout);
            call.send(client, new AsyncMethodCallback<>() {
                @Override
                public void onComplete(T response) {
                    releaseClient(host, client);
                    answer.complete(response);
                }

                @Override
                public void onError(Exception failure) {
                    answer.completeExceptionally(noAnswerFrom(host, failure));
                }
            });
        } catch (IOException | TException | RuntimeException e) {
            answer.completeExceptionally(noAnswerFrom(host, e));
        }
        // The timeout of the Thrift client does not cover a connection that is never accepted.
        return answer.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CodedException noAnswerFrom(InetSocketAddress host, Exception cause) {
        return new CodedException(ErrorCode.NO_ANSWER, "no answer from " + host, cause);
    }

    private Peer.AsyncClient takeClient(InetSocketAddress host, Duration timeout) throws IOException, TException {
        Peer.AsyncClient pooled = idleClientsOf(host).pollLast();
        Peer.AsyncClient client = pooled != null
                ? pooled
                : new Peer.AsyncClient(
                        new TBinaryProtocol.Factory(),
                        manager,
                        new TNonblockingSocket(host.getAddress().getHostAddress(), host.getPort(), 0));
        client.setTimeout(timeout.toMillis());
        return client;
    }

    private void releaseClient(InetSocketAddress host, Peer.AsyncClient client) {
        Deque<Peer.AsyncClient> clients = idleClientsOf(host);
        if (clients.size() < MAX_IDLE_CLIENTS_PER_PEER) {
            clients.addLast(client);
        }
    }

    private Deque<Peer.AsyncClient> idleClientsOf(InetSocketAddress host) {
        return idleClients.computeIfAbsent(host, _unused -> new ConcurrentLinkedDeque<>());
    }

    @FunctionalInterface
    private interface Call<T> {
        void send(Peer.AsyncClient client, AsyncMethodCallback<T> callback) throws TException;
    }
}
