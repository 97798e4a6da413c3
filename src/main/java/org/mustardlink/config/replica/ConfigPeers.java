package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The other entry hosts, as far as their configuration is concerned. */
public interface ConfigPeers {
    /** Returns the other hosts; empty while it is not yet known whether there are any. */
    Optional<ImmutableList<Peer>> peers();

    /**
     * Asks a host for its configuration.
     *
     * @param peer the host
     * @param from first offset wanted
     * @param changeId change whose standing is wanted, empty for none
     * @param timeout longest time to wait; the future fails after it
     */
    CompletableFuture<ConfigPage> fetchPage(Peer peer, long from, String changeId, Duration timeout);

    /**
     * An entry host.
     *
     * @param id its id
     * @param domain its failure domain
     * @param address its peer address
     */
    record Peer(String id, String domain, InetSocketAddress address) {}
}
