package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Access to the configuration of the other entry hosts. */
public interface ConfigPeers {
    /** Returns the other hosts; empty if the list of hosts is not known yet. */
    Optional<ImmutableList<Peer>> peers();

    /**
     * Requests the configuration of a host.
     *
     * @param peer the host
     * @param from offset of the first record to return
     * @param changeId id of the change whose status to return; empty for none
     * @param timeout time after which the future fails
     */
    CompletableFuture<ConfigPage> fetchPage(Peer peer, long from, String changeId, Duration timeout);

    /**
     * An entry host.
     *
     * @param id id of the host
     * @param domain failure domain of the host
     * @param address address of the host for other entry hosts
     */
    record Peer(String id, String domain, InetSocketAddress address) {}
}
