package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Calls other entry hosts. Futures complete within the timeout and never exceptionally. */
public interface ExchangeTransport {
    /**
     * Sends an exchange.
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
     * How a call ended.
     *
     * @param outcome how the called host behaved
     * @param answer its answer, present if it was reached
     */
    record CallReply<T>(CheckResult outcome, Optional<T> answer) {
        public CallReply {
            checkNotNull(answer, "answer");
            checkArgument(
                    (outcome == CheckResult.REACHED) == answer.isPresent(),
                    "an answer needs a reached host: %s",
                    outcome);
        }

        /** Returns the answer of a host that was reached. */
        public static <T> CallReply<T> answered(T answer) {
            return new CallReply<>(CheckResult.REACHED, Optional.of(answer));
        }

        /** Returns that no answer came. */
        public static <T> CallReply<T> failed(CheckResult outcome) {
            return new CallReply<>(outcome, Optional.empty());
        }
    }
}
