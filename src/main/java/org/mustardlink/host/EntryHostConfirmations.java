package org.mustardlink.host;

import java.util.HashMap;
import java.util.Map;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.pool.RequestConfirmations;
import org.mustardlink.pool.RequestId;

/**
 * When each entry host last confirmed its open requests. A heartbeat confirms all requests of its sender if it lists all
 * withdrawals that the receiver may have missed. Requests of this host itself are always up to date. Runs on
 * the loop thread.
 */
final class EntryHostConfirmations implements RequestConfirmations {
    private final HostInfo self;
    private final Map<String, Confirmation> lastByHost = new HashMap<>();

    private record Confirmation(long incarnation, long receivedNanos) {}

    EntryHostConfirmations(HostInfo self) {
        this.self = self;
    }

    /** Records that a heartbeat of an entry host was received that confirms its requests. */
    void confirm(HostInfo entryHost, long receivedNanos) {
        lastByHost.put(entryHost.id(), new Confirmation(entryHost.incarnation(), receivedNanos));
    }

    @Override
    public long lastConfirmedNanos(RequestId request, long now) {
        if (request.host().equals(self.id()) && request.incarnation() == self.incarnation()) {
            return now;
        }
        Confirmation last = lastByHost.get(request.host());
        return last == null || last.incarnation() != request.incarnation() ? Long.MIN_VALUE : last.receivedNanos();
    }
}
