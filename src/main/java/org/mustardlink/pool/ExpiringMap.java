package org.mustardlink.pool;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A map whose entries expire, each at a time of its own. Its size is bounded by the rate at which entries are added and
 * the time for which they are kept. Not thread-safe.
 */
final class ExpiringMap<K, V> {
    private final Map<K, Entry<K, V>> entries = new HashMap<>();
    /** All entries, and those that were replaced or removed since they were added; the next one to expire comes first. */
    private final PriorityQueue<Entry<K, V>> expirations =
            new PriorityQueue<>(Comparator.comparingLong(Entry::expiryNanos));

    private record Entry<K, V>(K key, V value, long expiryNanos) {}

    /** Adds an entry, or replaces the one with the same key. */
    void put(K key, V value, long expiryNanos) {
        Entry<K, V> entry = new Entry<>(key, value, expiryNanos);
        entries.put(key, entry);
        expirations.add(entry);
    }

    Optional<V> get(K key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::value);
    }

    void remove(K key) {
        entries.remove(key);
    }

    /** Removes the entries that expire at the given time or before it. */
    void removeExpired(long nowNanos) {
        while (!expirations.isEmpty() && expirations.peek().expiryNanos() <= nowNanos) {
            Entry<K, V> expired = expirations.remove();
            entries.remove(expired.key(), expired);
        }
    }

    /** Returns the number of entries that haven't expired. */
    int size() {
        return entries.size();
    }
}
