package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardlink.link.PeerMessage;
import org.mustardlink.ownership.Claim;
import org.mustardlink.platform.KeyedRecord;

/** The newest records that this host has read from the store, kept for hosts that start and cannot reach the store. */
final class StoreSnapshot {
    /** Longest entry of a target that is passed on; those of other writers may be too long for a message. */
    private static final int MAX_ENTRY_CHARS = 16_384;

    private Optional<String> configuration = Optional.empty();
    private final Map<String, String> targets = new HashMap<>();

    void setConfiguration(String record) {
        configuration = Optional.of(record);
    }

    /** Applies records of targets; {@code isFullList} states that no other targets are listed. */
    void updateTargets(ImmutableList<KeyedRecord> records, boolean isFullList) {
        Set<String> listedKeys = new HashSet<>();
        for (KeyedRecord record : records) {
            listedKeys.add(record.key());
            record.value()
                    .filter(value -> value.length() <= MAX_ENTRY_CHARS)
                    .ifPresentOrElse(value -> targets.put(record.key(), value), () -> targets.remove(record.key()));
        }
        if (isFullList) {
            targets.keySet().retainAll(listedKeys);
        }
    }

    /** Returns the snapshot for another host; empty if no configuration has been read yet. */
    Optional<PeerMessage.Snapshot> toMessage(ImmutableList<Claim> claims) {
        return configuration.map(record -> new PeerMessage.Snapshot(record, ImmutableMap.copyOf(targets), claims));
    }

    /** Returns the targets of a snapshot as records of the store. */
    static ImmutableList<KeyedRecord> targetRecords(PeerMessage.Snapshot snapshot) {
        return snapshot.targets().entrySet().stream()
                .map(entry -> new KeyedRecord(0, entry.getKey(), Optional.of(entry.getValue())))
                .collect(ImmutableList.toImmutableList());
    }
}
