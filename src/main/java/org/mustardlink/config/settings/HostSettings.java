package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Doubles;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;

/**
 * Settings of a dispatch host, read from an INI file.
 *
 * @param id id of the host
 * @param domain failure domain of the host
 * @param cpuMillis CPU share of the host in thousandths of a core
 * @param callerAddress address on which the host listens for callers
 * @param readinessAddress address on which the load balancer checks readiness
 * @param peerAddress address on which the host listens for other hosts
 * @param metricsAddress address on which metrics are served
 * @param storeAddress address of the platform's store
 * @param maxLease longest lease that a target grants
 * @param resendDelay shortest time after which a caller that has lost its connection sends its job again
 * @param stopGrace time between the request to stop and the forced end of the process
 * @param logs log levels and the limit on log lines
 */
public record HostSettings(
        String id,
        String domain,
        int cpuMillis,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress storeAddress,
        Duration maxLease,
        Duration resendDelay,
        Duration stopGrace,
        Logs logs) {
    /** Default port for metrics; must be the same as the port in the deployment file. */
    private static final int METRICS_PORT = 9464;

    private static final int MILLIS_PER_CORE = 1_000;
    private static final Duration DEFAULT_RESEND_DELAY = Duration.ofMillis(1_300);
    /** Heartbeats between hosts, which confirm that callers wait, come every 0.3 s. */
    private static final Duration MIN_RESEND_DELAY = Duration.ofMillis(400);

    /**
     * Log levels and the limit on log lines.
     *
     * @param level lowest level of mustardlink's own lines that is logged
     * @param libraryLevel lowest level of lines of libraries that is logged
     * @param linesPerSecond maximum number of lines for one kind of event per second
     */
    public record Logs(String level, String libraryLevel, int linesPerSecond) {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the INI file
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS}, listing all errors, if the settings are invalid
     */
    public static HostSettings load(File file) {
        Reader reader = new Reader(file);
        String ip = reader.text("host", "address", Optional.empty(), HostSettings::checkIp);
        return reader.buildChecked(() -> new HostSettings(
                reader.text("host", "id", Optional.empty(), text -> text),
                reader.text("host", "domain", Optional.empty(), text -> text),
                (int) Math.round(
                        MILLIS_PER_CORE * reader.number("host", "cpu-share", 1) * reader.number("host", "cores", 1)),
                reader.address("callers", "address", Optional.empty()),
                reader.address("readiness", "address", Optional.empty()),
                reader.address("peers", "address", Optional.empty()),
                reader.address("metrics", "address", Optional.of(ip + ':' + METRICS_PORT)),
                reader.address("store", "address", Optional.empty()),
                reader.millis("targets", "lease-ms"),
                reader.millisOfAtLeast(MIN_RESEND_DELAY, "callers", "resend-ms", DEFAULT_RESEND_DELAY),
                reader.seconds("stop", "grace-s"),
                new Logs(reader.level("logs", "level", "INFO"), reader.level("logs", "library-level", "WARN"), (int)
                        reader.number("logs", "lines-per-second", 200))));
    }

    private static String checkIp(String text) {
        checkArgument(InetAddresses.isInetAddress(text), "not an IP address");
        return text;
    }

    @FunctionalInterface
    private interface Parser<T> {
        T parse(String text);
    }

    /** Reads values and collects errors, so that all of them are reported together. */
    private static final class Reader {
        private static final ImmutableSet<String> LEVELS = ImmutableSet.of("ERROR", "WARN", "INFO", "DEBUG");

        private final File file;
        private final Ini ini = new Ini();
        private final List<SettingError> errors = new ArrayList<>();
        private final Set<String> knownKeys = new HashSet<>();

        private Reader(File file) {
            this.file = file;
            Config config = Config.getGlobal().clone();
            config.setEscape(false);
            ini.setConfig(config);
            try {
                ini.load(file);
            } catch (IOException e) {
                String reason = file.exists() ? e.getMessage() : "the file does not exist";
                throw new CodedException(
                        ErrorCode.BAD_SETTINGS, "cannot read the settings file " + file + ": " + reason, e);
            }
        }

        private <T> T value(
                String section,
                String key,
                Optional<String> defaultValue,
                String expected,
                Parser<T> parser,
                T onError) {
            knownKeys.add(section + '.' + key);
            String text = Optional.ofNullable(ini.get(section, key))
                    .map(String::strip)
                    .filter(configured -> !configured.isEmpty())
                    .or(() -> defaultValue)
                    .orElse("");
            try {
                checkArgument(!text.isEmpty(), "missing");
                return parser.parse(text);
            } catch (IllegalArgumentException e) {
                errors.add(new SettingError(file.getPath(), section, key, text, expected));
                return onError;
            }
        }

        private String text(String section, String key, Optional<String> defaultValue, Parser<String> parser) {
            return value(section, key, defaultValue, "a non-empty text", parser, "missing");
        }

        private String level(String section, String key, String defaultValue) {
            return value(
                    section,
                    key,
                    Optional.of(defaultValue),
                    "one of " + LEVELS,
                    text -> {
                        checkArgument(LEVELS.contains(text), "not a log level");
                        return text;
                    },
                    defaultValue);
        }

        private InetSocketAddress address(String section, String key, Optional<String> defaultValue) {
            return value(
                    section,
                    key,
                    defaultValue,
                    "an address ip:port",
                    Addresses::parse,
                    InetSocketAddress.createUnresolved("missing", 1));
        }

        private double number(String section, String key, double defaultValue) {
            return value(
                    section,
                    key,
                    Optional.of(Double.toString(defaultValue)),
                    "a positive number",
                    text -> {
                        Double number = Doubles.tryParse(text);
                        checkArgument(number != null && number > 0, "not a positive number");
                        return number;
                    },
                    defaultValue);
        }

        private Duration millis(String section, String key) {
            return duration(section, key, Optional.empty(), "a positive time in milliseconds", 1e6);
        }

        private Duration millisOfAtLeast(Duration minimum, String section, String key, Duration defaultValue) {
            Duration read = duration(
                    section,
                    key,
                    Optional.of(Long.toString(defaultValue.toMillis())),
                    "a time of at least " + minimum.toMillis() + " milliseconds",
                    1e6);
            if (read.compareTo(minimum) < 0) {
                errors.add(new SettingError(
                        file.getPath(),
                        section,
                        key,
                        read.toMillis() + " ms",
                        "a time of at least " + minimum.toMillis() + " milliseconds"));
            }
            return read;
        }

        private Duration seconds(String section, String key) {
            return duration(section, key, Optional.empty(), "a positive time in seconds", 1e9);
        }

        private Duration duration(
                String section, String key, Optional<String> defaultValue, String expected, double unitNanos) {
            return value(
                    section,
                    key,
                    defaultValue,
                    expected,
                    text -> {
                        Double number = Doubles.tryParse(text);
                        checkArgument(number != null && number > 0, "not a positive number");
                        return Duration.ofNanos((long) (number * unitNanos));
                    },
                    Duration.ofSeconds(1));
        }

        private HostSettings buildChecked(Supplier<HostSettings> build) {
            HostSettings settings = build.get();
            ini.forEach((name, section) -> section.keySet().stream()
                    .filter(key -> !knownKeys.contains(name + '.' + key))
                    .forEach(key -> errors.add(new SettingError(
                            file.getPath(), name, key, section.get(key), "a known key; this one is unknown"))));
            if (!errors.isEmpty()) {
                throw new CodedException(
                        ErrorCode.BAD_SETTINGS,
                        errors.stream().map(SettingError::toString).collect(Collectors.joining("\n")));
            }
            return settings;
        }
    }
}
