package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One mistake in the settings.
 *
 * @param source the file, or {@code --set}
 * @param section the section
 * @param key the key
 * @param value the value as written; empty if there is none
 * @param expected what was expected instead
 */
public record SettingError(String source, String section, String key, String value, String expected) {
    public SettingError {
        checkNotNull(source, "source");
        checkNotNull(section, "section");
        checkNotNull(key, "key");
        checkNotNull(value, "value");
        checkNotNull(expected, "expected");
    }

    @Override
    public String toString() {
        return "%s: [%s] %s = %s: expected %s".formatted(source, section, key, value, expected);
    }
}
