package org.mustardlink.config.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.http.Addresses;

/**
 * Validated and parsed settings of an entry host; {@link SettingKeys} describes each value.
 *
 * @param id id of the host, unique in the deployment
 * @param domain failure domain of the host
 * @param region region of the failure domain
 * @param callerAddress address on which the host listens for callers
 * @param operatorAddress address on which the host listens for operators
 * @param operatorSecretFile file with the secret that operators' changes must contain; empty if no secret is
 *     required
 * @param peerAddress address on which the host listens for other entry hosts
 * @param platformAddress address of the platform
 * @param peerSeeds addresses of other entry hosts that are used in addition to the platform's list of hosts
 * @param limits limits on counts and sizes
 * @param timeouts time-outs and intervals
 * @param configuration settings of the configuration replica
 * @param dispatch limits of the event loop and of the I/O to targets
 * @param logs log levels and the limit on log lines
 * @param metrics limits of the metrics
 */
public record EntrySettings(
        String id,
        String domain,
        String region,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        Optional<Path> operatorSecretFile,
        InetSocketAddress peerAddress,
        InetSocketAddress platformAddress,
        ImmutableList<InetSocketAddress> peerSeeds,
        Limits limits,
        Timeouts timeouts,
        Configuration configuration,
        Dispatch dispatch,
        Logs logs,
        Metrics metrics) {
    public EntrySettings {
        checkNotNull(id, "id");
        checkNotNull(domain, "domain");
        checkNotNull(region, "region");
        checkNotNull(callerAddress, "callerAddress");
        checkNotNull(operatorAddress, "operatorAddress");
        checkNotNull(operatorSecretFile, "operatorSecretFile");
        checkNotNull(peerAddress, "peerAddress");
        checkNotNull(platformAddress, "platformAddress");
        checkNotNull(peerSeeds, "peerSeeds");
        checkNotNull(limits, "limits");
        checkNotNull(timeouts, "timeouts");
        checkNotNull(configuration, "configuration");
        checkNotNull(dispatch, "dispatch");
        checkNotNull(logs, "logs");
        checkNotNull(metrics, "metrics");
    }

    /**
     * Limits on counts and sizes.
     *
     * @param callerThreads number of threads that read callers' requests
     * @param maxBodyBytes maximum size of the body of a caller's request
     * @param sessions maximum number of sessions
     * @param openJobs maximum number of jobs without a verdict
     * @param queuedTasks maximum number of tasks that wait for a slot
     * @param keptAnswers maximum number of responses kept for resubmissions
     * @param keptAnswerBytes maximum total size of the results kept for resubmissions
     * @param targetConnections maximum number of connections to one target
     * @param totalConnections maximum number of connections to all targets together
     */
    public record Limits(
            int callerThreads,
            int maxBodyBytes,
            int sessions,
            int openJobs,
            int queuedTasks,
            int keptAnswers,
            long keptAnswerBytes,
            int targetConnections,
            int totalConnections) {}

    /**
     * Time-outs and intervals.
     *
     * @param platform time-out of a call to the platform
     * @param sessionIdle idle time after which a session expires
     * @param answerRetention time for which a response is kept for resubmissions
     * @param retryAfter default delay that a rejected caller is asked to wait before a retry
     * @param connect time-out for opening a connection to a target or waiting for a free one
     * @param idleConnection time after which an unused connection is closed
     * @param lookup time-out of a lookup at the owner of a session
     * @param forwardMargin time before a caller's deadline by which the owner must respond to a forwarding host
     * @param hostsRefresh interval between reads of the platform's list of hosts
     * @param stopGrace maximum time that a planned stop waits for open jobs
     */
    public record Timeouts(
            Duration platform,
            Duration sessionIdle,
            Duration answerRetention,
            Duration retryAfter,
            Duration connect,
            Duration idleConnection,
            Duration lookup,
            Duration forwardMargin,
            Duration hostsRefresh,
            Duration stopGrace) {}

    /**
     * Settings of the configuration replica.
     *
     * @param logWait maximum time that one read of the log waits for new records
     * @param retryPause delay before a failed read is retried
     * @param pullPeriod mean interval between polls of a random peer
     * @param snapshotRecords number of records after the newest snapshot at which a new snapshot is due
     * @param snapshotAge age of the newest snapshot at which a new one is due
     * @param snapshotJitter maximum random delay before a due snapshot is written
     */
    public record Configuration(
            Duration logWait,
            Duration retryPause,
            Duration pullPeriod,
            int snapshotRecords,
            Duration snapshotAge,
            Duration snapshotJitter) {}

    /**
     * Limits of the event loop and of the I/O to targets.
     *
     * @param eventsPerTick maximum number of events handled in one tick
     * @param targetIoThreads number of threads for connections to targets
     */
    public record Dispatch(int eventsPerTick, int targetIoThreads) {}

    /**
     * Log levels and the limit on log lines.
     *
     * @param level lowest level of events that is logged
     * @param libraryLevel lowest level of messages of libraries that is logged
     * @param linesPerEvent maximum number of lines for one kind of event per second
     */
    public record Logs(String level, String libraryLevel, int linesPerEvent) {}

    /**
     * Limits of the metrics.
     *
     * @param maxSeries maximum number of separate histograms by team and class
     * @param digits number of significant digits of the histograms
     */
    public record Metrics(int maxSeries, int digits) {}

    /** Converts validated settings to their parsed form. */
    public static EntrySettings of(Settings settings) {
        return new EntrySettings(
                settings.value(SettingKeys.HOST_ID),
                settings.value(SettingKeys.HOST_DOMAIN),
                settings.value(SettingKeys.HOST_REGION),
                settings.value(SettingKeys.CALLER_ADDRESS),
                settings.value(SettingKeys.OPERATOR_ADDRESS),
                settings.value(SettingKeys.OPERATOR_SECRET),
                settings.value(SettingKeys.PEER_ADDRESS),
                settings.value(SettingKeys.PLATFORM_ADDRESS),
                settings.value(SettingKeys.PEER_SEEDS),
                limits(settings),
                timeouts(settings),
                configuration(settings),
                new Dispatch(
                        settings.value(SettingKeys.EVENTS_PER_TICK), settings.value(SettingKeys.TARGET_IO_THREADS)),
                new Logs(
                        settings.value(SettingKeys.LOG_LEVEL),
                        settings.value(SettingKeys.LIBRARY_LOG_LEVEL),
                        settings.value(SettingKeys.LOG_RATE)),
                new Metrics(settings.value(SettingKeys.METRIC_SERIES), settings.value(SettingKeys.METRIC_DIGITS)));
    }

    /**
     * Returns settings of a host on free loopback ports, with defaults for all other keys.
     *
     * @param id id of the host
     * @param domain failure domain of the host
     * @param platformAddress address of the platform
     * @param overrides values that override these settings, by {@code section.key}
     */
    public static EntrySettings forLoopback(
            String id, String domain, InetSocketAddress platformAddress, Map<String, String> overrides) {
        return of(Settings.of(ImmutableMap.<String, String>builder()
                .put("host.id", id)
                .put("host.domain", domain)
                .put("caller.address", "127.0.0.1:0")
                .put("operator.address", "127.0.0.1:0")
                .put("peer.address", "127.0.0.1:0")
                .put("platform.address", Addresses.format(platformAddress))
                .putAll(overrides)
                .buildKeepingLast()));
    }

    private static Configuration configuration(Settings settings) {
        return new Configuration(
                settings.value(SettingKeys.LOG_WAIT),
                settings.value(SettingKeys.RETRY_PAUSE),
                settings.value(SettingKeys.PULL_PERIOD),
                settings.value(SettingKeys.SNAPSHOT_RECORDS),
                settings.value(SettingKeys.SNAPSHOT_AGE),
                settings.value(SettingKeys.SNAPSHOT_JITTER));
    }

    private static Limits limits(Settings settings) {
        return new Limits(
                settings.value(SettingKeys.CALLER_THREADS),
                settings.value(SettingKeys.CALLER_MAX_BODY),
                settings.value(SettingKeys.SESSIONS),
                settings.value(SettingKeys.OPEN_JOBS),
                settings.value(SettingKeys.QUEUED_TASKS),
                settings.value(SettingKeys.KEPT_ANSWERS),
                settings.value(SettingKeys.KEPT_SIZE),
                settings.value(SettingKeys.TARGET_CONNECTIONS),
                settings.value(SettingKeys.TOTAL_CONNECTIONS));
    }

    private static Timeouts timeouts(Settings settings) {
        return new Timeouts(
                settings.value(SettingKeys.PLATFORM_TIMEOUT),
                settings.value(SettingKeys.SESSION_IDLE),
                settings.value(SettingKeys.ANSWER_KEPT),
                settings.value(SettingKeys.RETRY_AFTER),
                settings.value(SettingKeys.CONNECT),
                settings.value(SettingKeys.IDLE_CONNECTION),
                settings.value(SettingKeys.LOOKUP),
                settings.value(SettingKeys.FORWARD_MARGIN),
                settings.value(SettingKeys.HOSTS_REFRESH),
                settings.value(SettingKeys.STOP_GRACE));
    }
}
