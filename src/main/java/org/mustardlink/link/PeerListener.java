package org.mustardlink.link;

import org.mustardlink.ownership.HostInfo;

/** Hears what happens on the links to other hosts; called on I/O threads, so it must not block. */
public interface PeerListener {
    /** A message arrived. */
    void onMessage(HostInfo sender, PeerMessage message);

    /** A connection that another host had opened was closed by it or by the network. */
    void onInboundConnectionClosed(HostInfo sender);

    /** Bytes on a connection can't be read as a message; the connection is closed. */
    void onMalformedFrame(String reason);

    /** Our connection to a host is open. */
    void onConnected(String host);

    /** Our connection to a host was refused: nothing listens there. */
    void onConnectionRefused(String host);
}
