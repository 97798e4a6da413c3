package org.mustardlink.membership;

import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Ids of hosts whose records still have to be sent to peers, with the number of times each record was sent. */
final class DisseminationQueue {
    /** Number of times that a record is sent, as a multiple of the binary logarithm of the number of members. */
    private static final int SEND_FACTOR = 3;

    private final Map<String, Integer> sendCounts = new LinkedHashMap<>();

    void add(String host) {
        sendCounts.put(host, 0);
    }

    /**
     * Sends a record twice more, because a peer still holds an older one. A record already in the queue is unaffected.
     */
    void resend(String host, int memberCount) {
        sendCounts.putIfAbsent(host, maxSends(memberCount) - 2);
    }

    void remove(String host) {
        sendCounts.remove(host);
    }

    /** Returns whether a record was sent too few times to have reached most members. */
    boolean hasFreshUpdates(int memberCount) {
        int freshLimit = maxSends(memberCount) / SEND_FACTOR;
        return sendCounts.values().stream().anyMatch(count -> count < freshLimit);
    }

    /** Returns the hosts whose records were sent least often, and counts each record as sent once more. */
    List<String> take(int maxRecords, int memberCount) {
        List<String> hosts = new ArrayList<>(sendCounts.keySet());
        hosts.sort(Comparator.comparing(sendCounts::get));
        List<String> taken = List.copyOf(hosts.subList(0, Math.min(maxRecords, hosts.size())));
        int maxSends = maxSends(memberCount);
        taken.forEach(host -> sendCounts.compute(host, (_host, count) -> count + 1 >= maxSends ? null : count + 1));
        return taken;
    }

    private static int maxSends(int memberCount) {
        return SEND_FACTOR * Math.max(1, IntMath.log2(memberCount + 1, RoundingMode.CEILING));
    }
}
