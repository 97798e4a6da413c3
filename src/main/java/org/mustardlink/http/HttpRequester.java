package org.mustardlink.http;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.connectionpool.Endpoint;
import org.glassfish.grizzly.connectionpool.MultiEndpointPool;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * An asynchronous HTTP/1.1 client with a bounded connection pool for each address.
 *
 * <p>Thread-safe. A failed call completes with a {@link CodedException}: {@link ErrorCode#NOT_SENT} if certainly no
 * byte of the request was sent, {@link ErrorCode#TIMED_OUT} if no complete reply arrived in time, and {@link
 * ErrorCode#NO_ANSWER} otherwise, also if the reply ended early. The connection of a call that failed or timed out is
 * closed, so that a late reply is never taken for the reply to a later call.
 */
public final class HttpRequester implements AutoCloseable {
    private static final Attribute<Exchange> EXCHANGE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("mustardlink.exchange");
    private static final Attribute<Long> UNUSED_SINCE_NANOS =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("mustardlink.unused-since");
    /** Value of the Host header for the address of a connection, formatted once. */
    private static final Attribute<String> DEFAULT_HOST =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("mustardlink.default-host");

    private static final String HOST_HEADER = "Host";
    private static final int MAX_REPLY_BYTES = 32 << 20;
    /** Number of closed or stale connections that a call takes from the pool before it fails as not sent. */
    private static final int MAX_CONNECTION_ATTEMPTS = 64;

    private final TCPNIOTransport transport;
    private final MultiEndpointPool<SocketAddress> pool;
    private final TCPNIOConnectorHandler connector;
    private final CallTimer timer;
    private final Map<SocketAddress, Long> staleBeforeNanos = new ConcurrentHashMap<>();
    private final AtomicLong unexpectedReplies = new AtomicLong();
    private volatile long allStaleBeforeNanos = System.nanoTime();

    private HttpRequester(Limits limits) {
        transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(limits.ioThreads())
                .setSelectorThreadPoolConfig(IoThreads.newPoolConfig("http-client", limits.ioThreads()))
                .setTcpNoDelay(true)
                .build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new HttpClientFilter())
                .add(new ExchangeFilter())
                .build());
        connector = TCPNIOConnectorHandler.builder(transport).build();
        pool = MultiEndpointPool.builder(SocketAddress.class)
                .maxConnectionsPerEndpoint(limits.connectionsPerAddress())
                .maxConnectionsTotal(limits.connectionsTotal())
                .connectTimeout(limits.connectTimeout().toMillis(), TimeUnit.MILLISECONDS)
                .asyncPollTimeout(limits.connectTimeout().toMillis(), TimeUnit.MILLISECONDS)
                .keepAliveTimeout(limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS)
                .build();
        timer = CallTimer.start("http-client-timer");
    }

    /**
     * Limits of a client.
     *
     * @param connectionsPerAddress maximum number of connections to one address
     * @param connectionsTotal maximum number of connections in total
     * @param connectTimeout maximum time to open a connection or to wait for a free one
     * @param idleTimeout time after which an idle connection is closed
     * @param ioThreads number of I/O threads
     */
    public record Limits(
            int connectionsPerAddress,
            int connectionsTotal,
            Duration connectTimeout,
            Duration idleTimeout,
            int ioThreads) {
        /** Returns limits for a client that makes few calls at once. */
        public static Limits forFewCalls() {
            return new Limits(16, 256, Duration.ofSeconds(1), Duration.ofSeconds(10), 1);
        }
    }

    /** Starts a client. */
    public static HttpRequester start(Limits limits) {
        HttpRequester requester = new HttpRequester(limits);
        try {
            requester.transport.start();
        } catch (java.io.IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start the HTTP client", e);
        }
        return requester;
    }

    /**
     * Sends a request.
     *
     * @param address address of the server
     * @param call the request
     */
    public CompletableFuture<HttpReply> send(InetSocketAddress address, HttpCall call) {
        return send(address, call, _reply -> true);
    }

    /**
     * Sends a request.
     *
     * @param address address of the server
     * @param call the request
     * @param matchesRequest tells whether a reply belongs to the request; after a reply that does not, the connection
     *     is closed
     */
    public CompletableFuture<HttpReply> send(
            InetSocketAddress address, HttpCall call, Predicate<HttpReply> matchesRequest) {
        Exchange exchange = new Exchange(
                call, matchesRequest, System.nanoTime() + call.timeout().toNanos());
        takeConnection(address, call, exchange, MAX_CONNECTION_ATTEMPTS);
        return exchange.reply;
    }

    /** Marks every idle connection to an address as stale; such a connection is replaced instead of used again. */
    public void invalidateIdleConnections(InetSocketAddress address) {
        staleBeforeNanos.put(address, System.nanoTime());
    }

    /** Marks every idle connection as stale; such a connection is replaced instead of used again. */
    public void invalidateIdleConnections() {
        allStaleBeforeNanos = System.nanoTime();
        staleBeforeNanos.clear();
    }

    /** Returns the number of replies that had no waiting call or did not match the request of their call. */
    public long unexpectedReplies() {
        return unexpectedReplies.get();
    }

    private void takeConnection(InetSocketAddress address, HttpCall call, Exchange exchange, int attemptsLeft) {
        CompletableFuture<HttpReply> reply = exchange.reply;
        pool.take(toEndpoint(address), new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings({"unchecked", "RawTypes"})
            public void completed(Connection connection) {
                if (connection.isOpen() && isFresh(connection, address, call)) {
                    writeRequest((Connection<SocketAddress>) connection, address, call, exchange);
                    return;
                }
                // No byte of the request was sent on this connection, so the request may use another one.
                connection.terminateSilently();
                if (attemptsLeft > 1) {
                    takeConnection(address, call, exchange, attemptsLeft - 1);
                } else {
                    failed(new java.io.IOException("every connection taken from the pool was closed or stale"));
                }
            }

            @Override
            public void failed(Throwable cause) {
                reply.completeExceptionally(
                        new CodedException(ErrorCode.NOT_SENT, "cannot connect to " + address, cause));
            }

            @Override
            public void cancelled() {
                failed(new java.util.concurrent.CancellationException());
            }
        });
    }

    /**
     * Returns the pool key of an address: the address itself, because Grizzly would build a string from it for each
     * call.
     */
    private Endpoint<SocketAddress> toEndpoint(InetSocketAddress address) {
        return Endpoint.Factory.create(address, address, null, connector);
    }

    private boolean isFresh(Connection<?> connection, InetSocketAddress address, HttpCall call) {
        Long unusedSinceNanos = UNUSED_SINCE_NANOS.get(connection);
        if (unusedSinceNanos == null) {
            return true;
        }
        return System.nanoTime() - unusedSinceNanos <= call.maxIdle().toNanos()
                && unusedSinceNanos - allStaleBeforeNanos >= 0
                && unusedSinceNanos - staleBeforeNanos.getOrDefault(address, unusedSinceNanos) >= 0;
    }

    private void writeRequest(
            Connection<SocketAddress> connection, InetSocketAddress address, HttpCall call, Exchange exchange) {
        if (exchange.dueNanos() - System.nanoTime() <= 0) {
            UNUSED_SINCE_NANOS.set(connection, System.nanoTime());
            pool.release(connection);
            exchange.reply.completeExceptionally(
                    new CodedException(ErrorCode.NOT_SENT, "no free connection within " + call.timeout()));
            return;
        }
        exchange.connection = connection;
        EXCHANGE.set(connection, exchange);
        timer.add(exchange);
        connection.write(
                toContent(connection, address, call),
                new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                    @Override
                    public void failed(Throwable _cause) {
                        exchange.fail(ErrorCode.NO_ANSWER, "cannot write the request to the connection");
                    }
                });
    }

    private static HttpContent toContent(Connection<?> connection, InetSocketAddress address, HttpCall call) {
        byte[] body = call.body().getBytes(call.charset());
        HttpRequestPacket request = HttpRequestPacket.builder()
                .method(call.method())
                .uri(call.path())
                .protocol(Protocol.HTTP_1_1)
                .contentLength(body.length)
                .build();
        // The builder would look each name up in the list of known headers, and copy all headers once more.
        MimeHeaders headers = request.getHeaders();
        String host = call.headers().get(HOST_HEADER);
        headers.addValue(Header.Host).setString(host != null ? host : defaultHost(connection, address));
        call.headers().forEach((name, value) -> {
            if (!name.equals(HOST_HEADER)) {
                headers.addValue(name).setString(value);
            }
        });
        return request.httpContentBuilder()
                .content(Buffers.wrap(null, body))
                .last(true)
                .build();
    }

    private static String defaultHost(Connection<?> connection, InetSocketAddress address) {
        String known = DEFAULT_HOST.get(connection);
        if (known != null) {
            return known;
        }
        String host = address.getAddress().getHostAddress() + ':' + address.getPort();
        DEFAULT_HOST.set(connection, host);
        return host;
    }

    private void failExchange(Connection<?> connection, ErrorCode code, String message) {
        Exchange exchange = EXCHANGE.get(connection);
        if (exchange != null) {
            exchange.fail(code, message);
        }
    }

    /** Closes the idle connections to an address at once, and the busy ones when their calls end. */
    public void closeIdleConnections(InetSocketAddress address) {
        pool.close(toEndpoint(address));
    }

    /** Closes every connection and stops the I/O threads. */
    @Override
    public void close() {
        pool.close();
        timer.close();
        try {
            transport.shutdownNow();
        } catch (java.io.IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot stop the HTTP client", e);
        }
    }

    /**
     * One call. Its reply, its time-out and the failure of its connection may come at the same time; the first one ends
     * the call, and only a reply that does so may release the connection.
     */
    private final class Exchange extends CallTimer.Timeout {
        private final HttpCall call;
        private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        private final Predicate<HttpReply> matchesRequest;
        private final AtomicBoolean ended = new AtomicBoolean();
        /** The connection that carries the call; set before the call can end. */
        private volatile Connection<?> connection;

        private Exchange(HttpCall call, Predicate<HttpReply> matchesRequest, long deadlineNanos) {
            super(deadlineNanos);
            this.call = call;
            this.matchesRequest = matchesRequest;
        }

        /** Ends the call, and returns whether it had not ended before. */
        private boolean end() {
            if (!ended.compareAndSet(false, true)) {
                return false;
            }
            timer.remove(this);
            EXCHANGE.remove(connection);
            return true;
        }

        private void fail(ErrorCode code, String message) {
            if (end()) {
                connection.terminateSilently();
                reply.completeExceptionally(new CodedException(code, message));
            }
        }

        @Override
        void expire() {
            fail(ErrorCode.TIMED_OUT, "no complete reply within " + call.timeout());
        }
    }

    /** Assembles the reply to the one call in flight on a connection. */
    private final class ExchangeFilter extends BaseFilter {
        @Override
        public NextAction handleConnect(FilterChainContext context) {
            // The pool may open a connection that no call uses for a while.
            UNUSED_SINCE_NANOS.set(context.getConnection(), System.nanoTime());
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            if (content.getContent().remaining() > MAX_REPLY_BYTES) {
                failExchange(context.getConnection(), ErrorCode.NO_ANSWER, "the reply exceeds the maximum size");
                return context.getStopAction();
            }
            if (!content.isLast()) {
                return context.getStopAction(content);
            }
            HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
            Connection<?> connection = context.getConnection();
            Exchange exchange = EXCHANGE.get(connection);
            if (exchange == null || !exchange.end()) {
                // A reply without a waiting call means that requests and replies no longer match on this connection.
                unexpectedReplies.incrementAndGet();
                connection.terminateSilently();
                return context.getStopAction();
            }
            HttpReply reply = toReply(response, content, exchange.call);
            boolean expected = exchange.matchesRequest.test(reply);
            if (!expected) {
                unexpectedReplies.incrementAndGet();
            }
            if (!expected || isLastOfConnection(response)) {
                connection.terminateSilently();
            } else {
                UNUSED_SINCE_NANOS.set(connection, System.nanoTime());
                pool.release(connection);
            }
            exchange.reply.complete(reply);
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            failExchange(
                    context.getConnection(),
                    ErrorCode.NO_ANSWER,
                    "the connection was closed before the complete reply arrived");
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            failExchange(context.getConnection(), ErrorCode.NO_ANSWER, "cannot read the reply: " + error.getMessage());
        }

        private static boolean isLastOfConnection(HttpResponsePacket response) {
            DataChunk value = response.getHeaders().getValue(Header.Connection);
            return value != null && value.equalsIgnoreCase("close");
        }

        private static HttpReply toReply(HttpResponsePacket response, HttpContent content, HttpCall call) {
            // Decoding a byte array is several times cheaper than the buffer's own decoder.
            byte[] body = new byte[content.getContent().remaining()];
            content.getContent().get(body);
            return new HttpReply(
                    response.getStatus(),
                    call.keepReplyHeaders() ? copyHeaders(response.getHeaders()) : ImmutableMap.of(),
                    new String(body, call.charset()));
        }

        private static ImmutableMap<String, String> copyHeaders(MimeHeaders fields) {
            Map<String, String> headers = new LinkedHashMap<>();
            for (int i = 0; i < fields.size(); i++) {
                // Iterates by index: a lookup by name compares the name with those of all headers before it.
                String name = fields.getName(i).toString().toLowerCase(Locale.ROOT);
                headers.putIfAbsent(name, fields.getValue(i).toString());
            }
            return ImmutableMap.copyOf(headers);
        }
    }
}
