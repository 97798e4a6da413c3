package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Calls other entry hosts. Futures complete within the timeout and never exceptionally. */
public interface ExchangeTransport {
    /**
     * Sends an exchange message.
     *
     * @param address {@code ip:port} of the peer
     */
    CompletableFuture<CallReply<ExchangeEnvelope>> exchange(String address, ExchangeEnvelope sent, Duration timeout);

    /**
     * Asks a peer to check a host.
     *
     * @param address {@code ip:port} of the peer
     * @param subject the host to check
     */
    CompletableFuture<CallReply<CheckResult>> check(String address, Member subject, Duration timeout);

    /**
     * The result of a call.
     *
     * @param outcome how the call ended
     * @param answer the answer, present if and only if the host was reached
     */
    record CallReply<T>(CheckResult outcome, Optional<T> answer) {
        public CallReply {
            checkNotNull(answer, "answer");
            checkArgument(
                    (outcome == CheckResult.REACHED) == answer.isPresent(),
                    "an answer must be present if and only if the outcome is REACHED, but the outcome is %s",
                    outcome);
        }

        /** Returns a reply with the answer of a host that was reached. */
        public static <T> CallReply<T> answered(T answer) {
            return new CallReply<>(CheckResult.REACHED, Optional.of(answer));
        }

        /** Returns a reply without an answer. */
        public static <T> CallReply<T> failed(CheckResult outcome) {
            return new CallReply<>(outcome, Optional.empty());
        }
    }
}
