package org.mustardlink.membership;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of other entry hosts. Implementations are thread-safe and never block. */
public interface ExchangeHandler {
    /** Merges a peer's message and returns this host's message to it. */
    CompletableFuture<ExchangeEnvelope> exchange(ExchangeEnvelope received);

    /**
     * Checks whether an incarnation of a host answers a call from this host.
     *
     * @param host id of the host
     * @param incarnation expected incarnation of the host
     * @param peer peer address of the host, {@code ip:port}
     */
    CompletableFuture<CheckResult> check(String host, long incarnation, String peer);
}
