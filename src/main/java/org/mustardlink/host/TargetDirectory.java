package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.platform.TargetEntryReader;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.TargetEntry;

/** The targets that the platform lists. */
final class TargetDirectory {
    /**
     * Time that a target is kept after its entry vanished. Entries that expired while the store was unavailable are
     * back within two seconds of its return, and a target that has ended is noticed earlier by its silence.
     */
    private static final long VANISHED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * Time that a target is kept which was draining when its entry vanished. Its tasks run on for seconds, and a new
     * master must learn of these tasks from the target before it starts them elsewhere.
     */
    private static final long DRAINING_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(12);

    private final EventLog log;
    private final TargetEntryReader reader = new TargetEntryReader();
    private final Map<String, TargetEntry> entries = new HashMap<>();
    private final Map<String, Long> vanishedSinceNanos = new HashMap<>();
    private boolean isLoaded;
    /** Since when no entry can have come and vanished without being read; the list is settled 12 s later. */
    private long availableSinceNanos;
    /** Every entry that was written before this time has been read; empty before the first complete read. */
    private OptionalLong upToDateNanos = OptionalLong.empty();

    TargetDirectory(EventLog log) {
        this.log = log;
    }

    /** Returns whether the list has been read at least once. */
    boolean isLoaded() {
        return isLoaded;
    }

    /**
     * Returns whether the list contains every target that may have been running a task at a given time. This needs two
     * conditions: the list was read after that time, so that no target is missing that had registered until then; and
     * it has been followed without a gap for the longest time that a target is kept after its entry vanished, because
     * entries that had expired earlier are back within that time.
     */
    boolean isComplete(long sinceNanos, long now) {
        return isSettled(now) && upToDateNanos.isPresent() && upToDateNanos.getAsLong() >= sinceNanos;
    }

    private boolean isSettled(long now) {
        return isLoaded && now - availableSinceNanos > DRAINING_RETENTION_NANOS;
    }

    /** Records that every entry written before a time has been read. */
    void recordUpToDate(long readStartedNanos) {
        upToDateNanos = OptionalLong.of(readStartedNanos);
    }

    /**
     * Applies records of the list; returns whether an entry is new or changed, or the list is read for the first time.
     *
     * @param isFullList whether the records contain every listed target
     */
    @CanIgnoreReturnValue
    boolean applyRecords(ImmutableList<KeyedRecord> records, boolean isFullList, long now) {
        boolean changed = !isLoaded;
        // A full list doesn't show the entries that have come and vanished since the last read.
        boolean mayHaveMissedEntries =
                isFullList && now - upToDateNanos.orElse(availableSinceNanos) > VANISHED_RETENTION_NANOS;
        if (!isLoaded || mayHaveMissedEntries) {
            isLoaded = true;
            availableSinceNanos = now;
        }
        Set<String> listedIds = new HashSet<>();
        for (KeyedRecord record : records) {
            Optional<TargetEntry> entry = record.value().isEmpty() ? Optional.empty() : decode(record);
            if (entry.isPresent()) {
                listedIds.add(record.key());
                changed |= !entry.get().equals(entries.put(record.key(), entry.get()));
                vanishedSinceNanos.remove(record.key());
            } else if (entries.containsKey(record.key())) {
                vanishedSinceNanos.putIfAbsent(record.key(), now);
            }
        }
        if (isFullList) {
            entries.keySet().stream()
                    .filter(id -> !listedIds.contains(id))
                    .forEach(id -> vanishedSinceNanos.putIfAbsent(id, now));
        }
        return changed;
    }

    /** Decodes a record; one that can't be decoded must not keep the others of its page from being applied. */
    private Optional<TargetEntry> decode(KeyedRecord record) {
        try {
            Optional<TargetEntry> entry = reader.read(record);
            if (entry.isEmpty()) {
                logRejectedRecord(record, "the record is not a valid target entry");
            }
            return entry;
        } catch (RuntimeException e) {
            logRejectedRecord(record, "failed to decode the record: " + e);
            return Optional.empty();
        }
    }

    private void logRejectedRecord(KeyedRecord record, String reason) {
        log.line(LogEvent.RECORD_REJECTED)
                .with(LogField.KEY, record.key())
                .with(LogField.REASON, reason)
                .write();
    }

    /**
     * Removes the targets whose entries vanished longer ago than targets are kept; returns whether there were any.
     * Removes none while the store is unavailable, because entries expire although their targets are alive.
     */
    boolean removeExpired(boolean storeReachable, long now) {
        if (!storeReachable) {
            if (!isSettled(now)) {
                availableSinceNanos = now;
            }
            vanishedSinceNanos.replaceAll((_id, _since) -> now);
            return false;
        }
        return vanishedSinceNanos.entrySet().removeIf(entry -> {
            boolean expired = now - entry.getValue() > retentionNanos(entry.getKey());
            if (expired) {
                entries.remove(entry.getKey());
                reader.evict(entry.getKey());
            }
            return expired;
        });
    }

    private long retentionNanos(String id) {
        return entries.get(id).draining() ? DRAINING_RETENTION_NANOS : VANISHED_RETENTION_NANOS;
    }

    /** Returns the targets of a pool. */
    ImmutableList<TargetEntry> targets(PoolId pool) {
        return entries.values().stream()
                .filter(entry -> entry.pool().equals(pool.unsharded()) && pool.contains(entry.id()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the number of targets in each failure domain of the given services. */
    ImmutableSortedMap<PoolId, Integer> countTargets(ImmutableSet<String> services) {
        return entries.values().stream()
                .map(TargetEntry::pool)
                .filter(pool -> services.contains(pool.service()))
                .collect(ImmutableSortedMap.toImmutableSortedMap(
                        Comparator.naturalOrder(), pool -> pool, _pool -> 1, Integer::sum));
    }
}
