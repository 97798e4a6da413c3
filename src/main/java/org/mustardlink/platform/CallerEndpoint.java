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

/** The HTTP servers for callers and for the load balancer's question whether this host is ready. */
public final class CallerEndpoint implements AutoCloseable {
    /** Written for most requests, so not formed anew each time. */
    private static final String COMPLETE = "{\"state\":\"complete\"}";

    private static final String FAILED = "{\"state\":\"failed\"}";
    private static final String JSON = "application/json";
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
    private static final int WORKERS = 2;
    /** Largest body that is read at all; the configuration sets a lower bound for its requests. */
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Bodies that may be open at once: 16 MiB, a twentieth of the smallest host's memory. */
    private static final long MAX_OPEN_BYTES = 16L << 20;

    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(3);
    /** Longest time that a request is followed if neither the caller nor its route says less. */
    private static final Duration MAX_TIMEOUT = Duration.ofSeconds(60);
    /** A caller is told this time while there is no configuration; a host reads it within a second of its start. */
    private static final Duration NO_CONFIG_RETRY = Duration.ofSeconds(1);
    /** The same for jobs that must be stored, which this version doesn't serve. */
    private static final Duration NOT_SERVED_RETRY = Duration.ofSeconds(60);

    private final CallerRequests requests;
    private final BodyReader bodies;
    private final HttpServer callers;
    private final HttpServer readiness;

    private CallerEndpoint(
            InetSocketAddress callerAddress, InetSocketAddress readinessAddress, CallerRequests requests) {
        this.requests = requests;
        this.bodies = new BodyReader(new BodyReader.Limits(MAX_BODY_BYTES, MAX_OPEN_BYTES, BODY_TIMEOUT));
        this.callers = HttpServers.startNonBlocking(callerAddress, WORKERS, this::handle);
        this.readiness = HttpServers.startNonBlocking(readinessAddress, 1, this::answerReadiness);
    }

    /**
     * Starts both servers.
     *
     * @param callerAddress where callers connect
     * @param readinessAddress where the load balancer asks
     * @param requests answers the requests
     */
    public static CallerEndpoint start(
            InetSocketAddress callerAddress, InetSocketAddress readinessAddress, CallerRequests requests) {
        return new CallerEndpoint(callerAddress, readinessAddress, requests);
    }

    /** Returns the address for callers. */
    public InetSocketAddress address() {
        return HttpServers.address(callers);
    }

    @Override
    public void close() {
        callers.shutdownNow();
        readiness.shutdownNow();
    }

    private void answerReadiness(Request request, Response response) {
        boolean known = request.getRequestURI().equals(Wire.READY_PATH);
        int status = !known ? 404 : requests.ready() ? 200 : 503;
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
        Optional<RoutingTable> table = requests.routes();
        if (table.isEmpty() && !exchange.waited) {
            // Right after the start of the process the configuration is on its way.
            exchange.waited = true;
            requests.whenConfigured(() -> {
                try {
                    route(request, exchange);
                } catch (RuntimeException e) {
                    exchange.fail(e);
                }
            });
            return;
        }
        if (table.isEmpty()) {
            exchange.refuse(503, "NO_CONFIG", "no configuration yet", Optional.of(NO_CONFIG_RETRY));
            return;
        }
        exchange.configVersion = OptionalLong.of(table.get().version());
        String path = request.getRequestURI();
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = table.get().findRoute(host, path);
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
                requests.cancel(id, found -> {
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
            exchange.closeAfter = true;
            exchange.refuse(413, ErrorCode.BODY_TOO_LARGE.name(), "the body is too large", Optional.empty());
            return;
        }
        Duration timeout = timeout(request, route);
        CompletableFuture<BodyReader.Body> _read = bodies.read(request).whenComplete((body, failure) -> {
            try {
                if (failure != null) {
                    exchange.closeAfter = true;
                    exchange.fail(failure);
                    return;
                }
                Documents.Job job = Documents.job(body.text());
                if (!job.keepsNothing()) {
                    exchange.refuse(
                            503,
                            "NOT_SERVED",
                            "jobs that have to be stored are not served",
                            Optional.of(NOT_SERVED_RETRY));
                    return;
                }
                long number = requests.submit(route, id, job, table.version(), timeout, exchange::answer);
                exchange.follow(number);
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
        String header = request.getHeader(Wire.DEADLINE_HEADER);
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
        private final AtomicLong number = new AtomicLong(-1);
        private volatile OptionalLong configVersion = OptionalLong.empty();
        private volatile boolean closeAfter;
        private volatile boolean waited;
        private final GenericCloseListener onClose = (_closed, _type) -> callerGone();

        private Exchange(Request request, Response response) {
            this.request = request;
            this.response = response;
            this.connection = request.getContext().getConnection();
        }

        /** Withdraws the job when the caller closes its connection. */
        private void follow(long submitted) {
            number.set(submitted);
            connection.addCloseListener(onClose);
            if (!connection.isOpen()) {
                callerGone();
            }
        }

        private void callerGone() {
            if (answered.compareAndSet(false, true)) {
                requests.callerGone(number.get());
            }
        }

        private void answer(CallerResponse answer) {
            switch (answer.kind()) {
                case COMPLETE -> answer(200, COMPLETE, Optional.empty());
                case FAILED -> answer(200, FAILED, Optional.empty());
                case NOT_RUN -> answer(503, error(answer.kind().name(), answer.reason()), answer.retryAfter());
                case MAY_HAVE_RUN -> answer(502, error(answer.kind().name(), answer.reason()), Optional.empty());
                case TIMED_OUT -> answer(504, error(answer.kind().name(), answer.reason()), Optional.empty());
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
            requests.rejected(configVersion, request.getRequestURI(), status, code + ": " + message);
            answer(status, error(code, message), retryAfter);
        }

        private void answer(int status, String body, Optional<Duration> retryAfter) {
            if (!answered.compareAndSet(false, true)) {
                return;
            }
            connection.removeCloseListener(onClose);
            try {
                retryAfter.ifPresent(after -> response.setHeader(
                        "Retry-After", Long.toString(Math.max(1, (after.toMillis() + 999) / 1_000))));
                if (closeAfter || requests.stopping()) {
                    response.setHeader("Connection", "close");
                }
                HttpServers.write(response, status, JSON, body);
                response.resume();
                if (closeAfter) {
                    connection.closeSilently();
                }
            } catch (CodedException | IllegalStateException e) {
                // The caller went away; there is nobody to tell.
                connection.terminateSilently();
            }
        }
    }
}
