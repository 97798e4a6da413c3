package org.mustardlink.platform;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.pool.LeaseExtension;
import org.mustardlink.pool.LeaseReport;
import org.mustardlink.pool.OrderVerdict;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.TargetEntry;
import org.mustardlink.pool.TaskName;

/** Sends start, stop and lease-extension orders to targets and decodes the responses. Thread-safe. */
public final class TargetOrderClient {
    /** Time-out of a start or stop order; a target usually responds within a few milliseconds. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(120);
    /** Time-out of a request for a report, in addition to the time for which the target was asked to wait. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(200);

    private static final int OK = 200;

    private final HttpRequester requester;

    private TargetOrderClient(HttpRequester requester) {
        this.requester = requester;
    }

    /** Returns a client that sends its orders through a requester. */
    public static TargetOrderClient create(HttpRequester requester) {
        return new TargetOrderClient(requester);
    }

    /**
     * Response to a start or stop order.
     *
     * @param verdict the effect of the order, as far as it is known
     * @param clockMs the target's clock in milliseconds, 0 if the response does not contain it
     */
    public record OrderResponse(OrderVerdict verdict, long clockMs) {}

    /**
     * Response to a lease extension.
     *
     * @param verdict {@link OrderVerdict#DONE} if there is a report, otherwise the reason why there is none
     * @param report the target's report
     */
    public record ReportResponse(OrderVerdict verdict, Optional<LeaseReport> report) {}

    /** Orders a target to start a run. */
    public void start(
            TargetEntry target,
            RunId run,
            String payload,
            long deadlineMs,
            long fence,
            Consumer<OrderResponse> onResponse) {
        StringBuilder body = new StringBuilder(payload.length() + 160);
        body.append("{\"task\":\"")
                .append(formatTaskName(run.task()))
                .append("\",\"run\":")
                .append(run.attempt());
        body.append(",\"spec\":\"");
        JsonStringEncoder.getInstance().quoteAsString(payload, body);
        body.append("\",\"deadlineMs\":")
                .append(deadlineMs)
                .append(",\"fence\":")
                .append(fence)
                .append('}');
        sendOrder(target, PlatformProtocol.START_PATH, body.toString(), onResponse);
    }

    /** Orders a target to stop a run, or not to start it if it has not begun yet. */
    public void stop(TargetEntry target, RunId run, long fence, Consumer<OrderResponse> onResponse) {
        String body = "{\"task\":\"" + formatTaskName(run.task()) + "\",\"run\":" + run.attempt() + ",\"fence\":"
                + fence + '}';
        sendOrder(target, PlatformProtocol.STOP_PATH, body, onResponse);
    }

    private void sendOrder(TargetEntry target, String path, String body, Consumer<OrderResponse> onResponse) {
        CompletableFuture<HttpReply> _sent = requester
                .send(target.address(), newCall(target, path, body, ORDER_TIMEOUT))
                .whenComplete((reply, failure) -> onResponse.accept(
                        failure != null ? new OrderResponse(verdictOf(failure), 0) : decodeOrderResponse(reply)));
    }

    /** Extends a target's lease and requests its report. */
    public void extendLease(TargetEntry target, LeaseExtension order, Consumer<ReportResponse> onResponse) {
        StringBuilder body = new StringBuilder(96);
        body.append("{\"fence\":")
                .append(order.fencingToken())
                .append(",\"ackedUpto\":")
                .append(order.acknowledgedUpTo());
        order.leaseDeadlineMs()
                .ifPresent(deadline -> body.append(",\"deadlineMs\":").append(deadline));
        if (order.waitMs() > 0) {
            body.append(",\"waitMs\":").append(order.waitMs());
        }
        body.append('}');
        Duration timeout = REPORT_TIMEOUT.plusMillis(order.waitMs());
        CompletableFuture<HttpReply> _sent = requester
                .send(target.address(), newCall(target, PlatformProtocol.EXTEND_LEASE_PATH, body.toString(), timeout))
                .whenComplete((reply, failure) -> onResponse.accept(
                        failure != null
                                ? new ReportResponse(verdictOf(failure), Optional.empty())
                                : decodeReportResponse(reply)));
    }

    private static HttpCall newCall(TargetEntry target, String path, String body, Duration timeout) {
        return new HttpCall(
                        "POST",
                        path,
                        ImmutableMap.of(
                                "Content-Type", "application/json", PlatformProtocol.INSTANCE_HEADER, target.id()),
                        body,
                        timeout)
                .withoutReplyHeaders();
    }

    private static OrderVerdict verdictOf(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        boolean notSent = (failure instanceof CodedException direct && direct.code() == ErrorCode.NOT_SENT)
                || (cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT);
        return notSent ? OrderVerdict.NOT_SENT : OrderVerdict.UNKNOWN;
    }

    static OrderResponse decodeOrderResponse(HttpReply reply) {
        // Without a complete body, the effect of the order is decided by the status code alone.
        Optional<TargetReplyDecoder> body = TargetReplyDecoder.decode(reply.body());
        String reason = body.map(TargetReplyDecoder::reason).orElse("");
        return new OrderResponse(
                verdictOf(reply.status(), reason),
                body.map(TargetReplyDecoder::clockMs).orElse(0L));
    }

    private static OrderVerdict verdictOf(int status, String reason) {
        return switch (status) {
            case OK -> OrderVerdict.DONE;
            case 409 ->
                switch (reason) {
                    case "fence" -> OrderVerdict.FENCED;
                    case "old" -> OrderVerdict.OLD;
                    case "late" -> OrderVerdict.LATE;
                    case "room" -> OrderVerdict.NO_ROOM;
                    default -> OrderVerdict.REJECTED;
                };
            case 400 -> OrderVerdict.REJECTED;
            case 421 -> OrderVerdict.OTHER_INSTANCE;
            case 429, 503 -> OrderVerdict.UNHEALTHY;
            // Other status codes do not tell whether the order was carried out.
            default -> OrderVerdict.UNKNOWN;
        };
    }

    static ReportResponse decodeReportResponse(HttpReply reply) {
        Optional<TargetReplyDecoder> body = TargetReplyDecoder.decode(reply.body());
        if (reply.status() != OK || body.isEmpty()) {
            OrderVerdict verdict = verdictOf(
                    reply.status(), body.map(TargetReplyDecoder::reason).orElse(""));
            return new ReportResponse(verdict == OrderVerdict.DONE ? OrderVerdict.UNKNOWN : verdict, Optional.empty());
        }
        try {
            return new ReportResponse(OrderVerdict.DONE, Optional.of(body.get().toReport()));
        } catch (IllegalArgumentException e) {
            // A malformed report counts as an unknown outcome.
            return new ReportResponse(OrderVerdict.UNKNOWN, Optional.empty());
        }
    }

    static String formatTaskName(TaskName name) {
        return name.job() + '.' + name.occurrence() + '.' + name.step() + '.' + name.index();
    }

    /**
     * Parses the name of a task. Uses index searches instead of a regular expression or split, because each report
     * contains a name for every running and ended task.
     */
    static TaskName parseTaskName(String text) {
        int first = text.indexOf('.');
        int second = text.indexOf('.', first + 1);
        int third = text.indexOf('.', second + 1);
        if (first < 0 || second < 0 || third < 0 || text.indexOf('.', third + 1) >= 0) {
            throw new IllegalArgumentException("malformed task name: " + text);
        }
        return new TaskName(
                text.substring(0, first),
                Integer.parseInt(text, first + 1, second, 10),
                Integer.parseInt(text, second + 1, third, 10),
                Integer.parseInt(text, third + 1, text.length(), 10));
    }
}
