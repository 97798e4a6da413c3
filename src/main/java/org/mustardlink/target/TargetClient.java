package org.mustardlink.target;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.mustardlink.core.AttemptResult;
import org.mustardlink.core.Command;
import org.mustardlink.core.LoadReport;
import org.mustardlink.core.Reason;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;

/** Starts and stops tasks at targets. Thread-safe. */
public final class TargetClient {
    /** Time beyond the lease that an answer may take on the network. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final HttpRequester requester;

    private TargetClient(HttpRequester requester) {
        this.requester = requester;
    }

    /** Returns a client that sends through the requester. */
    public static TargetClient create(HttpRequester requester) {
        return new TargetClient(requester);
    }

    /**
     * Sends a task to its target.
     *
     * @return how the attempt ended; never completes exceptionally
     */
    public CompletableFuture<AttemptResult> start(Command.StartTask command) {
        String taskId = command.task().toString();
        HttpCall call = new HttpCall(
                "POST",
                TargetProtocol.TASKS_PATH,
                ImmutableMap.of(
                        TargetProtocol.TASK_HEADER,
                        taskId,
                        TargetProtocol.LEASE_HEADER,
                        Long.toString(Math.max(1, command.lease().toMillis()))),
                command.spec().payload(),
                command.lease().plus(ANSWER_MARGIN));
        return requester
                .send(Addresses.parse(command.target().address()), call)
                .thenApply(reply -> interpret(taskId, reply))
                .exceptionally(TargetClient::interpretFailure);
    }

    /** Asks a target to stop a task, without waiting for the answer. */
    public void stop(Command.StopTask command) {
        HttpCall call = HttpCall.delete(TargetProtocol.TASKS_PATH + '/' + command.task(), STOP_TIMEOUT);
        CompletableFuture<HttpReply> _ignored =
                requester.send(Addresses.parse(command.target().address()), call);
    }

    private static AttemptResult interpret(String taskId, HttpReply reply) {
        Optional<LoadReport> load = load(reply);
        Optional<String> notRun = reply.header(TargetProtocol.NOT_RUN_HEADER);
        if (reply.status() == 503 && notRun.isPresent()) {
            boolean draining = notRun.get().equals(TargetProtocol.NOT_RUN_DRAINING);
            return new AttemptResult.NotStarted(
                    draining ? AttemptResult.NotStartedCause.DRAINING : AttemptResult.NotStartedCause.BUSY, load);
        }
        if (!reply.header(TargetProtocol.TASK_HEADER).equals(Optional.of(taskId))) {
            return new AttemptResult.Lost(Reason.ANSWER_DAMAGED, load);
        }
        if (reply.status() != 200) {
            return new AttemptResult.Lost(Reason.TASK_FAILED, load);
        }
        boolean whole =
                reply.header(TargetProtocol.DIGEST_HEADER).equals(Optional.of(TargetProtocol.digest(reply.body())));
        return whole
                ? new AttemptResult.Completed(reply.body(), load)
                : new AttemptResult.Lost(Reason.ANSWER_DAMAGED, load);
    }

    private static AttemptResult interpretFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT;
        return notSent
                ? new AttemptResult.NotStarted(AttemptResult.NotStartedCause.NO_CONNECTION, Optional.empty())
                : new AttemptResult.Lost(Reason.TARGET_LOST, Optional.empty());
    }

    private static Optional<LoadReport> load(HttpReply reply) {
        Integer busy = Ints.tryParse(reply.header(TargetProtocol.BUSY_HEADER).orElse(""));
        Integer slots = Ints.tryParse(reply.header(TargetProtocol.SLOTS_HEADER).orElse(""));
        boolean usable = busy != null && slots != null && busy >= 0 && slots >= 0;
        return usable ? Optional.of(new LoadReport(busy, slots)) : Optional.empty();
    }
}
