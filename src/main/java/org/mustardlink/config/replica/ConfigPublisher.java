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
 * Publishes operators' changes and watches them take effect.
 *
 * <p>Success is reported only after the change was seen in force. An append whose answer was lost is settled by reading
 * the log further; a change id that is already known is never appended again. Thread-safe.
 */
public final class ConfigPublisher {
    /** Longest wait for the record to come back through the log; an append takes several milliseconds. */
    private static final Duration SETTLE = Duration.ofMillis(2500);

    private final String host;
    private final LogService log;
    private final ConfigReplica replica;
    private final ConfigPeers peers;
    private final ChangeChecks checks;
    private final Clock clock;

    /**
     * Creates a publisher.
     *
     * @param host id of this host
     * @param log the platform's log
     * @param replica this host's copy
     * @param peers the other hosts
     * @param schemas what this host understands
     * @param clock wall clock, for warnings about windows
     */
    public ConfigPublisher(
            String host, LogService log, ConfigReplica replica, ConfigPeers peers, Schemas schemas, Clock clock) {
        this.host = checkNotNull(host, "host");
        this.log = checkNotNull(log, "log");
        this.replica = checkNotNull(replica, "replica");
        this.peers = checkNotNull(peers, "peers");
        this.checks = new ChangeChecks(schemas);
        this.clock = checkNotNull(clock, "clock");
    }

    /** Returns what would become of a change, without appending it: {@code IN_FORCE} on no host if it is valid. */
    public ApplyResult preview(String text) {
        try {
            Change change = Change.parse(text);
            ConfigState state = replica.state();
            return checks.refusal(state, change)
                    .map(ApplyResult::rejected)
                    .orElseGet(() -> ApplyResult.accepted(
                            change.id(),
                            -1,
                            ApplyResult.Hosts.none(),
                            checks.warnings(state, change, clock.instant())));
        } catch (RejectedChangeException e) {
            return ApplyResult.rejected("", e.code(), String.valueOf(e.getMessage()));
        }
    }

    /** Publishes a change; completes with a result, not with an exception, after a few seconds at most. */
    public CompletableFuture<ApplyResult> apply(String text) {
        ApplyResult preview = preview(text);
        if (!replica.ready()) {
            return done(ApplyResult.failed(
                    preview.change(), ApplyResult.Result.NOT_READY, "this host has no configuration yet"));
        }
        Optional<Outcome> known = replica.state().outcome(preview.change());
        if (known.isPresent()) {
            return report(known.get(), ImmutableList.of());
        }
        if (preview.result() == ApplyResult.Result.REJECTED) {
            return done(preview);
        }
        return log.append(ConfigReader.STREAM, ImmutableList.of(text))
                .handle((_offset, failure) -> Optional.ofNullable(failure))
                .thenCompose(failure -> settle(preview, failure));
    }

    private CompletableFuture<ApplyResult> settle(ApplyResult preview, Optional<Throwable> failure) {
        String change = preview.change();
        if (failure.filter(ConfigPublisher::isCertainlyNotSent).isPresent()) {
            return done(ApplyResult.failed(change, ApplyResult.Result.NOT_APPENDED, "the platform cannot be reached"));
        }
        return replica.await(state -> state.outcome(change).isPresent())
                .orTimeout(SETTLE.toMillis(), TimeUnit.MILLISECONDS)
                .handle((state, _timeout) -> Optional.ofNullable(state).flatMap(read -> read.outcome(change)))
                .thenCompose(outcome -> outcome.map(known -> report(known, preview.warnings()))
                        .orElseGet(() -> done(unsettled(change, failure))));
    }

    private static ApplyResult unsettled(String change, Optional<Throwable> failure) {
        String message = failure.map(cause -> "the append was not confirmed: " + cause.getMessage())
                .orElse("appended, and not read back yet");
        return ApplyResult.failed(change, ApplyResult.Result.UNSETTLED, message);
    }

    private CompletableFuture<ApplyResult> report(Outcome outcome, ImmutableList<String> warnings) {
        if (!outcome.accepted()) {
            return done(ApplyResult.rejected(outcome));
        }
        return new SpreadWatch(host, replica, peers, outcome)
                .watch()
                .thenApply(hosts -> ApplyResult.accepted(outcome.change(), outcome.offset(), hosts, warnings));
    }

    private static boolean isCertainlyNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT;
    }

    private static CompletableFuture<ApplyResult> done(ApplyResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
