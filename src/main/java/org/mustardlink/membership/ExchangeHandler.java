package org.mustardlink.membership;

import java.util.concurrent.CompletableFuture;

/** Answers what other entry hosts ask. Implementations are thread-safe and never block. */
public interface ExchangeHandler {
    /** Takes what a peer tells and returns what this host tells it. */
    CompletableFuture<ExchangeEnvelope> exchange(ExchangeEnvelope received);

    /**
     * Finds out whether an incarnation answers this host.
     *
     * @param host id of the host
     * @param incarnation its incarnation
     * @param peer its peer address, {@code ip:port}
     */
    CompletableFuture<CheckResult> check(String host, long incarnation, String peer);
}
