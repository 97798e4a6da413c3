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

/** Follows what a host reads from the store: configuration, targets, claims and hosts. */
final class StoreFollowing implements AutoCloseable {
    /**
     * A reading of the configuration waits this long for a record; a connection that went silent is noticed within twice
     * that, because a new configuration has to be in force within two seconds.
     */
    private static final Duration WAIT = Duration.ofMillis(800);
    /** The same for claims, which their hosts announce themselves as well. */
    private static final Duration CLAIMS_WAIT = Duration.ofSeconds(2);
    /** The same for hosts, which introduce themselves to all others as well. */
    private static final Duration HOSTS_WAIT = Duration.ofSeconds(4);
    /** Targets report every second or two, so their topic is read at intervals instead of on each record. */
    private static final Duration TARGETS_PAUSE = Duration.ofMillis(300);
    /**
     * The same on a host that orders no starts and isn't about to; half of the shortest time within which a draining target
     * must get no more of them.
     */
    private static final Duration IDLE_TARGETS_PAUSE = Duration.ofSeconds(1);
    /** Hosts change rarely, and introduce themselves on their own. */
    private static final Duration HOSTS_PAUSE = Duration.ofSeconds(1);
    /** Pause before this host's own entry is written again after a failure. */
    private static final Duration INTRODUCE_RETRY = Duration.ofMillis(500);

    private final StoreClient store;
    private final ScheduledExecutorService timer;
    private final EventLog log;
    private final HostLoop loop;
    private final Listener listener;
    private final BooleanSupplier ordersStarts;
    private final List<TopicFollower> followers = new ArrayList<>();
    private volatile boolean closed;
    private volatile boolean targetsReachable = true;
    private volatile boolean claimsRead;
    private volatile OptionalLong claimsEnd = OptionalLong.empty();
    private long configVersion = -1;

    /** Hears what was read; called on the loop thread. */
    interface Listener {
        void configured(RoutingTable table, String record, long now);

        void targets(ImmutableList<KeyedRecord> records, boolean whole, long now);

        void claimed(Claim claim, long now);

        void listed(HostInfo host, long now);
    }

    /**
     * Creates the following of one host.
     *
     * @param ordersStarts returns whether this host is the master of a pool or may become one soon; called by any thread
     */
    StoreFollowing(
            StoreClient store,
            ScheduledExecutorService timer,
            EventLog log,
            HostLoop loop,
            Listener listener,
            BooleanSupplier ordersStarts) {
        this.store = store;
        this.timer = timer;
        this.log = log;
        this.loop = loop;
        this.listener = listener;
        this.ordersStarts = ordersStarts;
    }

    /** Starts to follow, and writes the host's own entry. */
    void start(StoredHost self) {
        follow(
                StoreTopics.OPERATOR,
                WAIT,
                () -> Duration.ZERO,
                (page, _whole) -> page.records().stream()
                        .filter(record -> record.key().equals(StoreTopics.CONFIG_KEY))
                        .forEach(this::configured));
        follow(
                StoreTopics.TARGETS,
                WAIT,
                () -> ordersStarts.getAsBoolean() ? TARGETS_PAUSE : IDLE_TARGETS_PAUSE,
                (page, whole) -> loop.post(now -> listener.targets(page.records(), whole, now)));
        follow(StoreTopics.CLAIMS, CLAIMS_WAIT, () -> Duration.ZERO, (page, _whole) -> {
            page.records()
                    .forEach(record -> parse(record, StoredClaim::parse)
                            .ifPresent(claim -> loop.post(now -> listener.claimed(claim.toClaim(), now))));
            loop.post(_now -> {
                // Only now: a claim's condition must not be newer than what the loop decided by.
                claimsEnd = OptionalLong.of(page.nextOffset());
                claimsRead = true;
            });
        });
        follow(
                StoreTopics.HOSTS,
                HOSTS_WAIT,
                () -> HOSTS_PAUSE,
                (page, _whole) -> page.records()
                        .forEach(record -> parse(record, StoredHost::parse)
                                .ifPresent(host -> loop.post(now -> listener.listed(host.toInfo(), now)))));
        introduce(self);
    }

    @FunctionalInterface
    private interface Take {
        void records(StoreClient.Page page, boolean whole);
    }

    private void follow(String followed, Duration wait, Supplier<Duration> pause, Take take) {
        followers.add(TopicFollower.start(
                store,
                followed,
                wait,
                pause,
                new TopicFollower.Listener() {
                    @Override
                    public void onRecords(StoreClient.Page page, boolean whole) {
                        take.records(page, whole);
                    }

                    @Override
                    public void onReachabilityChanged(String topic, boolean isReachable, String why) {
                        dependency(topic, isReachable, why);
                    }

                    @Override
                    public void onRecordsFailed(String topic, Throwable cause) {
                        log.line(LogEvent.RECORD_REJECTED)
                                .with(LogField.KEY, topic)
                                .with(LogField.REASON, "records can't be handled: " + cause)
                                .write();
                    }
                },
                timer));
    }

    private void dependency(String topic, boolean isReachable, String why) {
        if (topic.equals(StoreTopics.TARGETS)) {
            targetsReachable = isReachable;
        }
        EventLog.Line line = log.line(isReachable ? LogEvent.DEPENDENCY_BACK : LogEvent.DEPENDENCY_LOST)
                .with(LogField.DEPENDENCY, topic);
        if (!isReachable) {
            line.with(LogField.ERROR, why);
        }
        line.write();
    }

    /** Takes a configuration that another host has read. */
    void configuredByPeer(String record) {
        configured(new KeyedRecord(0, StoreTopics.CONFIG_KEY, Optional.of(record)));
    }

    private void configured(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return;
        }
        try {
            RoutingTable table = DocumentDecoder.decodeConfig(record.text().orElseThrow());
            loop.post(now -> {
                // A reading after lost history may bring an older version than one that was seen.
                if (table.version() > configVersion) {
                    configVersion = table.version();
                    listener.configured(table, record.value().orElseThrow(), now);
                }
            });
        } catch (CodedException e) {
            reject(record, e.getMessage());
        }
    }

    private <T> Optional<T> parse(KeyedRecord record, Function<String, Optional<T>> parser) {
        Optional<T> parsed = record.text().flatMap(parser);
        if (parsed.isEmpty() && record.value().isPresent()) {
            reject(record, "malformed");
        }
        return parsed;
    }

    private void reject(KeyedRecord record, String why) {
        log.line(LogEvent.RECORD_REJECTED)
                .with(LogField.KEY, record.key())
                .with(LogField.REASON, why)
                .write();
    }

    private void introduce(StoredHost self) {
        if (closed) {
            return;
        }
        Consumer<Duration> again = after -> {
            ScheduledFuture<?> _scheduled =
                    timer.schedule(() -> introduce(self), after.toMillis(), TimeUnit.MILLISECONDS);
        };
        CompletableFuture<StoreClient.AppendOutcome> _sent = store.append(
                        StoreTopics.HOSTS, self.id(), self.toJson(), OptionalLong.empty())
                .whenComplete((outcome, failure) -> {
                    if (failure != null || outcome != StoreClient.AppendOutcome.APPENDED) {
                        again.accept(INTRODUCE_RETRY);
                    }
                });
    }

    /** Returns whether the list of targets could be read last time. */
    boolean targetsReachable() {
        return targetsReachable;
    }

    /** Returns whether the claims were read at least once. */
    boolean claimsRead() {
        return claimsRead;
    }

    /** Returns the end of the claims that the loop has taken in, for conditional appends. */
    OptionalLong claimsEnd() {
        return claimsEnd;
    }

    @Override
    public void close() {
        closed = true;
        followers.forEach(TopicFollower::close);
    }
}
