package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mustardlink.http.Addresses;

/**
 * Type of the value of a setting.
 *
 * @param expected readable description of valid values, with unit and range
 * @param parser parses a value; throws {@link IllegalArgumentException} if the text is not a valid value
 */
record ValueType<T>(String expected, Function<String, T> parser) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,63}");
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,15}) ?([A-Za-z]+)");
    private static final ImmutableMap<String, Long> MILLIS_BY_UNIT =
            ImmutableMap.of("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L);
    private static final ImmutableMap<String, Long> BYTES_BY_UNIT =
            ImmutableMap.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20);

    ValueType {
        checkNotNull(expected, "expected");
        checkNotNull(parser, "parser");
    }

    static ValueType<String> name() {
        return new ValueType<>("1 to 64 letters, digits, - or _", text -> {
            checkArgument(NAME.matcher(text).matches(), "not a name");
            return text;
        });
    }

    static ValueType<InetSocketAddress> address() {
        return new ValueType<>("an address ip:port, such as 127.0.0.1:7001", Addresses::parse);
    }

    static ValueType<ImmutableList<InetSocketAddress>> addresses() {
        return new ValueType<>(
                "addresses ip:port separated by commas, or nothing",
                text -> Splitter.on(',').trimResults().omitEmptyStrings().splitToList(text).stream()
                        .map(Addresses::parse)
                        .collect(ImmutableList.toImmutableList()));
    }

    static ValueType<Integer> count(int min, int max) {
        return new ValueType<>("a whole number from " + min + " to " + max + ", without a unit", text -> {
            Long number = Longs.tryParse(text);
            checkArgument(number != null && number >= min && number <= max, "out of range");
            return Math.toIntExact(number);
        });
    }

    static ValueType<Duration> duration(String min, String max) {
        long minMillis = parseQuantity(min, MILLIS_BY_UNIT);
        long maxMillis = parseQuantity(max, MILLIS_BY_UNIT);
        String expected = "a time from " + min + " to " + max + " with its unit (ms, s, min or h)";
        return new ValueType<>(
                expected,
                text -> Duration.ofMillis(requireInRange(parseQuantity(text, MILLIS_BY_UNIT), minMillis, maxMillis)));
    }

    static ValueType<Integer> size(String min, String max) {
        long minBytes = parseQuantity(min, BYTES_BY_UNIT);
        long maxBytes = parseQuantity(max, BYTES_BY_UNIT);
        String expected = "a size from " + min + " to " + max + " with its unit (B, KiB or MiB)";
        return new ValueType<>(
                expected,
                text -> Math.toIntExact(requireInRange(parseQuantity(text, BYTES_BY_UNIT), minBytes, maxBytes)));
    }

    static ValueType<String> choice(String... choices) {
        ImmutableList<String> allowed = ImmutableList.copyOf(choices);
        return new ValueType<>("one of " + String.join(", ", allowed), text -> {
            checkArgument(allowed.contains(text), "not one of the choices");
            return text;
        });
    }

    static ValueType<Optional<Path>> file() {
        return new ValueType<>("a file that can be read, or nothing", text -> {
            Optional<Path> path = text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text));
            checkArgument(path.map(Files::isReadable).orElse(true), "not readable");
            return path;
        });
    }

    private static long parseQuantity(String text, ImmutableMap<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        checkArgument(matcher.matches() && units.containsKey(matcher.group(2)), "not a number with a known unit");
        try {
            return Math.multiplyExact(Long.parseLong(matcher.group(1)), units.get(matcher.group(2)));
        } catch (ArithmeticException e) {
            throw new IllegalArgumentException("out of range", e);
        }
    }

    private static long requireInRange(long value, long min, long max) {
        checkArgument(value >= min && value <= max, "out of range");
        return value;
    }
}
