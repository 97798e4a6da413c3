package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An invalid, missing or unknown value in the settings.
 *
 * @param source path of the settings file, or {@code --set}
 * @param section section of the key
 * @param key name of the key within the section
 * @param value value as written; empty if there is none
 * @param expected description of the expected value
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
