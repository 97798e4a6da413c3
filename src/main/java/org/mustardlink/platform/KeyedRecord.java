package org.mustardlink.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A record of a keyed topic.
 *
 * @param offset its place in the topic
 * @param key the key
 * @param value the value as text of one byte a character, empty if the record drops the key
 */
public record KeyedRecord(long offset, String key, Optional<String> value) {
    public KeyedRecord {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }

    /** Returns the value as UTF-8 text. */
    public Optional<String> text() {
        return value.map(bytes -> new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8));
    }
}
