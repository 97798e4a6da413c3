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
public final class SilenceMonitor {
    private final int threshold;
    private final Map<InetSocketAddress, Integer> timeouts = new ConcurrentHashMap<>();

    /**
     * Creates a monitor.
     *
     * @param threshold timeouts in a row that count as silence, positive
     */
    public SilenceMonitor(int threshold) {
        this.threshold = threshold;
    }

    /** Counts an answer. */
    public void answered(InetSocketAddress address) {
        timeouts.remove(address);
    }

    /** Counts a timeout and returns whether the address counts as silent; the count then starts again. */
    public boolean timedOut(InetSocketAddress address) {
        if (timeouts.merge(address, 1, Integer::sum) < threshold) {
            return false;
        }
        timeouts.remove(address);
        return true;
    }
}
