package org.mustardlink.link;

import org.mustardlink.ownership.HostInfo;

/** Ignores all messages and events; tests override the methods they need. */
public class IgnoringPeerListener implements PeerListener {
    @Override
    public void onMessage(HostInfo _sender, PeerMessage _message) {}

    @Override
    public void onInboundConnectionClosed(HostInfo _sender) {}

    @Override
    public void onMalformedFrame(String _why) {}

    @Override
    public void onConnected(String _host) {}

    @Override
    public void onConnectionRefused(String _host) {}
}
