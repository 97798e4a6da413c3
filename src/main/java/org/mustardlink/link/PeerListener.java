package org.mustardlink.link;

import org.mustardlink.ownership.HostInfo;

/**
 * Receives messages and connection events of {@link PeerLinks}. Methods are called on I/O threads and must not block.
 */
public interface PeerListener {
    /** Called for each message received. */
    void onMessage(HostInfo sender, PeerMessage message);

    /** Called when a connection opened by another host was closed. */
    void onInboundConnectionClosed(HostInfo sender);

    /** Called when bytes that cannot be decoded as a message arrive; the connection is closed. */
    void onMalformedFrame(String reason);

    /** Called when this host's connection to another host is open. */
    void onConnected(String host);

    /** Called when a connection attempt was refused because no process listens on the other host's address. */
    void onConnectionRefused(String host);
}
