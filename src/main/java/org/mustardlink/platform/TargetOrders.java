package org.mustardlink.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
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
import org.mustardlink.http.Json;
import org.mustardlink.pool.LeaseExtension;
import org.mustardlink.pool.LeaseReport;
import org.mustardlink.pool.OrderVerdict;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.TargetEntry;
import org.mustardlink.pool.TaskName;

/** Sends orders to targets and decodes their answers. Thread-safe. */
public final class TargetOrders {
    /** A start or stop without an answer counts as lost after this long; a target answers within a few milliseconds. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(120);
    /** The same for a report, beyond the time for which the target was asked to wait. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(200);

    private static final int OK = 200;
    private static final int ROW_TASK = 0;
    private static final int ROW_RUN = 1;
    private static final int ROW_PERCENT = 3;
    private static final int END_NUMBER = 0;
    private static final int END_TASK = 1;
    private static final int END_RUN = 2;
    private static final int END_HOW = 3;

    private final HttpRequester requester;

    private TargetOrders(HttpRequester requester) {
        this.requester = requester;
    }

    /** Returns orders that are sent through a client. */
    public static TargetOrders create(HttpRequester requester) {
        return new TargetOrders(requester);
    }

    /**
     * Answer to a start or a stop.
     *
     * @param verdict what it says about the order's effect
     * @param clockMs the target's clock, 0 if it isn't told
     */
    public record OrderAnswer(OrderVerdict verdict, long clockMs) {}

    /**
     * Answer to a request for a report.
     *
     * @param verdict {@link OrderVerdict#DONE} with a report, otherwise why there is none
     * @param report the report
     */
    public record ReportAnswer(OrderVerdict verdict, Optional<LeaseReport> report) {}

    /** Orders a start. */
    public void start(
            TargetEntry target,
            RunId run,
            String payload,
            long deadlineMs,
            long fence,
            Consumer<OrderAnswer> onAnswer) {
        StringBuilder body = new StringBuilder(payload.length() + 160);
        body.append("{\"task\":\"")
                .append(format(run.task()))
                .append("\",\"run\":")
                .append(run.attempt());
        body.append(",\"spec\":\"");
        JsonStringEncoder.getInstance().quoteAsString(payload, body);
        body.append("\",\"deadlineMs\":")
                .append(deadlineMs)
                .append(",\"fence\":")
                .append(fence)
                .append('}');
        order(target, Wire.START_PATH, body.toString(), onAnswer);
    }

    /** Orders that a run ends, or that it never begins. */
    public void stop(TargetEntry target, RunId run, long fence, Consumer<OrderAnswer> onAnswer) {
        String body = "{\"task\":\"" + format(run.task()) + "\",\"run\":" + run.attempt() + ",\"fence\":" + fence + '}';
        order(target, Wire.STOP_PATH, body, onAnswer);
    }

    private void order(TargetEntry target, String path, String body, Consumer<OrderAnswer> onAnswer) {
        CompletableFuture<HttpReply> _sent = requester
                .send(target.address(), call(target, path, body, ORDER_TIMEOUT))
                .whenComplete((reply, failure) ->
                        onAnswer.accept(failure != null ? new OrderAnswer(verdict(failure), 0) : orderAnswer(reply)));
    }

    /** Extends a target's lease and asks for its report. */
    public void hold(TargetEntry target, LeaseExtension order, Consumer<ReportAnswer> onAnswer) {
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
                .send(target.address(), call(target, Wire.HOLD_PATH, body.toString(), timeout))
                .whenComplete((reply, failure) -> onAnswer.accept(
                        failure != null ? new ReportAnswer(verdict(failure), Optional.empty()) : reportAnswer(reply)));
    }

    private static HttpCall call(TargetEntry target, String path, String body, Duration timeout) {
        return new HttpCall(
                "POST",
                path,
                ImmutableMap.of("Content-Type", "application/json", Wire.INSTANCE_HEADER, target.id()),
                body,
                timeout);
    }

    private static OrderVerdict verdict(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        boolean notSent = (failure instanceof CodedException direct && direct.code() == ErrorCode.NOT_SENT)
                || (cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT);
        return notSent ? OrderVerdict.NOT_SENT : OrderVerdict.UNKNOWN;
    }

    private static OrderAnswer orderAnswer(HttpReply reply) {
        Optional<JsonNode> body = tree(reply);
        long clock = body.map(node -> node.path(Wire.CLOCK).asLong(0)).orElse(0L);
        String reason = body.map(node -> node.path(Wire.REASON).asText("")).orElse("");
        return new OrderAnswer(verdict(reply.status(), reason), clock);
    }

    private static OrderVerdict verdict(int status, String reason) {
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
            // Another status promises nothing about the order.
            default -> OrderVerdict.UNKNOWN;
        };
    }

    private static ReportAnswer reportAnswer(HttpReply reply) {
        Optional<JsonNode> body = tree(reply);
        if (reply.status() != OK || body.isEmpty()) {
            String reason = body.map(node -> node.path(Wire.REASON).asText("")).orElse("");
            OrderVerdict verdict = verdict(reply.status(), reason);
            return new ReportAnswer(verdict == OrderVerdict.DONE ? OrderVerdict.UNKNOWN : verdict, Optional.empty());
        }
        try {
            return new ReportAnswer(OrderVerdict.DONE, Optional.of(report(body.get())));
        } catch (IllegalArgumentException e) {
            // A report that can't be read is no report.
            return new ReportAnswer(OrderVerdict.UNKNOWN, Optional.empty());
        }
    }

    private static LeaseReport report(JsonNode body) {
        ImmutableList.Builder<LeaseReport.RunProgress> running = ImmutableList.builder();
        for (JsonNode row : body.path("running")) {
            RunId run = new RunId(
                    parse(row.path(ROW_TASK).asText()), row.path(ROW_RUN).asInt());
            running.add(new LeaseReport.RunProgress(run, row.path(ROW_PERCENT).asInt()));
        }
        ImmutableList.Builder<LeaseReport.RunEnd> ended = ImmutableList.builder();
        for (JsonNode row : body.path("ended")) {
            RunId run = new RunId(
                    parse(row.path(END_TASK).asText()), row.path(END_RUN).asInt());
            ended.add(new LeaseReport.RunEnd(
                    row.path(END_NUMBER).asLong(), run, how(row.path(END_HOW).asText())));
        }
        return new LeaseReport(
                body.path(Wire.CLOCK).asLong(), body.path(Wire.BORN).asLong(0), running.build(), ended.build());
    }

    private static LeaseReport.RunOutcome how(String text) {
        return switch (text) {
            case "done" -> LeaseReport.RunOutcome.DONE;
            case "failed" -> LeaseReport.RunOutcome.FAILED;
            case "stopped" -> LeaseReport.RunOutcome.STOPPED;
            case "lapsed" -> LeaseReport.RunOutcome.LAPSED;
            case "broken", "alone" -> LeaseReport.RunOutcome.BROKEN;
            default -> throw new IllegalArgumentException("unknown end of a run: " + text);
        };
    }

    private static Optional<JsonNode> tree(HttpReply reply) {
        try {
            return Optional.ofNullable(Json.tree(reply.body())).filter(JsonNode::isObject);
        } catch (JsonProcessingException e) {
            // The verdict then says that the effect isn't known.
            return Optional.empty();
        }
    }

    static String format(TaskName name) {
        return name.job() + '.' + name.occurrence() + '.' + name.step() + '.' + name.index();
    }

    /** Reads the name of a task; searched by hand, because each report lists a name for every run and end. */
    static TaskName parse(String text) {
        int first = text.indexOf('.');
        int second = text.indexOf('.', first + 1);
        int third = text.indexOf('.', second + 1);
        if (first < 0 || second < 0 || third < 0 || text.indexOf('.', third + 1) >= 0) {
            throw new IllegalArgumentException("not the name of a task: " + text);
        }
        return new TaskName(
                text.substring(0, first),
                Integer.parseInt(text, first + 1, second, 10),
                Integer.parseInt(text, second + 1, third, 10),
                Integer.parseInt(text, third + 1, text.length(), 10));
    }
}
