package org.mustardlink.platform;

import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.GenericCloseListener;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.front.Answer;
import org.mustardlink.http.BodyReader;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** The HTTP servers for callers and for the load balancer's question whether this host is ready. */
public final class CallerEndpoint implements AutoCloseable {
    /** Written for most requests, so not formed anew each time. */
    private static final String COMPLETE = "{\"state\":\"complete\"}";

    private static final String FAILED = "{\"state\":\"failed\"}";
    private static final String JSON = "application/json";
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
    private static final int WORKER_THREADS = 2;
    /** Largest body that is read at all; the configuration sets a lower bound for its requests. */
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Bodies that may be open at once: 16 MiB, a twentieth of the smallest host's memory. */
    private static final long MAX_BUFFERED_BODY_BYTES = 16L << 20;

    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(3);
    /** Longest time that a request is followed if neither the caller nor its route says less. */
    private static final Duration MAX_TIMEOUT = Duration.ofSeconds(60);
    /** A caller is told this time while there is no configuration; a host reads it within a second of its start. */
    private static final Duration NO_CONFIG_RETRY_AFTER = Duration.ofSeconds(1);
    /** The same for jobs that must be stored, which this version doesn't serve. */
    private static final Duration NOT_SERVED_RETRY_AFTER = Duration.ofSeconds(60);

    private final CallerRequestHandler handler;
    private final BodyReader bodyReader;
    private final HttpServer callerServer;
    private final HttpServer readinessServer;

    private CallerEndpoint(
            InetSocketAddress callerAddress, InetSocketAddress readinessAddress, CallerRequestHandler handler) {
        this.handler = handler;
        this.bodyReader = new BodyReader(new BodyReader.Limits(MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, BODY_TIMEOUT));
        this.callerServer = HttpServers.startNonBlocking(callerAddress, WORKER_THREADS, this::handle);
        this.readinessServer = HttpServers.startNonBlocking(readinessAddress, 1, this::answerReadiness);
    }

    /**
     * Starts both servers.
     *
     * @param callerAddress where callers connect
     * @param readinessAddress where the load balancer asks
     * @param handler answers the requests
     */
    public static CallerEndpoint start(
            InetSocketAddress callerAddress, InetSocketAddress readinessAddress, CallerRequestHandler handler) {
        return new CallerEndpoint(callerAddress, readinessAddress, handler);
    }

    /** Returns the address for callers. */
    public InetSocketAddress address() {
        return HttpServers.address(callerServer);
    }

    @Override
    public void close() {
        callerServer.shutdownNow();
        readinessServer.shutdownNow();
    }

    private void answerReadiness(Request request, Response response) {
        boolean known = request.getRequestURI().equals(PlatformProtocol.READY_PATH);
        int status = !known ? 404 : handler.isReady() ? 200 : 503;
        HttpServers.write(response, status, "text/plain", "");
    }

    private void handle(Request request, Response response) {
        Exchange exchange = new Exchange(request, response);
        response.suspend();
        try {
            route(request, exchange);
        } catch (RuntimeException e) {
            exchange.fail(e);
        }
    }

    private void route(Request request, Exchange exchange) {
        Optional<RoutingTable> table = handler.routingTable();
        if (table.isEmpty() && !exchange.waitedForConfig) {
            // Right after the start of the process the configuration is on its way.
            exchange.waitedForConfig = true;
            handler.runWhenConfigured(() -> {
                try {
                    route(request, exchange);
                } catch (RuntimeException e) {
                    exchange.fail(e);
                }
            });
            return;
        }
        if (table.isEmpty()) {
            exchange.refuse(503, "NO_CONFIG", "no configuration yet", Optional.of(NO_CONFIG_RETRY_AFTER));
            return;
        }
        exchange.configVersion = OptionalLong.of(table.get().version());
        String path = request.getRequestURI();
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = table.get().find(host, path);
        if (route.isEmpty()) {
            exchange.refuse(404, "NO_ROUTE", "no queue has this host and path", Optional.empty());
            return;
        }
        String id = path.substring(route.get().pathStart().length());
        String method = request.getMethod().getMethodString();
        if (id.isEmpty() && method.equals("GET")) {
            // Every accepted job is answered when it ends, so none waits after its acceptance.
            exchange.answer(200, "{\"waiting\":0}", Optional.empty());
            return;
        }
        if (!JOB_ID.matcher(id).matches()) {
            exchange.refuse(
                    400, ErrorCode.BAD_REQUEST.name(), "not a job id of 16 hexadecimal digits", Optional.empty());
            return;
        }
        switch (method) {
            case "POST" -> submit(request, exchange, table.get(), route.get(), id);
            case "GET" -> exchange.refuse(410, "NO_SUCH_JOB", "no job is kept under this id", Optional.empty());
            case "DELETE" ->
                handler.cancel(id, found -> {
                    if (found) {
                        exchange.answer(200, "{}", Optional.empty());
                    } else {
                        exchange.refuse(410, "NO_SUCH_JOB", "no such job is open", Optional.empty());
                    }
                });
            default -> exchange.refuse(405, ErrorCode.BAD_REQUEST.name(), "no such method", Optional.empty());
        }
    }

    private void submit(Request request, Exchange exchange, RoutingTable table, Route route, String id) {
        if (request.getContentLengthLong() > table.maxBodyBytes()) {
            exchange.closeConnection = true;
            exchange.refuse(413, ErrorCode.BODY_TOO_LARGE.name(), "the body is too large", Optional.empty());
            return;
        }
        Duration timeout = timeout(request, route);
        CompletableFuture<BodyReader.Body> _read = bodyReader.read(request).whenComplete((body, failure) -> {
            try {
                if (failure != null) {
                    exchange.closeConnection = true;
                    exchange.fail(failure);
                    return;
                }
                DocumentDecoder.Job job = DocumentDecoder.decodeJob(body.text());
                if (!job.storageOptional()) {
                    exchange.refuse(
                            503,
                            "NOT_SERVED",
                            "jobs that have to be stored are not served",
                            Optional.of(NOT_SERVED_RETRY_AFTER));
                    return;
                }
                long number = handler.submit(route, id, job, table.version(), timeout, exchange::answer);
                exchange.watchForDisconnect(number);
            } catch (RuntimeException e) {
                exchange.fail(e);
            } finally {
                if (body != null) {
                    body.release();
                }
            }
        });
    }

    /** Returns the time to the caller's deadline or the route's, whichever is sooner. */
    private static Duration timeout(Request request, Route route) {
        Duration timeout = MAX_TIMEOUT;
        if (!route.timeout().isZero() && route.timeout().compareTo(timeout) < 0) {
            timeout = route.timeout();
        }
        String header = request.getHeader(PlatformProtocol.DEADLINE_HEADER);
        Long millis = header == null ? null : Longs.tryParse(header.strip());
        if (millis != null && millis > 0 && millis < timeout.toMillis()) {
            timeout = Duration.ofMillis(millis);
        }
        return timeout;
    }

    /**
     * Body of an answer that is not a job's state.
     *
     * @param error code of the reason
     * @param message the reason for people
     */
    private record ErrorDocument(String error, String message) {}

    private static String error(String code, String message) {
        return Json.write(new ErrorDocument(code, message));
    }

    /** One request and its one answer. */
    // The library offers no other listener of closed connections.
    @SuppressWarnings("deprecation")
    private final class Exchange {
        private final Request request;
        private final Response response;
        private final Connection<?> connection;
        private final AtomicBoolean answered = new AtomicBoolean();
        private final AtomicLong requestNumber = new AtomicLong(-1);
        private volatile OptionalLong configVersion = OptionalLong.empty();
        private volatile boolean closeConnection;
        private volatile boolean waitedForConfig;
        private final GenericCloseListener closeListener = (_closed, _type) -> onDisconnect();

        private Exchange(Request request, Response response) {
            this.request = request;
            this.response = response;
            this.connection = request.getContext().getConnection();
        }

        /** Withdraws the job when the caller closes its connection. */
        private void watchForDisconnect(long submitted) {
            requestNumber.set(submitted);
            connection.addCloseListener(closeListener);
            if (!connection.isOpen()) {
                onDisconnect();
            }
        }

        private void onDisconnect() {
            if (answered.compareAndSet(false, true)) {
                handler.onCallerDisconnected(requestNumber.get());
            }
        }

        private void answer(Answer answer) {
            switch (answer.kind()) {
                case COMPLETE -> answer(200, COMPLETE, Optional.empty());
                case FAILED -> answer(200, FAILED, Optional.empty());
                case NOT_RUN -> answer(503, error(answer.kind().name(), answer.why()), answer.retryAfter());
                case MAY_HAVE_RUN -> answer(502, error(answer.kind().name(), answer.why()), Optional.empty());
                case TIMED_OUT -> answer(504, error(answer.kind().name(), answer.why()), Optional.empty());
            }
        }

        private void fail(Throwable failure) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            ErrorCode code = cause instanceof CodedException coded ? coded.code() : ErrorCode.INTERNAL;
            int status =
                    switch (code) {
                        case BAD_REQUEST -> 400;
                        case BODY_TIMEOUT -> 408;
                        case BODY_TOO_LARGE -> 413;
                        case TOO_BUSY -> 429;
                        default -> 500;
                    };
            refuse(status, code.name(), String.valueOf(cause.getMessage()), Optional.empty());
        }

        private void refuse(int status, String code, String message, Optional<Duration> retryAfter) {
            handler.onRejected(configVersion, request.getRequestURI(), status, code + ": " + message);
            answer(status, error(code, message), retryAfter);
        }

        private void answer(int status, String body, Optional<Duration> retryAfter) {
            if (!answered.compareAndSet(false, true)) {
                return;
            }
            connection.removeCloseListener(closeListener);
            try {
                retryAfter.ifPresent(after -> response.setHeader(
                        "Retry-After", Long.toString(Math.max(1, (after.toMillis() + 999) / 1_000))));
                if (closeConnection || handler.isStopping()) {
                    response.setHeader("Connection", "close");
                }
                HttpServers.write(response, status, JSON, body);
                response.resume();
                if (closeConnection) {
                    connection.closeSilently();
                }
            } catch (CodedException | IllegalStateException e) {
                // The caller went away; there is nobody to tell.
                connection.terminateSilently();
            }
        }
    }
}
