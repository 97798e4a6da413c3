package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A key of the settings. Keys with the same path are equal; {@link SettingKeys} lists all keys.
 *
 * @param <T> type of the parsed value
 */
public final class SettingKey<T> {
    private final String section;
    private final String name;
    private final ValueType<T> type;
    private final Optional<String> defaultValue;
    private final String description;

    SettingKey(String section, String name, ValueType<T> type, Optional<String> defaultValue, String description) {
        this.section = checkNotNull(section, "section");
        this.name = checkNotNull(name, "name");
        this.type = checkNotNull(type, "type");
        this.defaultValue = checkNotNull(defaultValue, "fallback");
        this.description = checkNotNull(description, "meaning");
    }

    /** Returns the section of the key. */
    public String section() {
        return section;
    }

    /** Returns the name of the key within its section. */
    public String name() {
        return name;
    }

    /** Returns {@code section.name}, the form that {@code --set} accepts. */
    public String path() {
        return section + '.' + name;
    }

    /** Returns a description of valid values, with unit and range. */
    public String expected() {
        return type.expected();
    }

    /** Returns the default value; empty if the key is required. */
    public Optional<String> defaultValue() {
        return defaultValue;
    }

    /** Returns a one-sentence description of the value. */
    public String description() {
        return description;
    }

    T parse(String text) {
        return type.parser().apply(text);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SettingKey<?> key && key.path().equals(path());
    }

    @Override
    public int hashCode() {
        return path().hashCode();
    }

    @Override
    public String toString() {
        return path();
    }
}
