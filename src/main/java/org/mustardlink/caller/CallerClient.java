package org.mustardlink.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.api.CallerApi.ErrorDocument;
import org.mustardlink.api.CallerApi.SessionDocument;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** HTTP client of callers: opens sessions, submits jobs, looks up verdicts and cancels submissions. */
public final class CallerClient {
    private static final Duration SESSION_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REPLY_MARGIN = Duration.ofSeconds(1);

    private final HttpRequester requester;

    /** Creates a client that sends its requests through a requester. */
    public CallerClient(HttpRequester requester) {
        this.requester = requester;
    }

    /**
     * Opens a session.
     *
     * @param entry caller address of any entry host
     * @return the id of the session; completes exceptionally with the reason if the entry host refuses
     */
    public CompletableFuture<String> openSession(InetSocketAddress entry) {
        return requester
                .send(entry, HttpCall.post("/v1/sessions", "", SESSION_TIMEOUT))
                .thenApply(reply -> Optional.ofNullable(
                                parseReply(reply, SessionDocument.class).session())
                        .orElseThrow(() -> new CodedException(
                                ErrorCode.NO_ANSWER,
                                "the entry host refused to open a session: "
                                        + parseReply(reply, VerdictDocument.class)
                                                .reason())));
    }

    /**
     * Submits a job.
     *
     * @param entry caller address of any entry host
     * @param session id of the session
     * @param sequence sequence number that the caller chose
     * @param job every field of the job except the submission and the deadline
     * @param deadline time within which the entry host must answer
     */
    public CompletableFuture<VerdictDocument> submit(
            InetSocketAddress entry, String session, long sequence, Map<String, Object> job, Duration deadline) {
        ImmutableMap<String, Object> body = ImmutableMap.<String, Object>builder()
                .putAll(job)
                .put("submission", ImmutableMap.of("session", session, "sequence", sequence))
                .put("deadlineMs", deadline.toMillis())
                .buildOrThrow();
        return requester
                .send(entry, HttpCall.post("/v1/jobs", Json.write(body), deadline.plus(REPLY_MARGIN)))
                .thenApply(reply -> parseReply(reply, VerdictDocument.class));
    }

    /**
     * Waits for the verdict of an earlier submission.
     *
     * @param entry caller address of any entry host
     * @param submission the submission id
     * @param timeout longest time to wait
     */
    public CompletableFuture<VerdictDocument> lookUp(InetSocketAddress entry, String submission, Duration timeout) {
        return requester
                .send(entry, HttpCall.get("/v1/jobs/" + submission, timeout))
                .thenApply(reply -> parseReply(reply, VerdictDocument.class));
    }

    /**
     * Cancels a submission and completes with the resulting verdict.
     *
     * @param entry caller address of any entry host
     * @param submission the submission id
     * @param timeout longest time to wait
     */
    public CompletableFuture<VerdictDocument> cancel(InetSocketAddress entry, String submission, Duration timeout) {
        return requester
                .send(entry, HttpCall.delete("/v1/jobs/" + submission, timeout))
                .thenApply(reply -> parseReply(reply, VerdictDocument.class));
    }

    private static <T> T parseReply(HttpReply reply, Class<T> type) {
        try {
            JsonNode document = Json.mapper().readTree(reply.body());
            if (document != null && document.has("error")) {
                ErrorDocument error = Json.mapper().treeToValue(document, ErrorDocument.class);
                throw new CodedException(error.error(), error.message());
            }
            if (document != null && document.isObject()) {
                return Json.mapper().treeToValue(document, type);
            }
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.NO_ANSWER, unexpectedReplyMessage(reply), e);
        }
        throw new CodedException(ErrorCode.NO_ANSWER, unexpectedReplyMessage(reply));
    }

    private static String unexpectedReplyMessage(HttpReply reply) {
        return "the reply is not that of an entry host: HTTP status " + reply.status();
    }
}
