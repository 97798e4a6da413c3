package org.mustardlink.api;

import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.claims.SubmissionKey;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.BodyReader;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/** The HTTP server for callers; {@code docs/api.md} describes it. */
public final class CallerApi implements AutoCloseable {
    private static final String JOBS_PATH = "/v1/jobs";
    private static final String JSON_TYPE = "application/json";
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
    /** Limit on all request bodies held at once, in multiples of the largest body; 48 MiB with the default settings. */
    private static final int MAX_OPEN_BODIES = 12;
    /** Limit on requests in progress at once; each takes about 1 KiB besides its body. */
    private static final int MAX_OPEN_REQUESTS = 20_000;

    private static final Duration DRAIN_GRACE = Duration.ofSeconds(1);
    private static final Duration TOO_BUSY_RETRY_AFTER = Duration.ofSeconds(1);
    /** Limit on the characters of a request that an error message repeats. */
    private static final int MAX_ECHOED_CHARACTERS = 200;

    private final CallerBackend backend;
    private final BodyReader bodies;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final HttpServer server;

    private CallerApi(InetSocketAddress address, int threads, int maxBodyBytes, CallerBackend backend) {
        this.bodies = new BodyReader(
                new BodyReader.Limits(maxBodyBytes, (long) MAX_OPEN_BODIES * maxBodyBytes, BODY_TIMEOUT));
        this.backend = backend;
        this.server = HttpServers.startNonBlocking(address, threads, this::handle);
    }

    /**
     * Starts the server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param threads number of threads that read requests
     * @param maxBodyBytes size of the largest request body
     * @param backend handles the requests
     */
    public static CallerApi start(InetSocketAddress address, int threads, int maxBodyBytes, CallerBackend backend) {
        return new CallerApi(address, threads, maxBodyBytes, backend);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Returns the number of requests that have not been answered yet. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Waits until every request has been answered, then closes the connections after the last replies have been sent.
     *
     * @param timeout longest time to wait for the answers
     */
    public void drain(Duration timeout) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (openRequests.get() > 0 && System.nanoTime() < endNanos) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(5));
        }
        try {
            HttpServer _unused = server.shutdown(DRAIN_GRACE.toMillis(), TimeUnit.MILLISECONDS)
                    .get(2 * DRAIN_GRACE.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            server.shutdownNow();
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /**
     * The body of a reply to a request that failed without a verdict.
     *
     * @param error the error code
     * @param message describes what was wrong with the request and what was expected
     */
    public record ErrorDocument(ErrorCode error, String message) {}

    /**
     * The body of a reply to a request for a session.
     *
     * @param session id of the session
     * @param owner caller address of the entry host that owns the session
     */
    public record SessionDocument(String session, String owner) {}

    /** A complete HTTP reply. */
    private record Reply(int status, String contentType, String body, Optional<Duration> retryAfter) {
        static Reply json(int status, Object document) {
            return new Reply(status, JSON_TYPE, Json.write(document), Optional.empty());
        }
    }

    private void handle(Request request, Response response) {
        response.suspend();
        CompletableFuture<Reply> reply = openRequests.incrementAndGet() > MAX_OPEN_REQUESTS
                ? CompletableFuture.failedFuture(
                        new CodedException(ErrorCode.TOO_BUSY, "too many requests are in progress"))
                : routeSafely(request);
        CompletableFuture<Reply> _unused = reply.whenComplete((value, failure) -> {
            try {
                write(response, failure == null ? value : errorReply(failure));
            } finally {
                openRequests.decrementAndGet();
            }
        });
    }

    private CompletableFuture<Reply> routeSafely(Request request) {
        try {
            HttpServers.checkHeaderSize(request);
            return route(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletableFuture<Reply> route(Request request) {
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        if (path.equals("/v1/sessions") && method.equals("POST")) {
            return backend.openSession().thenApply(this::sessionReply);
        }
        if (path.equals(JOBS_PATH) && method.equals("POST")) {
            return submit(request);
        }
        if (path.startsWith(JOBS_PATH + '/') && method.equals("GET")) {
            SubmissionId id = parseSubmissionId(path.substring(JOBS_PATH.length() + 1));
            return backend.lookUp(id).thenApply(answer -> jobReply(id.toString(), answer));
        }
        if (path.startsWith(JOBS_PATH + '/') && method.equals("DELETE")) {
            SubmissionId id = parseSubmissionId(path.substring(JOBS_PATH.length() + 1));
            return backend.cancel(id).thenApply(answer -> jobReply(id.toString(), answer));
        }
        if (path.equals("/health") && method.equals("GET")) {
            boolean healthy = backend.isHealthy();
            return CompletableFuture.completedFuture(
                    new Reply(healthy ? 200 : 503, "text/plain", healthy ? "ok" : "leaving", Optional.empty()));
        }
        throw new CodedException(ErrorCode.NOT_FOUND, "no such path or method: " + truncate(method + ' ' + path));
    }

    private CompletableFuture<Reply> submit(Request request) {
        return bodies.read(request)
                .thenCompose(body -> submit(body.text()).whenComplete((_reply, _failure) -> body.release()));
    }

    private CompletableFuture<Reply> submit(String body) {
        try {
            JobDocument document = JobDocument.parse(body);
            JobRequest job = document.toRequest();
            if ((document.submission() == null) == (document.key() == null)) {
                throw new CodedException(
                        ErrorCode.BAD_REQUEST, "a job must have either a submission or a key, not both");
            }
            if (document.key() != null) {
                return backend.submitKeyed(parseKey(document.key()), job, body).thenApply(CallerApi::keyedReply);
            }
            SubmissionId id = parseSubmissionId(document.submission().session()
                    + '/'
                    + document.submission().sequence());
            return backend.submit(id, job, body).thenApply(answer -> jobReply(id.toString(), answer));
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static SubmissionId parseSubmissionId(String text) {
        try {
            return SubmissionId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "malformed submission id: " + truncate(e.getMessage()), e);
        }
    }

    private static SubmissionKey parseKey(String text) {
        try {
            return SubmissionKey.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, e.getMessage(), e);
        }
    }

    private Reply sessionReply(SessionAnswer answer) {
        if (answer instanceof SessionAnswer.Granted granted) {
            String owner = backend.ownerAddress(granted.session());
            return Reply.json(200, new SessionDocument(granted.session().toString(), owner));
        }
        Verdict verdict = Verdict.failed(((SessionAnswer.Refused) answer).reason());
        return Reply.json(503, VerdictDocument.of("", verdict));
    }

    private static Reply keyedReply(KeyedAnswer keyed) {
        return jobReply(keyed.submission().map(SubmissionId::toString).orElse(""), keyed.answer());
    }

    private static Reply jobReply(String submission, JobAnswer answer) {
        if (answer instanceof JobAnswer.Final result) {
            Verdict verdict = result.verdict();
            String document = Json.write(VerdictDocument.of(submission, verdict));
            return new Reply(statusOf(verdict), JSON_TYPE, document, verdict.retryAfter());
        }
        return errorReply(new CodedException(ErrorCode.NOT_FOUND, "no job was submitted under this id: " + submission));
    }

    private static int statusOf(Verdict verdict) {
        if (verdict.outcome() == Outcome.COMPLETE) {
            return 200;
        }
        if (verdict.reason() == Reason.BAD_REQUEST || verdict.reason() == Reason.TASK_TOO_LARGE) {
            return 400;
        }
        return verdict.outcome() == Outcome.NOT_RUN ? 503 : 502;
    }

    private static Reply errorReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        CodedException error = cause instanceof CodedException coded
                ? coded
                : new CodedException(ErrorCode.INTERNAL, "internal error", cause);
        int status = statusOf(error.code());
        Optional<Duration> retryAfter = status == 429 ? Optional.of(TOO_BUSY_RETRY_AFTER) : Optional.empty();
        String document = Json.write(new ErrorDocument(error.code(), error.getMessage()));
        return new Reply(status, JSON_TYPE, document, retryAfter);
    }

    /** Returns the HTTP status of an error code. */
    static int statusOf(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST -> 400;
            case UNAUTHORIZED -> 401;
            case NOT_FOUND -> 404;
            case BODY_TIMEOUT -> 408;
            case BODY_TOO_LARGE -> 413;
            case TOO_BUSY -> 429;
            case HEADERS_TOO_LARGE -> 431;
            default -> 500;
        };
    }

    private void write(Response response, Reply reply) {
        Connection<?> connection = response.getRequest().getContext().getConnection();
        // The rest of a body that was not read would be parsed as the next request, so the connection is closed.
        boolean bodyUnread =
                reply.status() == 408 || reply.status() == 413 || reply.status() == 429 || reply.status() == 431;
        boolean closeAfterReply = bodyUnread || !backend.isHealthy();
        try {
            reply.retryAfter()
                    .ifPresent(
                            after -> response.setHeader("Retry-After", Long.toString(Math.max(1, after.toSeconds()))));
            if (closeAfterReply) {
                response.setHeader("Connection", "close");
            }
            HttpServers.write(response, reply.status(), reply.contentType(), reply.body());
            response.resume();
            if (bodyUnread) {
                connection.closeSilently();
            }
        } catch (CodedException | IllegalStateException e) {
            // The caller has closed the connection, so no reply can be sent.
            connection.terminateSilently();
        }
    }

    private static String truncate(String text) {
        return text.length() <= MAX_ECHOED_CHARACTERS ? text : text.substring(0, MAX_ECHOED_CHARACTERS) + "...";
    }
}
