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

/** Every value in force and where it comes from. Immutable; an instance exists only if every value is valid. */
public final class Settings {
    private static final String SET = "--set";
    private static final String DEFAULT = "default";

    private final ImmutableMap<SettingKey<?>, Value> values;

    private Settings(Map<SettingKey<?>, Value> values) {
        this.values = ImmutableMap.copyOf(values);
    }

    /**
     * A value in force.
     *
     * @param text the value as written
     * @param source the file, {@code --set} or {@code default}
     */
    public record Value(String text, String source) {
        public Value {
            checkNotNull(text, "text");
            checkNotNull(source, "source");
        }
    }

    private record Written(String section, String key, Value value) {}

    /**
     * Reads a file and puts changes on top.
     *
     * @param file the INI file
     * @param changes changes of the form {@code section.key=value}; the last one wins
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS}, naming every mistake, if there is any
     */
    public static Settings load(File file, List<String> changes) {
        List<Mistake> mistakes = new ArrayList<>();
        List<Written> written = new ArrayList<>(read(file, mistakes));
        for (String change : changes) {
            List<String> parts = Splitter.on('=').limit(2).trimResults().splitToList(change);
            List<String> path = Splitter.on('.').limit(2).splitToList(parts.get(0));
            if (parts.size() != 2 || path.size() != 2) {
                mistakes.add(new Mistake(SET, "", parts.get(0), "", "section.key=value"));
            } else {
                written.add(new Written(path.get(0), path.get(1), new Value(parts.get(1), SET)));
            }
        }
        return resolve(written, mistakes, file.getPath());
    }

    /**
     * Returns settings from values alone.
     *
     * @param changes values by {@code section.key}
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS}, naming every mistake, if there is any
     */
    public static Settings of(Map<String, String> changes) {
        List<Written> written = changes.entrySet().stream()
                .map(entry -> {
                    List<String> path = Splitter.on('.').limit(2).splitToList(entry.getKey());
                    return new Written(path.get(0), path.get(path.size() - 1), new Value(entry.getValue(), SET));
                })
                .toList();
        return resolve(written, new ArrayList<>(), SET);
    }

    /** Returns every value in force, in the catalogue's order. */
    public ImmutableMap<SettingKey<?>, Value> values() {
        return values;
    }

    /** Returns a parsed value. */
    <T> T value(SettingKey<T> key) {
        return key.parse(values.get(key).text());
    }

    private static List<Written> read(File file, List<Mistake> mistakes) {
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
            String why = file.exists() ? e.getMessage() : "the file does not exist";
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot read " + file + ": " + why, e);
        }
        List<Written> written = new ArrayList<>();
        for (String name : ini.keySet()) {
            for (Profile.Section section : ini.getAll(name)) {
                section.keySet().forEach(key -> {
                    List<String> all = section.getAll(key);
                    if (all.size() > 1) {
                        mistakes.add(
                                new Mistake(file.getPath(), name, key, String.join(" and ", all), "one value only"));
                    }
                    String text = Optional.ofNullable(all.get(all.size() - 1)).orElse("");
                    written.add(new Written(name, key, new Value(text.trim(), file.getPath())));
                });
            }
        }
        return written;
    }

    private static Settings resolve(List<Written> written, List<Mistake> mistakes, String source) {
        ImmutableMap<String, SettingKey<?>> known =
                SettingKeys.all().stream().collect(ImmutableMap.toImmutableMap(SettingKey::path, key -> key));
        Map<SettingKey<?>, Value> chosen = new HashMap<>();
        for (Written entry : written) {
            SettingKey<?> key = known.get(entry.section() + '.' + entry.key());
            if (key == null) {
                mistakes.add(new Mistake(
                        entry.value().source(),
                        entry.section(),
                        entry.key(),
                        entry.value().text(),
                        expectedInstead(entry.section())));
            } else {
                check(key, entry.value(), mistakes);
                chosen.put(key, entry.value());
            }
        }
        Map<SettingKey<?>, Value> all = new LinkedHashMap<>();
        for (SettingKey<?> key : SettingKeys.all()) {
            Optional<Value> value =
                    Optional.ofNullable(chosen.get(key)).or(() -> key.fallback().map(text -> new Value(text, DEFAULT)));
            value.ifPresentOrElse(
                    present -> all.put(key, present),
                    () -> mistakes.add(new Mistake(
                            source, key.section(), key.name(), "", key.expected() + "; the key is required")));
        }
        if (mistakes.isEmpty()) {
            checkDistinct(all, mistakes);
        }
        if (!mistakes.isEmpty()) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, report(mistakes));
        }
        return new Settings(all);
    }

    private static void check(SettingKey<?> key, Value value, List<Mistake> mistakes) {
        try {
            key.parse(value.text());
        } catch (IllegalArgumentException e) {
            mistakes.add(new Mistake(value.source(), key.section(), key.name(), value.text(), key.expected()));
        }
    }

    /** Callers, operators and peers must never share an address, because each has rights that the others lack. */
    private static void checkDistinct(Map<SettingKey<?>, Value> all, List<Mistake> mistakes) {
        Map<InetSocketAddress, SettingKey<?>> seen = new HashMap<>();
        for (SettingKey<InetSocketAddress> key :
                ImmutableList.of(SettingKeys.CALLER_ADDRESS, SettingKeys.OPERATOR_ADDRESS, SettingKeys.PEER_ADDRESS)) {
            Value value = all.get(key);
            InetSocketAddress address = key.parse(value.text());
            SettingKey<?> other = address.getPort() == 0 ? null : seen.putIfAbsent(address, key);
            if (other != null) {
                mistakes.add(new Mistake(
                        value.source(), key.section(), key.name(), value.text(), "another address than " + other));
            }
        }
    }

    private static String expectedInstead(String section) {
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

    private static String report(List<Mistake> mistakes) {
        String count = mistakes.size() == 1 ? "1 mistake" : mistakes.size() + " mistakes";
        StringBuilder text = new StringBuilder(count).append(" in the settings");
        mistakes.forEach(mistake -> text.append("\n  ").append(mistake));
        return text.toString();
    }
}
