package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.mustardlink.config.records.Change;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.Outcome;
import org.mustardlink.config.records.RejectedChangeException;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.directory.LogService;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Publishes operators' changes and waits until they are in force.
 *
 * <p>Success is reported only after the change was observed in force. If the response to an append is lost, the outcome is
 * determined by reading the log. A change whose id is already known is never appended again. Thread-safe.
 */
public final class ConfigPublisher {
    /** Maximum time until the appended record is read back from the log; an append takes several milliseconds. */
    private static final Duration READ_BACK_TIMEOUT = Duration.ofMillis(2500);

    private final String localHostId;
    private final LogService log;
    private final ConfigReplica replica;
    private final ConfigPeers peers;
    private final ChangeValidator validator;
    private final Clock clock;

    /**
     * Creates a publisher.
     *
     * @param localHostId id of this host
     * @param log the platform's log
     * @param replica replica of this host
     * @param peers the other hosts
     * @param schemas schema versions and features that this host supports
     * @param clock wall clock, for warnings about drain windows
     */
    public ConfigPublisher(
            String localHostId,
            LogService log,
            ConfigReplica replica,
            ConfigPeers peers,
            Schemas schemas,
            Clock clock) {
        this.localHostId = checkNotNull(localHostId, "host");
        this.log = checkNotNull(log, "log");
        this.replica = checkNotNull(replica, "replica");
        this.peers = checkNotNull(peers, "peers");
        this.validator = new ChangeValidator(schemas);
        this.clock = checkNotNull(clock, "clock");
    }

    /** Validates a change without appending it; the result of a valid change is {@code IN_FORCE} without any hosts. */
    public ApplyResult preview(String text) {
        try {
            Change change = Change.parse(text);
            ConfigState state = replica.state();
            return validator
                    .findRejection(state, change)
                    .map(ApplyResult::rejected)
                    .orElseGet(() -> ApplyResult.accepted(
                            change.id(),
                            -1,
                            ApplyResult.Hosts.none(),
                            validator.addedWarnings(state, change, clock.instant())));
        } catch (RejectedChangeException e) {
            return ApplyResult.rejected("", e.code(), String.valueOf(e.getMessage()));
        }
    }

    /** Publishes a change. The future completes with a result, never exceptionally, within a few seconds. */
    public CompletableFuture<ApplyResult> publish(String text) {
        ApplyResult preview = preview(text);
        if (!replica.isReady()) {
            return completed(ApplyResult.failed(
                    preview.change(),
                    ApplyResult.Result.NOT_READY,
                    "the configuration replica of this host is not ready yet"));
        }
        Optional<Outcome> knownOutcome = replica.state().outcome(preview.change());
        if (knownOutcome.isPresent()) {
            return reportOutcome(knownOutcome.get(), ImmutableList.of());
        }
        if (preview.result() == ApplyResult.Result.REJECTED) {
            return completed(preview);
        }
        return log.append(ConfigReader.CONFIG_STREAM, ImmutableList.of(text))
                .handle((_offset, failure) -> Optional.ofNullable(failure))
                .thenCompose(failure -> awaitOutcome(preview, failure));
    }

    private CompletableFuture<ApplyResult> awaitOutcome(ApplyResult preview, Optional<Throwable> failure) {
        String changeId = preview.change();
        if (failure.filter(ConfigPublisher::isCertainlyNotSent).isPresent()) {
            return completed(ApplyResult.failed(
                    changeId,
                    ApplyResult.Result.NOT_APPENDED,
                    "the platform cannot be reached; the change was not appended"));
        }
        return replica.awaitState(state -> state.outcome(changeId).isPresent())
                .orTimeout(READ_BACK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .handle((state, _timeout) -> Optional.ofNullable(state).flatMap(read -> read.outcome(changeId)))
                .thenCompose(outcome -> outcome.map(known -> reportOutcome(known, preview.warnings()))
                        .orElseGet(() -> completed(unsettledResult(changeId, failure))));
    }

    private static ApplyResult unsettledResult(String changeId, Optional<Throwable> failure) {
        String message = failure.map(
                        cause -> "the platform did not confirm that the change was appended: " + cause.getMessage())
                .orElse("the change was appended, but not read back from the log within the timeout");
        return ApplyResult.failed(changeId, ApplyResult.Result.UNSETTLED, message);
    }

    private CompletableFuture<ApplyResult> reportOutcome(Outcome outcome, ImmutableList<String> warnings) {
        if (!outcome.isAccepted()) {
            return completed(ApplyResult.rejected(outcome));
        }
        return new PropagationMonitor(localHostId, replica, peers, outcome)
                .awaitPropagation()
                .thenApply(hosts -> ApplyResult.accepted(outcome.changeId(), outcome.offset(), hosts, warnings));
    }

    private static boolean isCertainlyNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT;
    }

    private static CompletableFuture<ApplyResult> completed(ApplyResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
