package org.mustardlink.target;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
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
import org.mustardlink.http.TimeoutMonitor;

/** HTTP client that starts and stops tasks at targets. Thread-safe. */
public final class TargetClient {
    /**
     * An attempt times out a tenth of its lease before the lease ends, but at most this long before, so that the job ends
     * with {@link Reason#TARGET_TIMEOUT}.
     */
    private static final Duration MAX_LEASE_MARGIN = Duration.ofMillis(50);
    /** A connection that has been idle for longer carries no task, because a middlebox may have dropped its state. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(1);
    /** Consecutive timeouts after which a target counts as silent. */
    private static final int SILENCE_THRESHOLD = 3;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final HttpRequester requester;
    private final Consumer<String> silentTargetListener;
    private final TimeoutMonitor timeoutMonitor = new TimeoutMonitor(SILENCE_THRESHOLD);
    private final AtomicLong droppedAnswerCount = new AtomicLong();

    private TargetClient(HttpRequester requester, Consumer<String> silentTargetListener) {
        this.requester = requester;
        this.silentTargetListener = silentTargetListener;
    }

    /**
     * Returns a client that sends its requests through a requester.
     *
     * @param silentTargetListener receives the id of a target after several consecutive timeouts
     */
    public static TargetClient create(HttpRequester requester, Consumer<String> silentTargetListener) {
        return new TargetClient(requester, silentTargetListener);
    }

    /**
     * Returns how many replies were dropped because they carried no task id or that of another task, or because their
     * body did not match its digest.
     */
    public long droppedAnswerCount() {
        return droppedAnswerCount.get();
    }

    /**
     * Sends a task to its target and waits for its result.
     *
     * @return the result of the attempt; never completes exceptionally
     */
    public CompletableFuture<AttemptResult> startTask(Command.StartTask command) {
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
                attemptTimeout(command.lease()),
                MAX_IDLE);
        InetSocketAddress address = Addresses.parse(command.target().address());
        return requester
                .send(address, call, reply -> isAnswerTo(taskId, reply))
                .thenApply(reply -> {
                    timeoutMonitor.recordAnswer(address);
                    return toResult(taskId, reply);
                })
                .exceptionally(failure -> toFailedResult(command, address, failure));
    }

    private static Duration attemptTimeout(Duration lease) {
        Duration margin = lease.dividedBy(10).compareTo(MAX_LEASE_MARGIN) < 0 ? lease.dividedBy(10) : MAX_LEASE_MARGIN;
        return lease.minus(margin);
    }

    private static boolean isAnswerTo(String taskId, HttpReply reply) {
        return reply.header(TargetProtocol.TASK_HEADER).equals(Optional.of(taskId));
    }

    /** Asks a target to stop a task. The reply is ignored. */
    public void stopTask(Command.StopTask command) {
        HttpCall call = HttpCall.delete(TargetProtocol.TASKS_PATH + '/' + command.task(), STOP_TIMEOUT);
        CompletableFuture<HttpReply> _unused =
                requester.send(Addresses.parse(command.target().address()), call);
    }

    private AttemptResult toResult(String taskId, HttpReply reply) {
        Optional<LoadReport> load = parseLoadReport(reply);
        if (!isAnswerTo(taskId, reply)) {
            // The task id is checked first: a "not run" reply to another task would start this task, which may be
            // running, on a second target.
            droppedAnswerCount.incrementAndGet();
            return new AttemptResult.Lost(Reason.ANSWER_DAMAGED, load);
        }
        Optional<String> notRun = reply.header(TargetProtocol.NOT_RUN_HEADER);
        if (reply.status() == 503 && notRun.isPresent()) {
            boolean draining = notRun.get().equals(TargetProtocol.NOT_RUN_DRAINING);
            return new AttemptResult.NotStarted(
                    draining ? AttemptResult.NotStartedCause.DRAINING : AttemptResult.NotStartedCause.BUSY, load);
        }
        if (reply.status() != 200) {
            return new AttemptResult.Lost(Reason.TASK_FAILED, load);
        }
        boolean digestMatches =
                reply.header(TargetProtocol.DIGEST_HEADER).equals(Optional.of(TargetProtocol.digest(reply.body())));
        if (!digestMatches) {
            droppedAnswerCount.incrementAndGet();
            return new AttemptResult.Lost(Reason.ANSWER_DAMAGED, load);
        }
        return new AttemptResult.Completed(reply.body(), load);
    }

    private AttemptResult toFailedResult(Command.StartTask command, InetSocketAddress address, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ErrorCode code = cause instanceof CodedException coded ? coded.code() : ErrorCode.INTERNAL;
        if (code == ErrorCode.NOT_SENT) {
            return new AttemptResult.NotStarted(AttemptResult.NotStartedCause.NO_CONNECTION, Optional.empty());
        }
        if (code != ErrorCode.TIMED_OUT) {
            return new AttemptResult.Lost(Reason.TARGET_LOST, Optional.empty());
        }
        if (timeoutMonitor.recordTimeout(address)) {
            requester.invalidateIdleConnections(address);
            silentTargetListener.accept(command.target().id());
        }
        return new AttemptResult.Lost(Reason.TARGET_TIMEOUT, Optional.empty());
    }

    private static Optional<LoadReport> parseLoadReport(HttpReply reply) {
        Integer busy = Ints.tryParse(reply.header(TargetProtocol.BUSY_HEADER).orElse(""));
        Integer slots = Ints.tryParse(reply.header(TargetProtocol.SLOTS_HEADER).orElse(""));
        boolean isValid = busy != null && slots != null && busy >= 0 && slots >= 0;
        return isValid ? Optional.of(new LoadReport(busy, slots)) : Optional.empty();
    }
}
