package org.mustardlink.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mustardlink.pool.TargetEntry;

/**
 * Reads targets' entries in the store, each of which is written again every second or two with nothing but a higher number
 * in it. Not thread-safe.
 */
public final class TargetEntryReader {
    /** The number that rises with every writing and says nothing about the target. */
    private static final Pattern SEQUENCE = Pattern.compile("\"seq\":\\s*(\\d+)");

    private final Map<String, DecodedEntry> decodedByTarget = new HashMap<>();

    /**
     * An entry that was decoded.
     *
     * @param value its value, a character a byte
     * @param sequenceStart where the sequence number starts in the value
     * @param sequenceEnd the first character after it; the same if there is no number
     * @param entry what it says
     */
    private record DecodedEntry(String value, int sequenceStart, int sequenceEnd, Optional<TargetEntry> entry) {
        private static DecodedEntry of(String value, Optional<TargetEntry> entry) {
            Matcher sequence = SEQUENCE.matcher(value);
            return sequence.find()
                    ? new DecodedEntry(value, sequence.start(1), sequence.end(1), entry)
                    : new DecodedEntry(value, value.length(), value.length(), entry);
        }

        /** Returns whether another value differs in nothing but the sequence number; without a search, as most do. */
        private boolean differsOnlyInSequence(String other) {
            int end = sequenceStart;
            while (end < other.length() && isDigit(other.charAt(end))) {
                end++;
            }
            int rest = value.length() - sequenceEnd;
            return (end > sequenceStart) == (sequenceEnd > sequenceStart)
                    && other.length() - end == rest
                    && other.regionMatches(0, value, 0, sequenceStart)
                    && other.regionMatches(end, value, sequenceEnd, rest);
        }

        private static boolean isDigit(char character) {
            return character >= '0' && character <= '9';
        }
    }

    /**
     * Reads an entry.
     *
     * @param record the entry's record, whose key is the target
     * @return empty if it names no target that can be used
     */
    public Optional<TargetEntry> read(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        String value = record.value().get();
        DecodedEntry before = decodedByTarget.get(record.key());
        if (before != null && before.differsOnlyInSequence(value)) {
            return before.entry();
        }
        Optional<TargetEntry> entry = record.text().flatMap(text -> DocumentDecoder.decodeTarget(record.key(), text));
        decodedByTarget.put(record.key(), DecodedEntry.of(value, entry));
        return entry;
    }

    /** Forgets a target that is gone. */
    public void evict(String id) {
        decodedByTarget.remove(id);
    }
}
