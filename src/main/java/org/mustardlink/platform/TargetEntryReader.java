package org.mustardlink.platform;

import com.google.common.base.Utf8;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mustardlink.pool.TargetEntry;

/**
 * Decodes target entries from the store and caches the result. Each target rewrites its entry every second or two,
 * usually with only the sequence number increased; such an entry is not decoded again. Malformed entries are not cached,
 * because other writers may store any number of them. Not thread-safe.
 */
public final class TargetEntryReader {
    /** The sequence number, which increases with each write and is not part of the decoded entry. */
    private static final Pattern SEQUENCE = Pattern.compile("\"seq\":\\s*(\\d+)");

    /** Every number of this many digits is a {@code long}. */
    private static final int MAX_SEQUENCE_DIGITS = 18;

    private final Map<String, DecodedEntry> decodedByTarget = new HashMap<>();

    /**
     * A cached entry.
     *
     * @param value the value it was decoded from, one character per byte
     * @param sequenceStart index in the value of the first digit of the sequence number
     * @param sequenceEnd index after the last digit; equal to sequenceStart if there is no sequence number
     * @param entry the decoded entry
     */
    private record DecodedEntry(String value, int sequenceStart, int sequenceEnd, TargetEntry entry) {
        private static DecodedEntry of(String value, TargetEntry entry) {
            Matcher sequence = SEQUENCE.matcher(value);
            return sequence.find()
                    ? new DecodedEntry(value, sequence.start(1), sequence.end(1), entry)
                    : new DecodedEntry(value, value.length(), value.length(), entry);
        }

        /**
         * Returns whether another value differs from this one in nothing but the sequence number. Compares at the known
         * position of the number without a search, because most entries are rewritten with only the number changed.
         */
        private boolean differsOnlyInSequence(String other) {
            int end = sequenceStart;
            while (end < other.length() && isDigit(other.charAt(end))) {
                end++;
            }
            int rest = value.length() - sequenceEnd;
            return (end > sequenceStart) == (sequenceEnd > sequenceStart)
                    && isValidSequence(other, sequenceStart, end)
                    && other.length() - end == rest
                    && other.regionMatches(0, value, 0, sequenceStart)
                    && other.regionMatches(end, value, sequenceEnd, rest);
        }

        /** Returns whether digits are certain to form a JSON number that is a {@code long}; other ones are decoded. */
        private static boolean isValidSequence(String text, int start, int end) {
            return end - start <= MAX_SEQUENCE_DIGITS && (end - start <= 1 || text.charAt(start) != '0');
        }

        private static boolean isDigit(char character) {
            return character >= '0' && character <= '9';
        }
    }

    /**
     * Returns the entry of a record, decoding it only if it has changed.
     *
     * @param record the entry's record, whose key is the id of the target
     * @return empty if the record deletes the entry or is malformed
     */
    public Optional<TargetEntry> read(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        String value = record.value().get();
        DecodedEntry before = decodedByTarget.get(record.key());
        if (before != null && before.differsOnlyInSequence(value)) {
            return Optional.of(before.entry());
        }
        Optional<TargetEntry> entry = record.text()
                .filter(_text -> isUtf8(value))
                .flatMap(text -> DocumentDecoder.decodeTarget(record.key(), text));
        entry.ifPresentOrElse(
                decoded -> decodedByTarget.put(record.key(), DecodedEntry.of(value, decoded)),
                () -> evict(record.key()));
        return entry;
    }

    /** Returns whether bytes are valid UTF-8. Decoding them doesn't show it, because it replaces invalid bytes. */
    private static boolean isUtf8(String bytes) {
        return Utf8.isWellFormed(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Removes the cached entry of a target that no longer exists. */
    public void evict(String id) {
        decodedByTarget.remove(id);
    }
}
