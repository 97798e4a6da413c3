package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mustardlink.errors.CodedException;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.platform.DocumentDecoder;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.platform.StoreClient;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.TopicFollower;
import org.mustardlink.routing.RoutingTable;

/** Follows the topics of the store that a host needs: configuration, targets, claims and hosts. */
final class StoreFollower implements AutoCloseable {
    /**
     * Time that a read of the configuration or the targets waits for a new record. A dead connection is noticed within
     * twice this time, because a new configuration has to be in force within two seconds.
     */
    private static final Duration RECORD_WAIT = Duration.ofMillis(800);
    /** Time that a read of the claims waits for a new record; longer, as hosts also announce claims to each other. */
    private static final Duration CLAIMS_WAIT = Duration.ofSeconds(2);
    /**
     * Time that a read of the hosts waits for a new record; longer, as hosts also introduce themselves to each other.
     */
    private static final Duration HOSTS_WAIT = Duration.ofSeconds(4);
    /**
     * Pause between reads of the targets. Each target updates its entry every second or two, so the topic is read at
     * intervals instead of after each record.
     */
    private static final Duration TARGETS_PAUSE = Duration.ofMillis(300);
    /**
     * Pause between reads of the targets on a host that orders no starts and is not about to; half of the shortest time
     * within which a draining target must stop receiving starts.
     */
    private static final Duration IDLE_TARGETS_PAUSE = Duration.ofSeconds(1);
    /** Pause between reads of the hosts; they change rarely, and introduce themselves to each other. */
    private static final Duration HOSTS_PAUSE = Duration.ofSeconds(1);
    /** Delay until this host tries again to write its own entry after a failure. */
    private static final Duration REGISTRATION_RETRY_DELAY = Duration.ofMillis(500);

    private final StoreClient store;
    private final ScheduledExecutorService timer;
    private final EventLog log;
    private final HostLoop loop;
    private final Listener listener;
    private final BooleanSupplier mayOrderStarts;
    private final List<TopicFollower> followers = new ArrayList<>();
    private Optional<TopicFollower> targetsFollower = Optional.empty();
    private volatile boolean closed;
    private volatile boolean targetsReachable = true;
    private volatile boolean claimsRead;
    private volatile OptionalLong claimsEndOffset = OptionalLong.empty();
    private long configVersion = -1;

    /** Receives the records that were read; called on the loop thread. */
    interface Listener {
        void onConfiguration(RoutingTable table, String record, long now);

        void onTargets(ImmutableList<KeyedRecord> records, boolean isFullList, long now);

        /** Called when every record of the targets that was written before a time has been delivered. */
        void onTargetsUpToDate(long readStartedNanos);

        void onClaim(Claim claim, long now);

        void onHost(HostInfo host, long now);
    }

    /**
     * Creates the follower of a host.
     *
     * @param mayOrderStarts returns whether this host is the master of a pool or may become one soon; called by
     *     any thread
     */
    StoreFollower(
            StoreClient store,
            ScheduledExecutorService timer,
            EventLog log,
            HostLoop loop,
            Listener listener,
            BooleanSupplier mayOrderStarts) {
        this.store = store;
        this.timer = timer;
        this.log = log;
        this.loop = loop;
        this.listener = listener;
        this.mayOrderStarts = mayOrderStarts;
    }

    /** Starts to follow the topics, and writes the host's own entry. */
    void start(StoredHost self) {
        TopicFollower _operator = follow(
                StoreTopics.OPERATOR,
                RECORD_WAIT,
                () -> Duration.ZERO,
                (page, _isFullList) -> page.records().stream()
                        .filter(record -> record.key().equals(StoreTopics.CONFIG_KEY))
                        .forEach(this::applyConfiguration));
        targetsFollower = Optional.of(follow(
                StoreTopics.TARGETS,
                RECORD_WAIT,
                () -> mayOrderStarts.getAsBoolean() ? TARGETS_PAUSE : IDLE_TARGETS_PAUSE,
                (page, isFullList) -> loop.post(now -> listener.onTargets(page.records(), isFullList, now))));
        TopicFollower _claims = follow(StoreTopics.CLAIMS, CLAIMS_WAIT, () -> Duration.ZERO, (page, _isFullList) -> {
            page.records()
                    .forEach(record -> parse(record, StoredClaim::parse)
                            .ifPresent(claim -> loop.post(now -> listener.onClaim(claim.toClaim(), now))));
            loop.post(_now -> {
                // Updated only after the loop has handled the claims: a conditional append of a claim must not depend
                // on an offset beyond the claims that the decision was based on.
                claimsEndOffset = OptionalLong.of(page.nextOffset());
                claimsRead = true;
            });
        });
        TopicFollower _hosts = follow(
                StoreTopics.HOSTS,
                HOSTS_WAIT,
                () -> HOSTS_PAUSE,
                (page, _isFullList) -> page.records()
                        .forEach(record -> parse(record, StoredHost::parse)
                                .ifPresent(host -> loop.post(now -> listener.onHost(host.toInfo(), now)))));
        registerHost(self);
    }

    @FunctionalInterface
    private interface PageHandler {
        void handlePage(StoreClient.Page page, boolean isFullList);
    }

    private TopicFollower follow(
            String followedTopic, Duration wait, Supplier<Duration> pause, PageHandler pageHandler) {
        TopicFollower follower = TopicFollower.start(
                store,
                followedTopic,
                wait,
                pause,
                new TopicFollower.Listener() {
                    @Override
                    public void onRecords(StoreClient.Page page, boolean isFullList) {
                        pageHandler.handlePage(page, isFullList);
                    }

                    @Override
                    public void onUpToDate(long readStartedNanos) {
                        if (followedTopic.equals(StoreTopics.TARGETS)) {
                            loop.post(_now -> StoreFollower.this.listener.onTargetsUpToDate(readStartedNanos));
                        }
                    }

                    @Override
                    public void onReachabilityChanged(String topic, boolean isReachable, String reason) {
                        updateReachability(topic, isReachable, reason);
                    }

                    @Override
                    public void onRecordsFailed(String topic, Throwable cause) {
                        log.line(LogEvent.RECORD_REJECTED)
                                .with(LogField.KEY, topic)
                                .with(LogField.REASON, "failed to process records of the topic: " + cause)
                                .write();
                    }
                },
                timer);
        followers.add(follower);
        return follower;
    }

    /** Makes the next read of the targets begin without the usual pause. */
    void readTargetsSoon() {
        targetsFollower.ifPresent(TopicFollower::readSoon);
    }

    private void updateReachability(String topic, boolean isReachable, String reason) {
        if (topic.equals(StoreTopics.TARGETS)) {
            targetsReachable = isReachable;
        }
        EventLog.Line line = log.line(isReachable ? LogEvent.DEPENDENCY_BACK : LogEvent.DEPENDENCY_LOST)
                .with(LogField.DEPENDENCY, topic);
        if (!isReachable) {
            line.with(LogField.ERROR, reason);
        }
        line.write();
    }

    /** Applies a configuration that another host has read. */
    void applyPeerConfiguration(String record) {
        applyConfiguration(new KeyedRecord(0, StoreTopics.CONFIG_KEY, Optional.of(record)));
    }

    private void applyConfiguration(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return;
        }
        try {
            RoutingTable table = DocumentDecoder.decodeConfig(record.text().orElseThrow());
            loop.post(now -> {
                // After the store has lost its history, a read may return an older version than an earlier read.
                if (table.version() > configVersion) {
                    configVersion = table.version();
                    listener.onConfiguration(table, record.value().orElseThrow(), now);
                }
            });
        } catch (CodedException e) {
            logRejectedRecord(record, e.getMessage());
        }
    }

    private <T> Optional<T> parse(KeyedRecord record, Function<String, Optional<T>> parser) {
        Optional<T> parsed = record.text().flatMap(parser);
        if (parsed.isEmpty() && record.value().isPresent()) {
            logRejectedRecord(record, "malformed");
        }
        return parsed;
    }

    private void logRejectedRecord(KeyedRecord record, String reason) {
        log.line(LogEvent.RECORD_REJECTED)
                .with(LogField.KEY, record.key())
                .with(LogField.REASON, reason)
                .write();
    }

    private void registerHost(StoredHost self) {
        if (closed) {
            return;
        }
        Consumer<Duration> retry = delay -> {
            ScheduledFuture<?> _scheduled =
                    timer.schedule(() -> registerHost(self), delay.toMillis(), TimeUnit.MILLISECONDS);
        };
        CompletableFuture<StoreClient.AppendOutcome> _sent = store.append(
                        StoreTopics.HOSTS, self.id(), self.toJson(), OptionalLong.empty())
                .whenComplete((outcome, failure) -> {
                    if (failure != null || outcome != StoreClient.AppendOutcome.APPENDED) {
                        retry.accept(REGISTRATION_RETRY_DELAY);
                    }
                });
    }

    /** Returns whether the last attempt to read the targets succeeded. */
    boolean targetsReachable() {
        return targetsReachable;
    }

    /** Returns whether the claims have been read at least once. */
    boolean claimsRead() {
        return claimsRead;
    }

    /** Returns the offset after the last claim that the loop has handled, for conditional appends. */
    OptionalLong claimsEndOffset() {
        return claimsEndOffset;
    }

    @Override
    public void close() {
        closed = true;
        followers.forEach(TopicFollower::close);
    }
}
