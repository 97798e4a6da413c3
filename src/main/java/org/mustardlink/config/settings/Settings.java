package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** The effective value of every key and its source. Immutable; an instance exists only if all values are valid. */
public final class Settings {
    private static final String COMMAND_LINE_SOURCE = "--set";
    private static final String DEFAULT_SOURCE = "default";

    private final ImmutableMap<SettingKey<?>, Value> values;

    private Settings(Map<SettingKey<?>, Value> values) {
        this.values = ImmutableMap.copyOf(values);
    }

    /**
     * The effective value of a key.
     *
     * @param text value as written
     * @param source path of the settings file, {@code --set} or {@code default}
     */
    public record Value(String text, String source) {
        public Value {
            checkNotNull(text, "text");
            checkNotNull(source, "source");
        }
    }

    private record Assignment(String section, String key, Value value) {}

    /**
     * Reads a settings file and applies overrides.
     *
     * @param file the INI file
     * @param overrides overrides of the form {@code section.key=value}; the last one for a key wins
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS}, listing all errors, if the settings are invalid
     */
    public static Settings load(File file, List<String> overrides) {
        List<SettingError> errors = new ArrayList<>();
        List<Assignment> assignments = new ArrayList<>(read(file, errors));
        for (String override : overrides) {
            List<String> parts = Splitter.on('=').limit(2).trimResults().splitToList(override);
            List<String> path = Splitter.on('.').limit(2).splitToList(parts.get(0));
            if (parts.size() != 2 || path.size() != 2) {
                errors.add(new SettingError(COMMAND_LINE_SOURCE, "", parts.get(0), "", "section.key=value"));
            } else {
                assignments.add(new Assignment(path.get(0), path.get(1), new Value(parts.get(1), COMMAND_LINE_SOURCE)));
            }
        }
        return resolve(assignments, errors, file.getPath());
    }

    /**
     * Returns settings from values without a file.
     *
     * @param overrides values by {@code section.key}; keys without a value have their defaults
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS}, listing all errors, if the settings are invalid
     */
    public static Settings of(Map<String, String> overrides) {
        List<Assignment> assignments = overrides.entrySet().stream()
                .map(entry -> {
                    List<String> path = Splitter.on('.').limit(2).splitToList(entry.getKey());
                    return new Assignment(
                            path.get(0), path.get(path.size() - 1), new Value(entry.getValue(), COMMAND_LINE_SOURCE));
                })
                .toList();
        return resolve(assignments, new ArrayList<>(), COMMAND_LINE_SOURCE);
    }

    /** Returns the effective value of every key, in the order of {@link SettingKeys#all()}. */
    public ImmutableMap<SettingKey<?>, Value> values() {
        return values;
    }

    /** Returns the parsed value of a key. */
    <T> T value(SettingKey<T> key) {
        return key.parse(values.get(key).text());
    }

    private static List<Assignment> read(File file, List<SettingError> errors) {
        Ini ini = new Ini();
        Config config = Config.getGlobal().clone();
        config.setEscape(false);
        config.setMultiSection(true);
        config.setGlobalSection(true);
        config.setGlobalSectionName("");
        ini.setConfig(config);
        try {
            ini.load(file);
        } catch (IOException e) {
            String reason = file.exists() ? e.getMessage() : "the file does not exist";
            throw new CodedException(
                    ErrorCode.BAD_SETTINGS, "cannot read the settings file " + file + ": " + reason, e);
        }
        List<Assignment> assignments = new ArrayList<>();
        for (String name : ini.keySet()) {
            for (Profile.Section section : ini.getAll(name)) {
                section.keySet().forEach(key -> {
                    List<String> values = section.getAll(key);
                    if (values.size() > 1) {
                        errors.add(new SettingError(
                                file.getPath(), name, key, String.join(" and ", values), "one value only"));
                    }
                    String text =
                            Optional.ofNullable(values.get(values.size() - 1)).orElse("");
                    assignments.add(new Assignment(name, key, new Value(text.trim(), file.getPath())));
                });
            }
        }
        return assignments;
    }

    private static Settings resolve(List<Assignment> assignments, List<SettingError> errors, String source) {
        ImmutableMap<String, SettingKey<?>> keysByPath =
                SettingKeys.all().stream().collect(ImmutableMap.toImmutableMap(SettingKey::path, key -> key));
        Map<SettingKey<?>, Value> assigned = new HashMap<>();
        for (Assignment assignment : assignments) {
            SettingKey<?> key = keysByPath.get(assignment.section() + '.' + assignment.key());
            if (key == null) {
                errors.add(new SettingError(
                        assignment.value().source(),
                        assignment.section(),
                        assignment.key(),
                        assignment.value().text(),
                        describeKnownKeys(assignment.section())));
            } else {
                validate(key, assignment.value(), errors);
                assigned.put(key, assignment.value());
            }
        }
        Map<SettingKey<?>, Value> effective = new LinkedHashMap<>();
        for (SettingKey<?> key : SettingKeys.all()) {
            Optional<Value> value = Optional.ofNullable(assigned.get(key))
                    .or(() -> key.defaultValue().map(text -> new Value(text, DEFAULT_SOURCE)));
            value.ifPresentOrElse(
                    present -> effective.put(key, present),
                    () -> errors.add(new SettingError(
                            source, key.section(), key.name(), "", key.expected() + "; the key is required")));
        }
        if (errors.isEmpty()) {
            validateDistinctAddresses(effective, errors);
        }
        if (!errors.isEmpty()) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, formatErrors(errors));
        }
        return new Settings(effective);
    }

    private static void validate(SettingKey<?> key, Value value, List<SettingError> errors) {
        try {
            key.parse(value.text());
        } catch (IllegalArgumentException e) {
            errors.add(new SettingError(value.source(), key.section(), key.name(), value.text(), key.expected()));
        }
    }

    /** Callers, operators and peers must never share an address, because each of them has rights that the others lack. */
    private static void validateDistinctAddresses(Map<SettingKey<?>, Value> all, List<SettingError> errors) {
        Map<InetSocketAddress, SettingKey<?>> seen = new HashMap<>();
        for (SettingKey<InetSocketAddress> key :
                ImmutableList.of(SettingKeys.CALLER_ADDRESS, SettingKeys.OPERATOR_ADDRESS, SettingKeys.PEER_ADDRESS)) {
            Value value = all.get(key);
            InetSocketAddress address = key.parse(value.text());
            SettingKey<?> other = address.getPort() == 0 ? null : seen.putIfAbsent(address, key);
            if (other != null) {
                errors.add(new SettingError(
                        value.source(), key.section(), key.name(), value.text(), "another address than " + other));
            }
        }
    }

    private static String describeKnownKeys(String section) {
        List<String> names = SettingKeys.all().stream()
                .filter(key -> key.section().equals(section))
                .map(SettingKey::name)
                .toList();
        if (!names.isEmpty()) {
            return "a known key of this section: " + String.join(", ", names);
        }
        List<String> sections =
                SettingKeys.all().stream().map(SettingKey::section).distinct().toList();
        return "a known section: " + String.join(", ", sections);
    }

    private static String formatErrors(List<SettingError> errors) {
        String count = errors.size() == 1 ? "1 mistake" : errors.size() + " mistakes";
        StringBuilder text = new StringBuilder(count).append(" in the settings");
        errors.forEach(error -> text.append("\n  ").append(error));
        return text.toString();
    }
}
