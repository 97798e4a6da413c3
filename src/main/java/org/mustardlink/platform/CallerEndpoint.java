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
import org.mustardlink.front.CallerResponse;
import org.mustardlink.http.BodyReader;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** The HTTP servers for callers' requests and for the load balancer's readiness checks. */
public final class CallerEndpoint implements AutoCloseable {
    /** Body of the most frequent response; a constant, so that it is not serialized for each request. */
    private static final String COMPLETE = "{\"state\":\"complete\"}";

    private static final String FAILED = "{\"state\":\"failed\"}";
    private static final String JSON = "application/json";
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
    private static final int WORKER_THREADS = 2;
    /** Maximum size of a request body that is read; the configuration sets a lower limit for job submissions. */
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Maximum total size of the bodies being read: 16 MiB, a twentieth of the smallest host's memory. */
    private static final long MAX_BUFFERED_BODY_BYTES = 16L << 20;

    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(3);
    /** Maximum time-out of a request; applies unless the caller or the route sets a shorter one. */
    private static final Duration MAX_TIMEOUT = Duration.ofSeconds(60);
    /**
     * Value of Retry-After while there is no configuration; a host reads the configuration within a second of
     * its start.
     */
    private static final Duration NO_CONFIG_RETRY_AFTER = Duration.ofSeconds(1);
    /** Value of Retry-After for jobs that have to be stored, which this version does not support. */
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
        this.readinessServer = HttpServers.startNonBlocking(readinessAddress, 1, this::respondToReadinessCheck);
    }

    /**
     * Starts both servers.
     *
     * @param callerAddress address to listen on for callers
     * @param readinessAddress address to listen on for readiness checks of the load balancer
     * @param handler handles the decoded requests
     */
    public static CallerEndpoint start(
            InetSocketAddress callerAddress, InetSocketAddress readinessAddress, CallerRequestHandler handler) {
        return new CallerEndpoint(callerAddress, readinessAddress, handler);
    }

    /** Returns the address on which callers' requests are accepted. */
    public InetSocketAddress address() {
        return HttpServers.address(callerServer);
    }

    @Override
    public void close() {
        callerServer.shutdownNow();
        readinessServer.shutdownNow();
    }

    private void respondToReadinessCheck(Request request, Response response) {
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
            // Shortly after process start, the configuration is still being read; wait for it once.
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
            exchange.refuse(
                    503,
                    "NO_CONFIG",
                    "this host has not read the configuration yet",
                    Optional.of(NO_CONFIG_RETRY_AFTER));
            return;
        }
        exchange.configVersion = OptionalLong.of(table.get().version());
        String path = request.getRequestURI();
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = table.get().findRoute(host, path);
        if (route.isEmpty()) {
            exchange.refuse(404, "NO_ROUTE", "no route matches this host and path", Optional.empty());
            return;
        }
        String id = path.substring(route.get().pathStart().length());
        String method = request.getMethod().getMethodString();
        if (id.isEmpty() && method.equals("GET")) {
            // A submission is answered only when its job ends, so no job waits after having been accepted.
            exchange.respond(200, "{\"waiting\":0}", Optional.empty());
            return;
        }
        if (!JOB_ID.matcher(id).matches()) {
            exchange.refuse(
                    400,
                    ErrorCode.BAD_REQUEST.name(),
                    "the job id must be 16 lower-case hexadecimal digits",
                    Optional.empty());
            return;
        }
        switch (method) {
            case "POST" -> submit(request, exchange, table.get(), route.get(), id);
            case "GET" -> exchange.refuse(410, "NO_SUCH_JOB", "no job with this id is stored", Optional.empty());
            case "DELETE" ->
                handler.cancel(id, found -> {
                    if (found) {
                        exchange.respond(200, "{}", Optional.empty());
                    } else {
                        exchange.refuse(410, "NO_SUCH_JOB", "no open job has this id", Optional.empty());
                    }
                });
            default -> exchange.refuse(405, ErrorCode.BAD_REQUEST.name(), "unsupported HTTP method", Optional.empty());
        }
    }

    private void submit(Request request, Exchange exchange, RoutingTable table, Route route, String id) {
        if (request.getContentLengthLong() > table.maxBodyBytes()) {
            exchange.closeConnection = true;
            exchange.refuse(
                    413,
                    ErrorCode.BODY_TOO_LARGE.name(),
                    "the request body exceeds the configured maximum size",
                    Optional.empty());
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
                            "jobs that have to be stored are not supported",
                            Optional.of(NOT_SERVED_RETRY_AFTER));
                    return;
                }
                long number = handler.submit(route, id, job, table.version(), timeout, exchange::respond);
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

    /** Returns the shortest of the caller's time-out, the route's time-out and {@link #MAX_TIMEOUT}. */
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
     * Body of an error response.
     *
     * @param error the error code
     * @param message a human-readable description
     */
    private record ErrorDocument(String error, String message) {}

    private static String error(String code, String message) {
        return Json.write(new ErrorDocument(code, message));
    }

    /** One request, which gets at most one response. */
    // Grizzly has no other listener for closed connections than the deprecated one.
    @SuppressWarnings("deprecation")
    private final class Exchange {
        private final Request request;
        private final Response response;
        private final Connection<?> connection;
        private final AtomicBoolean responded = new AtomicBoolean();
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

        /** Reports the caller's disconnection to the handler if the connection closes before the response is sent. */
        private void watchForDisconnect(long submitted) {
            requestNumber.set(submitted);
            connection.addCloseListener(closeListener);
            if (!connection.isOpen()) {
                onDisconnect();
            }
        }

        private void onDisconnect() {
            if (responded.compareAndSet(false, true)) {
                handler.onCallerDisconnected(requestNumber.get());
            }
        }

        private void respond(CallerResponse callerResponse) {
            switch (callerResponse.kind()) {
                case COMPLETE -> respond(200, COMPLETE, Optional.empty());
                case FAILED -> respond(200, FAILED, Optional.empty());
                case NOT_RUN ->
                    respond(
                            503,
                            error(callerResponse.kind().name(), callerResponse.reason()),
                            callerResponse.retryAfter());
                case MAY_HAVE_RUN ->
                    respond(502, error(callerResponse.kind().name(), callerResponse.reason()), Optional.empty());
                case TIMED_OUT ->
                    respond(504, error(callerResponse.kind().name(), callerResponse.reason()), Optional.empty());
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
            respond(status, error(code, message), retryAfter);
        }

        private void respond(int status, String body, Optional<Duration> retryAfter) {
            if (!responded.compareAndSet(false, true)) {
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
                // The caller has disconnected, so the response cannot be delivered.
                connection.terminateSilently();
            }
        }
    }
}
