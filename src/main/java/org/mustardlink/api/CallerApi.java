package org.mustardlink.api;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/** The HTTP server for callers; {@code docs/api.md} describes it. */
public final class CallerApi implements AutoCloseable {
    private static final String JOBS = "/v1/jobs";
    private static final String JSON = "application/json";
    private final int maxBodyBytes;
    private final CallerBackend backend;
    private final HttpServer server;

    private CallerApi(InetSocketAddress address, int threads, int maxBodyBytes, CallerBackend backend) {
        this.maxBodyBytes = maxBodyBytes;
        this.backend = backend;
        this.server = HttpServers.startNonBlocking(address, threads, this::handle);
    }

    /**
     * Starts the server.
     *
     * @param address where to listen; port 0 takes a free one
     * @param threads threads that read requests
     * @param maxBodyBytes largest body of a request
     * @param backend answers the requests
     */
    public static CallerApi start(InetSocketAddress address, int threads, int maxBodyBytes, CallerBackend backend) {
        return new CallerApi(address, threads, maxBodyBytes, backend);
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Stops accepting requests and ends the server after the grace. */
    public void shutdown(Duration grace) {
        Future<?> _stopping = server.shutdown(grace.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /**
     * An error that is not a verdict.
     *
     * @param error the code
     * @param message what was wrong and what was expected
     */
    public record ErrorDocument(ErrorCode error, String message) {}

    /**
     * Answer to a request for a session.
     *
     * @param session the session
     * @param owner caller address of the owner
     */
    public record SessionDocument(String session, String owner) {}

    private void handle(Request request, Response response) {
        try {
            route(request, response);
        } catch (CodedException e) {
            writeError(response, e);
        }
    }

    private void route(Request request, Response response) {
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        if (path.equals("/v1/sessions") && method.equals("POST")) {
            answerLater(response, backend.openSession(), answer -> writeSession(response, answer));
        } else if (path.equals(JOBS) && method.equals("POST")) {
            submit(request, response);
        } else if (path.startsWith(JOBS + '/') && method.equals("GET")) {
            SubmissionId id = submissionOf(path);
            answerLater(response, backend.lookUp(id), answer -> writeAnswer(response, id, answer));
        } else if (path.startsWith(JOBS + '/') && method.equals("DELETE")) {
            SubmissionId id = submissionOf(path);
            answerLater(response, backend.cancel(id), answer -> writeAnswer(response, id, answer));
        } else if (path.equals("/health") && method.equals("GET")) {
            boolean healthy = backend.healthy();
            HttpServers.write(response, healthy ? 200 : 503, "text/plain", healthy ? "ok" : "leaving");
        } else {
            throw new CodedException(ErrorCode.NOT_FOUND, "no such path or method: " + method + ' ' + path);
        }
    }

    private void submit(Request request, Response response) {
        String body = HttpServers.readBody(request, maxBodyBytes);
        JobDocument document = JobDocument.parse(body);
        if (document.submission() == null) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "submission is missing");
        }
        SubmissionId id = submissionOf(JOBS
                + '/'
                + document.submission().session()
                + '/'
                + document.submission().sequence());
        answerLater(
                response, backend.submit(id, document.toRequest(), body), answer -> writeAnswer(response, id, answer));
    }

    private static SubmissionId submissionOf(String path) {
        try {
            return SubmissionId.parse(path.substring(JOBS.length() + 1));
        } catch (IllegalArgumentException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "malformed submission id: " + e.getMessage(), e);
        }
    }

    private static <T> void answerLater(Response response, CompletableFuture<T> answer, Writer<T> writer) {
        response.suspend();
        CompletableFuture<T> _answered = answer.whenComplete((value, failure) -> {
            try {
                if (failure == null) {
                    writer.write(value);
                } else {
                    writeError(response, new CodedException(ErrorCode.INTERNAL, "internal error", failure));
                }
            } catch (CodedException e) {
                // The caller went away; there is nobody to tell.
                response.getRequest().getContext().getConnection().terminateSilently();
            } finally {
                response.resume();
            }
        });
    }

    private void writeSession(Response response, SessionAnswer answer) {
        if (answer instanceof SessionAnswer.Granted granted) {
            String owner = backend.ownerAddress(granted.session());
            SessionDocument document = new SessionDocument(granted.session().toString(), owner);
            HttpServers.write(response, 200, JSON, Json.write(document));
        } else if (answer instanceof SessionAnswer.Refused refused) {
            Verdict verdict = Verdict.failed(refused.reason());
            HttpServers.write(response, 503, JSON, Json.write(VerdictDocument.of("", verdict)));
        }
    }

    private static void writeAnswer(Response response, SubmissionId id, JobAnswer answer) {
        if (answer instanceof JobAnswer.Final result) {
            Verdict verdict = result.verdict();
            verdict.retryAfter()
                    .ifPresent(
                            after -> response.setHeader("Retry-After", Long.toString(Math.max(1, after.toSeconds()))));
            String body = Json.write(VerdictDocument.of(id.toString(), verdict));
            HttpServers.write(response, statusOf(verdict), JSON, body);
        } else {
            writeError(response, new CodedException(ErrorCode.NOT_FOUND, "never submitted: " + id));
        }
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

    private static void writeError(Response response, CodedException error) {
        ErrorDocument document = new ErrorDocument(error.code(), error.getMessage());
        HttpServers.write(response, statusOf(error.code()), JSON, Json.write(document));
    }

    /** Returns the HTTP status of an error. */
    static int statusOf(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST -> 400;
            case UNAUTHORIZED -> 401;
            case NOT_FOUND -> 404;
            case BODY_TOO_LARGE -> 413;
            default -> 500;
        };
    }

    @FunctionalInterface
    private interface Writer<T> {
        void write(T value);
    }
}
