package org.mustardlink.membership;

import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hosts whose records still have to be told, with how often each was told. */
final class DisseminationQueue {
    /** Times that a record is sent, as a multiple of the logarithm of the number of members. */
    private static final int SEND_FACTOR = 3;

    private final Map<String, Integer> sendCounts = new LinkedHashMap<>();

    void add(String host) {
        sendCounts.put(host, 0);
    }

    /** Tells a record twice more, for a peer that still holds an older one. */
    void resend(String host, int memberCount) {
        sendCounts.putIfAbsent(host, maxSends(memberCount) - 2);
    }

    void remove(String host) {
        sendCounts.remove(host);
    }

    /** Returns whether a record was told too few times for most members to have it. */
    boolean hasFreshUpdates(int memberCount) {
        int freshLimit = maxSends(memberCount) / SEND_FACTOR;
        return sendCounts.values().stream().anyMatch(count -> count < freshLimit);
    }

    /** Takes the hosts told least often so far and counts them as told once more. */
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
