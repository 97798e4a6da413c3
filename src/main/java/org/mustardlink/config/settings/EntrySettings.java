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
 * Settings of an entry host, checked and parsed; {@link SettingKeys} describes each value.
 *
 * @param id id of the host, unique in the deployment
 * @param domain its failure domain
 * @param region region of the failure domain
 * @param callerAddress address for callers
 * @param operatorAddress address for operators
 * @param operatorSecretFile file with the secret that operators' changes must carry
 * @param peerAddress address for other entry hosts
 * @param platformAddress address of the platform
 * @param peerSeeds peer addresses known without the platform's list
 * @param limits bounds on counts and sizes
 * @param timeouts times
 * @param configuration how configuration is followed
 * @param dispatch bounds of the event loop and of the I/O towards targets
 * @param logs what is logged
 * @param metrics bounds of the metrics
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
        checkNotNull(callerAddress, "caller");
        checkNotNull(operatorAddress, "operator");
        checkNotNull(operatorSecretFile, "operatorSecret");
        checkNotNull(peerAddress, "peer");
        checkNotNull(platformAddress, "platform");
        checkNotNull(peerSeeds, "peers");
        checkNotNull(limits, "limits");
        checkNotNull(timeouts, "timeouts");
        checkNotNull(configuration, "configuration");
        checkNotNull(dispatch, "dispatch");
        checkNotNull(logs, "logs");
        checkNotNull(metrics, "metrics");
    }

    /**
     * Bounds on counts and sizes.
     *
     * @param callerThreads threads that read callers' requests
     * @param maxBodyBytes largest body of a caller's request
     * @param sessions sessions kept at once
     * @param openJobs jobs without a verdict at once
     * @param queuedTasks tasks waiting for a slot at once
     * @param keptAnswers answers kept for resubmissions
     * @param keptAnswerBytes size of the results kept for resubmissions
     * @param targetConnections connections to one target
     * @param totalConnections connections to all targets together
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
     * Times.
     *
     * @param platform longest time that a call of the platform may take
     * @param sessionIdle idle time after which a session expires
     * @param answerRetention time that an answer is kept
     * @param retryAfter time to come back that refusals name by default
     * @param connect time to open a connection to a target
     * @param idleConnection time after which an unused connection is closed
     * @param lookup longest wait for a session's owner to answer a lookup
     * @param forwardMargin time before a caller's deadline at which an owner has to answer a forwarding host
     * @param hostsRefresh time between two reads of the platform's list of hosts
     * @param stopGrace longest time that a planned stop waits for open jobs
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
     * How configuration is followed.
     *
     * @param logWait longest wait of one read of the stream
     * @param retryPause pause after a failed read
     * @param pullPeriod mean time between two questions to a random peer
     * @param snapshotRecords records after the newest snapshot that make a new one due
     * @param snapshotAge age at which a snapshot is written again
     * @param snapshotJitter longest random delay before a due snapshot is written
     */
    public record Configuration(
            Duration logWait,
            Duration retryPause,
            Duration pullPeriod,
            int snapshotRecords,
            Duration snapshotAge,
            Duration snapshotJitter) {}

    /**
     * Bounds of the event loop and of the I/O towards targets.
     *
     * @param eventsPerTick most events handled in one tick
     * @param targetIoThreads threads for connections to targets
     */
    public record Dispatch(int eventsPerTick, int targetIoThreads) {}

    /**
     * What is logged.
     *
     * @param level least important events written
     * @param libraryLevel least important messages of libraries written
     * @param linesPerEvent most lines of one event each second
     */
    public record Logs(String level, String libraryLevel, int linesPerEvent) {}

    /**
     * Bounds of the metrics.
     *
     * @param maxSeries histograms of team and class kept apart
     * @param digits significant digits of the histograms
     */
    public record Metrics(int maxSeries, int digits) {}

    /** Returns the parsed form of checked settings. */
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
     * Returns settings for a host on free loopback ports, with defaults for the rest.
     *
     * @param id id of the host
     * @param domain its failure domain
     * @param platformAddress address of the platform
     * @param overrides further values by {@code section.key}
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
