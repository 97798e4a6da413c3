package org.mustardlink.standin;

import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;

/** Counts the open connections of a server. Thread-safe. */
final class ConnectionCounter extends ConnectionProbe.Adapter {
    private final AtomicInteger openCount = new AtomicInteger();
    private final AtomicInteger peak = new AtomicInteger();

    @Override
    @SuppressWarnings("RawTypes")
    public void onAcceptEvent(Connection _server, Connection _client) {
        peak.accumulateAndGet(openCount.incrementAndGet(), Math::max);
    }

    @Override
    @SuppressWarnings("RawTypes")
    public void onCloseEvent(Connection _client) {
        openCount.decrementAndGet();
    }

    /** Returns the largest number of connections open at once since the start. */
    int peak() {
        return peak.get();
    }
}
