package org.mustardlink.membership;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Addresses at which no live member is known. Each is called again with exponential backoff. */
final class DiscoveryAddresses {
    private final long initialBackoffNanos;
    private final long maxBackoffNanos;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private ImmutableSet<String> seeds = ImmutableSet.of();
    private ImmutableSet<String> listed = ImmutableSet.of();

    DiscoveryAddresses(long initialBackoffNanos, long maxBackoffNanos) {
        this.initialBackoffNanos = initialBackoffNanos;
        this.maxBackoffNanos = maxBackoffNanos;
    }

    private record Attempt(long nextTime, long backoffNanos) {}

    void setSeeds(ImmutableSet<String> addresses) {
        seeds = addresses;
    }

    void setListed(ImmutableSet<String> addresses) {
        listed = addresses;
    }

    /** Returns whether neither the settings nor the platform's list name an address. */
    boolean isEmpty() {
        return seeds.isEmpty() && listed.isEmpty();
    }

    /**
     * Returns the addresses whose next attempt is due, and schedules their following attempt.
     *
     * @param goneAddresses addresses of hosts that are gone and may run again
     * @param liveAddresses addresses of live members and of this host
     */
    List<String> takeDue(Set<String> goneAddresses, Set<String> liveAddresses, int maxAddresses, long now) {
        Set<String> candidates = new TreeSet<>(goneAddresses);
        candidates.addAll(seeds);
        candidates.addAll(listed);
        candidates.removeAll(liveAddresses);
        attempts.keySet().retainAll(candidates);
        List<String> due = new ArrayList<>();
        for (String address : candidates) {
            Attempt last = attempts.get(address);
            if (due.size() < maxAddresses && (last == null || now - last.nextTime() >= 0)) {
                due.add(address);
                attempts.put(address, nextAttempt(last, now));
            }
        }
        return due;
    }

    private Attempt nextAttempt(Attempt last, long now) {
        long backoffNanos = last == null ? initialBackoffNanos : Math.min(last.backoffNanos() * 2, maxBackoffNanos);
        return new Attempt(now + backoffNanos, backoffNanos);
    }
}
