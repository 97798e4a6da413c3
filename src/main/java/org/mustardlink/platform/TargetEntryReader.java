package org.mustardlink.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.mustardlink.pool.TargetEntry;

/**
 * Reads targets' entries in the store, each of which is written again every second or two with nothing but a higher number
 * in it. Not thread-safe.
 */
public final class TargetEntryReader {
    /** The number that rises with every writing and says nothing about the target. */
    private static final Pattern SEQUENCE = Pattern.compile("\"seq\":\\s*\\d+");

    private final Map<String, Known> known = new HashMap<>();

    private record Known(String text, Optional<TargetEntry> entry) {}

    /**
     * Reads an entry.
     *
     * @param id key of the entry
     * @param text the entry
     * @return empty if it names no target that can be used
     */
    public Optional<TargetEntry> read(String id, String text) {
        String lasting = SEQUENCE.matcher(text).replaceFirst("");
        Known before = known.get(id);
        if (before != null && before.text().equals(lasting)) {
            return before.entry();
        }
        Optional<TargetEntry> entry = Documents.target(id, text);
        known.put(id, new Known(lasting, entry));
        return entry;
    }

    /** Forgets a target that is gone. */
    public void forget(String id) {
        known.remove(id);
    }
}
