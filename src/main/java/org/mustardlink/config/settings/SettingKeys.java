package org.mustardlink.config.settings;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/** All keys of the settings of an entry host, in the order in which they are shown. */
public final class SettingKeys {
    static final SettingKey<String> HOST_ID =
            required("host", "id", ValueType.name(), "id of this entry host, unique in the deployment");
    static final SettingKey<String> HOST_DOMAIN =
            required("host", "domain", ValueType.name(), "failure domain of this entry host");
    static final SettingKey<String> HOST_REGION =
            optional("host", "region", ValueType.name(), "default", "region of the failure domain");

    static final SettingKey<InetSocketAddress> CALLER_ADDRESS =
            required("caller", "address", ValueType.address(), "address for callers; port 0 selects a free port");
    static final SettingKey<Integer> CALLER_THREADS = optional(
            "caller", "threads", ValueType.count(1, 256), "4", "number of threads that read callers' requests");
    static final SettingKey<Integer> CALLER_MAX_BODY = optional(
            "caller",
            "max-body",
            ValueType.size("1 KiB", "4 MiB"),
            "4 MiB",
            "maximum size of the body of a caller's request");
    static final SettingKey<InetSocketAddress> OPERATOR_ADDRESS =
            required("operator", "address", ValueType.address(), "address for operators, metrics and health checks");
    static final SettingKey<Optional<Path>> OPERATOR_SECRET = optional(
            "operator",
            "secret-file",
            ValueType.file(),
            "",
            "file with the secret that operators' changes must contain; if empty, no secret is required");
    static final SettingKey<InetSocketAddress> PEER_ADDRESS =
            required("peer", "address", ValueType.address(), "address for other entry hosts (Thrift)");
    static final SettingKey<InetSocketAddress> PLATFORM_ADDRESS =
            required("platform", "address", ValueType.address(), "address of the platform's services");
    static final SettingKey<Duration> PLATFORM_TIMEOUT = optional(
            "platform",
            "timeout",
            ValueType.duration("10 ms", "5 min"),
            "3 s",
            "time-out of an append to or a read from the platform");
    static final SettingKey<ImmutableList<InetSocketAddress>> PEER_SEEDS = optional(
            "peers",
            "seeds",
            ValueType.addresses(),
            "",
            "peer addresses used in addition to the platform's list of hosts");

    static final SettingKey<Integer> SESSIONS =
            optional("limits", "sessions", ValueType.count(1, 10_000_000), "20000", "maximum number of sessions");
    static final SettingKey<Integer> OPEN_JOBS = optional(
            "limits", "open-jobs", ValueType.count(1, 10_000_000), "20000", "maximum number of jobs without a verdict");
    static final SettingKey<Integer> QUEUED_TASKS = optional(
            "limits",
            "queued-tasks",
            ValueType.count(1, 10_000_000),
            "100000",
            "maximum number of tasks waiting for a slot");
    static final SettingKey<Integer> KEPT_ANSWERS = optional(
            "limits",
            "kept-answers",
            ValueType.count(1, 10_000_000),
            "20000",
            "maximum number of responses kept for resubmissions");
    static final SettingKey<Integer> KEPT_SIZE = optional(
            "limits",
            "kept-size",
            ValueType.size("1 KiB", "1024 MiB"),
            "16 MiB",
            "maximum total size of the results kept for resubmissions");
    static final SettingKey<Integer> TARGET_CONNECTIONS = optional(
            "limits",
            "target-connections",
            ValueType.count(1, 64),
            "21",
            "maximum connections to one target; a target accepts 64 from all entry hosts of its domain together");
    static final SettingKey<Integer> TOTAL_CONNECTIONS = optional(
            "limits",
            "total-connections",
            ValueType.count(1, 65_536),
            "4096",
            "maximum connections to all targets together");

    static final SettingKey<Duration> SESSION_IDLE = optional(
            "timeouts",
            "session-idle",
            ValueType.duration("1 s", "24 h"),
            "30 min",
            "idle time after which a session expires");
    static final SettingKey<Duration> ANSWER_KEPT = optional(
            "timeouts",
            "answer-kept",
            ValueType.duration("1 s", "24 h"),
            "5 min",
            "time for which a response is kept for resubmissions");
    static final SettingKey<Duration> RETRY_AFTER = optional(
            "timeouts",
            "retry-after",
            ValueType.duration("1 ms", "10 min"),
            "1 s",
            "default delay that a rejected caller is asked to wait before a retry");
    static final SettingKey<Duration> CONNECT = optional(
            "timeouts",
            "connect",
            ValueType.duration("1 ms", "1 min"),
            "500 ms",
            "time-out for opening a connection to a target or waiting for a free one");
    static final SettingKey<Duration> IDLE_CONNECTION = optional(
            "timeouts",
            "idle-connection",
            ValueType.duration("100 ms", "1 h"),
            "30 s",
            "time after which an unused connection to a target is closed");
    static final SettingKey<Duration> LOOKUP = optional(
            "timeouts",
            "lookup",
            ValueType.duration("100 ms", "10 min"),
            "30 s",
            "time-out of a lookup or a cancellation at the owner of a session");
    static final SettingKey<Duration> FORWARD_MARGIN = optional(
            "timeouts",
            "forward-margin",
            ValueType.duration("1 ms", "1 min"),
            "20 ms",
            "time before a caller's deadline by which the owner must respond to a forwarding host");
    static final SettingKey<Duration> HOSTS_REFRESH = optional(
            "timeouts",
            "hosts-refresh",
            ValueType.duration("50 ms", "5 min"),
            "1 s",
            "interval between reads of the platform's list of hosts");
    static final SettingKey<Duration> STOP_GRACE = optional(
            "timeouts",
            "stop-grace",
            ValueType.duration("0 ms", "1 h"),
            "30 s",
            "maximum time that a planned stop waits for open jobs");

    static final SettingKey<Duration> LOG_WAIT = optional(
            "configuration",
            "log-wait",
            ValueType.duration("10 ms", "1 min"),
            "5 s",
            "maximum time that one read of the configuration stream waits for new records");
    static final SettingKey<Duration> RETRY_PAUSE = optional(
            "configuration",
            "retry-pause",
            ValueType.duration("1 ms", "1 min"),
            "200 ms",
            "delay before a failed read of the configuration stream is retried");
    static final SettingKey<Duration> PULL_PERIOD = optional(
            "configuration",
            "pull-period",
            ValueType.duration("10 ms", "1 min"),
            "500 ms",
            "mean interval between polls of a random peer");
    static final SettingKey<Integer> SNAPSHOT_RECORDS = optional(
            "configuration",
            "snapshot-records",
            ValueType.count(1, 100_000),
            "100",
            "number of records after the newest snapshot at which a new snapshot is due");
    static final SettingKey<Duration> SNAPSHOT_AGE = optional(
            "configuration",
            "snapshot-age",
            ValueType.duration("1 s", "24 h"),
            "10 min",
            "age of the newest snapshot at which a new one is due; must be far below the retention of the log");
    static final SettingKey<Duration> SNAPSHOT_JITTER = optional(
            "configuration",
            "snapshot-jitter",
            ValueType.duration("0 ms", "1 h"),
            "30 s",
            "maximum random delay before a due snapshot is written");

    static final SettingKey<Integer> EVENTS_PER_TICK = optional(
            "dispatch",
            "events-per-tick",
            ValueType.count(1, 100_000),
            "1024",
            "maximum number of events handled in one tick");
    static final SettingKey<Integer> TARGET_IO_THREADS = optional(
            "dispatch",
            "target-io-threads",
            ValueType.count(1, 64),
            "2",
            "number of threads for connections to targets");

    static final SettingKey<String> LOG_LEVEL = optional(
            "logs",
            "level",
            ValueType.choice("error", "warn", "info", "debug"),
            "info",
            "lowest level of events that is logged");
    static final SettingKey<String> LIBRARY_LOG_LEVEL = optional(
            "logs",
            "library-level",
            ValueType.choice("error", "warn", "info", "debug"),
            "warn",
            "lowest level of messages of libraries that is logged");
    static final SettingKey<Integer> LOG_RATE = optional(
            "logs",
            "lines-per-event",
            ValueType.count(1, 100_000),
            "10",
            "maximum number of lines for one kind of event per second; the next line states how many were omitted");

    static final SettingKey<Integer> METRIC_SERIES = optional(
            "metrics",
            "max-series",
            ValueType.count(1, 10_000),
            "64",
            "maximum number of separate histograms by team and class; all others share the series other");
    static final SettingKey<Integer> METRIC_DIGITS =
            optional("metrics", "digits", ValueType.count(1, 3), "2", "number of significant digits of the histograms");

    private static final ImmutableList<SettingKey<?>> ALL = ImmutableList.of(
            HOST_ID,
            HOST_DOMAIN,
            HOST_REGION,
            CALLER_ADDRESS,
            CALLER_THREADS,
            CALLER_MAX_BODY,
            OPERATOR_ADDRESS,
            OPERATOR_SECRET,
            PEER_ADDRESS,
            PLATFORM_ADDRESS,
            PLATFORM_TIMEOUT,
            PEER_SEEDS,
            SESSIONS,
            OPEN_JOBS,
            QUEUED_TASKS,
            KEPT_ANSWERS,
            KEPT_SIZE,
            TARGET_CONNECTIONS,
            TOTAL_CONNECTIONS,
            SESSION_IDLE,
            ANSWER_KEPT,
            RETRY_AFTER,
            CONNECT,
            IDLE_CONNECTION,
            LOOKUP,
            FORWARD_MARGIN,
            HOSTS_REFRESH,
            STOP_GRACE,
            LOG_WAIT,
            RETRY_PAUSE,
            PULL_PERIOD,
            SNAPSHOT_RECORDS,
            SNAPSHOT_AGE,
            SNAPSHOT_JITTER,
            EVENTS_PER_TICK,
            TARGET_IO_THREADS,
            LOG_LEVEL,
            LIBRARY_LOG_LEVEL,
            LOG_RATE,
            METRIC_SERIES,
            METRIC_DIGITS);

    private SettingKeys() {}

    /** Returns all keys, grouped by section. */
    public static ImmutableList<SettingKey<?>> all() {
        return ALL;
    }

    private static <T> SettingKey<T> required(String section, String name, ValueType<T> type, String description) {
        return new SettingKey<>(section, name, type, Optional.empty(), description);
    }

    private static <T> SettingKey<T> optional(
            String section, String name, ValueType<T> type, String defaultValue, String description) {
        return new SettingKey<>(section, name, type, Optional.of(defaultValue), description);
    }
}
