package org.mustardlink.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts calls without an answer for each address. Thread-safe.
 *
 * <p>A slow task times out alone; several timeouts on different connections without any answer in between mean that the
 * connections, or what is behind them, went silent.
 */
public final class TimeoutMonitor {
    private final int threshold;
    private final Map<InetSocketAddress, Integer> consecutiveTimeouts = new ConcurrentHashMap<>();

    /**
     * Creates a monitor.
     *
     * @param threshold timeouts in a row that count as silence, positive
     */
    public TimeoutMonitor(int threshold) {
        this.threshold = threshold;
    }

    /** Counts an answer. */
    public void recordAnswer(InetSocketAddress address) {
        consecutiveTimeouts.remove(address);
    }

    /** Counts a timeout and returns whether the address counts as silent; the count then starts again. */
    public boolean recordTimeout(InetSocketAddress address) {
        if (consecutiveTimeouts.merge(address, 1, Integer::sum) < threshold) {
            return false;
        }
        consecutiveTimeouts.remove(address);
        return true;
    }
}
