package org.mustardlink.membership;

import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hosts whose records still have to be told, with how often each was told. */
final class News {
    /** Times that a record is sent, as a multiple of the logarithm of the number of members. */
    private static final int REPEATS = 3;

    private final Map<String, Integer> sends = new LinkedHashMap<>();

    void add(String host) {
        sends.put(host, 0);
    }

    /** Tells a record twice more, for a peer that still holds an older one. */
    void remind(String host, int members) {
        sends.putIfAbsent(host, limit(members) - 2);
    }

    void remove(String host) {
        sends.remove(host);
    }

    /** Returns whether a record was told too few times for most members to have it. */
    boolean isFresh(int members) {
        int few = limit(members) / REPEATS;
        return sends.values().stream().anyMatch(count -> count < few);
    }

    /** Takes the hosts told least often so far and counts them as told once more. */
    List<String> take(int max, int members) {
        List<String> hosts = new ArrayList<>(sends.keySet());
        hosts.sort(Comparator.comparing(sends::get));
        List<String> taken = List.copyOf(hosts.subList(0, Math.min(max, hosts.size())));
        int limit = limit(members);
        taken.forEach(host -> sends.compute(host, (_host, count) -> count + 1 >= limit ? null : count + 1));
        return taken;
    }

    private static int limit(int members) {
        return REPEATS * Math.max(1, IntMath.log2(members + 1, RoundingMode.CEILING));
    }
}
