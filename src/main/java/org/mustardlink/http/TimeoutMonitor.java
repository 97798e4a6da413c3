package org.mustardlink.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts consecutive timeouts for each address. Thread-safe.
 *
 * <p>A slow task times out alone. Several timeouts on different connections without any reply in between mean that the
 * connections to the address, or the process behind them, no longer respond.
 */
public final class TimeoutMonitor {
    private final int threshold;
    private final Map<InetSocketAddress, Integer> consecutiveTimeouts = new ConcurrentHashMap<>();

    /**
     * Creates a monitor.
     *
     * @param threshold number of consecutive timeouts after which an address counts as unresponsive, positive
     */
    public TimeoutMonitor(int threshold) {
        this.threshold = threshold;
    }

    /** Records a reply from an address, which resets its count of timeouts. */
    public void recordAnswer(InetSocketAddress address) {
        consecutiveTimeouts.remove(address);
    }

    /**
     * Records a timeout, and returns whether the address has reached the threshold. If it has, its count of timeouts
     * starts again at zero.
     */
    public boolean recordTimeout(InetSocketAddress address) {
        if (consecutiveTimeouts.merge(address, 1, Integer::sum) < threshold) {
            return false;
        }
        consecutiveTimeouts.remove(address);
        return true;
    }
}
