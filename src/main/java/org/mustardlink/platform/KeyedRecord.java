package org.mustardlink.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A record of a keyed topic.
 *
 * @param offset the record's offset in the topic
 * @param key the record's key
 * @param value the value's bytes as ISO-8859-1 text, one character per byte; empty if the record deletes the key
 */
public record KeyedRecord(long offset, String key, Optional<String> value) {
    public KeyedRecord {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }

    /** Returns the value decoded as UTF-8. */
    public Optional<String> text() {
        return value.map(bytes -> new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8));
    }
}
