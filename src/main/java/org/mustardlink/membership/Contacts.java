package org.mustardlink.membership;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Addresses behind which no live member is known, each tried with a growing pause. */
final class Contacts {
    private final long firstPause;
    private final long maxPause;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private ImmutableSet<String> seeds = ImmutableSet.of();
    private ImmutableSet<String> listed = ImmutableSet.of();

    Contacts(long firstPause, long maxPause) {
        this.firstPause = firstPause;
        this.maxPause = maxPause;
    }

    private record Attempt(long next, long pause) {}

    void seed(ImmutableSet<String> addresses) {
        seeds = addresses;
    }

    void list(ImmutableSet<String> addresses) {
        listed = addresses;
    }

    /** Returns whether no address is known from settings or list. */
    boolean isEmpty() {
        return seeds.isEmpty() && listed.isEmpty();
    }

    /**
     * Returns addresses to try now.
     *
     * @param gone addresses of hosts that are gone and may come back
     * @param known addresses of live members and of this host
     */
    List<String> due(Set<String> gone, Set<String> known, int max, long now) {
        Set<String> candidates = new TreeSet<>(gone);
        candidates.addAll(seeds);
        candidates.addAll(listed);
        candidates.removeAll(known);
        attempts.keySet().retainAll(candidates);
        List<String> due = new ArrayList<>();
        for (String address : candidates) {
            Attempt last = attempts.get(address);
            if (due.size() < max && (last == null || now - last.next() >= 0)) {
                due.add(address);
                attempts.put(address, following(last, now));
            }
        }
        return due;
    }

    private Attempt following(Attempt last, long now) {
        long pause = last == null ? firstPause : Math.min(last.pause() * 2, maxPause);
        return new Attempt(now + pause, pause);
    }
}
