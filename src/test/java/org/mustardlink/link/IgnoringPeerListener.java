package org.mustardlink.link;

import org.mustardlink.ownership.HostInfo;

/** Ignores everything; tests override what they look at. */
public class IgnoringPeerListener implements PeerListener {
    @Override
    public void received(HostInfo _sender, PeerMessage _message) {}

    @Override
    public void closed(HostInfo _sender) {}

    @Override
    public void malformed(String _why) {}

    @Override
    public void connected(String _host) {}

    @Override
    public void refused(String _host) {}
}
