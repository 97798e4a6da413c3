package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.RejectedChangeException;
import org.mustardlink.config.records.Snapshots;
import org.mustardlink.directory.LogPage;
import org.mustardlink.directory.LogService;

/**
 * Follows the {@code config} stream into a replica.
 *
 * <p>It starts from the newest usable snapshot. When records that the replica lacks have expired it loads a snapshot
 * again and never skips a gap; when neither helps it keeps trying, and a peer may close the gap meanwhile. A log that
 * ends before the replica's offset is ignored until it has caught up.
 */
public final class ConfigReader {
    /** Stream that operators' changes are appended to. */
    public static final String CONFIG_STREAM = "config";

    /** Stream of snapshots. */
    public static final String SNAPSHOT_STREAM = "config-snapshots";

    private static final Logger LOG = LogManager.getLogger(ConfigReader.class);
    private static final int MAX_RECORDS_PER_READ = 500;

    /** Snapshots looked at, newest first; a damaged one does not hide the one before it. */
    private static final int MAX_SNAPSHOT_CANDIDATES = 4;

    /** Shortest time between two reads that return nothing, so that a log that does not wait is not flooded. */
    private static final Duration MIN_EMPTY_READ_INTERVAL = Duration.ofMillis(50);

    private final LogService log;
    private final ConfigReplica replica;
    private final ReplicaSettings settings;
    private final ScheduledExecutorService executor;
    private volatile boolean isLogReachable;
    private volatile long snapshotOffset;

    ConfigReader(LogService log, ConfigReplica replica, ReplicaSettings settings, ScheduledExecutorService executor) {
        this.log = log;
        this.replica = replica;
        this.settings = settings;
        this.executor = executor;
    }

    /** Starts to follow; ends when the executor does. */
    void start() {
        recoverFromSnapshot();
    }

    /** Returns whether the last read of the log succeeded. */
    boolean isLogReachable() {
        return isLogReachable;
    }

    /** Returns the offset of the snapshot that the reader started from, 0 for none. */
    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Returns the offset that the next snapshot in the log will get, without reading one. */
    static CompletableFuture<Long> readSnapshotStreamEnd(LogService log) {
        return log.read(SNAPSHOT_STREAM, Long.MAX_VALUE, 1, Duration.ZERO).thenApply(LogPage::end);
    }

    private static CompletableFuture<Optional<ConfigState>> readNewestSnapshot(LogService log, long maxOffset) {
        return log.read(SNAPSHOT_STREAM, Long.MAX_VALUE, 1, Duration.ZERO).thenCompose(page -> {
            long from = Math.max(page.earliest(), page.end() - MAX_SNAPSHOT_CANDIDATES);
            return page.end() == page.earliest()
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : log.read(SNAPSHOT_STREAM, from, MAX_SNAPSHOT_CANDIDATES, Duration.ZERO)
                            .thenApply(found -> selectNewest(found.records(), maxOffset));
        });
    }

    private static Optional<ConfigState> selectNewest(ImmutableList<String> texts, long maxOffset) {
        return texts.stream()
                .flatMap(ConfigReader::parseSnapshot)
                .filter(state -> state.offset() <= maxOffset)
                .max(Comparator.comparingLong(ConfigState::offset));
    }

    private static Stream<ConfigState> parseSnapshot(String text) {
        try {
            return Stream.of(Snapshots.read(text));
        } catch (RejectedChangeException e) {
            LOG.warn("a snapshot in the log cannot be read: {}", e.getMessage());
            return Stream.empty();
        }
    }

    private void recoverFromSnapshot() {
        CompletableFuture<Void> _recovered = log.read(CONFIG_STREAM, replica.offset(), 1, Duration.ZERO)
                .thenCompose(page -> readNewestSnapshot(log, page.end()).thenAccept(found -> {
                    found.ifPresent(this::installSnapshot);
                    if (replica.offset() < page.earliest()) {
                        LOG.warn(
                                "records {} to {} have expired and no snapshot covers them",
                                replica.offset(),
                                page.earliest());
                    }
                }))
                .whenCompleteAsync(
                        (_done, failure) -> {
                            if (failure == null) {
                                readNextPage();
                            } else {
                                scheduleRetry(this::recoverFromSnapshot);
                            }
                        },
                        executor);
    }

    private void installSnapshot(ConfigState snapshot) {
        snapshotOffset = Math.max(snapshotOffset, snapshot.offset());
        replica.installSnapshot(snapshot);
    }

    private void readNextPage() {
        long startNanos = System.nanoTime();
        CompletableFuture<LogPage> _read = log.read(
                        CONFIG_STREAM, replica.offset(), MAX_RECORDS_PER_READ, settings.logWait())
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                handlePageSafely(page, startNanos);
                            } else {
                                scheduleRetry(this::readNextPage);
                            }
                        },
                        executor);
    }

    private void handlePageSafely(LogPage page, long startNanos) {
        try {
            handlePage(page, startNanos);
        } catch (RuntimeException e) {
            // Whoever acts on a change must not be able to end the reading of the ones after it.
            LOG.error("a change could not be passed on", e);
            scheduleRetry(this::readNextPage);
        }
    }

    private void handlePage(LogPage page, long startNanos) {
        isLogReachable = true;
        if (page.earliest() > replica.offset()) {
            schedule(this::recoverFromSnapshot, settings.retryPause());
            return;
        }
        if (page.end() < replica.offset()) {
            LOG.warn("the log ends at {}, before {}, and is ignored", page.end(), replica.offset());
            schedule(this::readNextPage, settings.retryPause());
            return;
        }
        replica.apply(page.first(), page.records());
        if (replica.offset() >= page.end()) {
            replica.markSourceComplete();
        }
        boolean returnedTooEarly =
                page.records().isEmpty() && System.nanoTime() - startNanos < MIN_EMPTY_READ_INTERVAL.toNanos();
        schedule(this::readNextPage, returnedTooEarly ? MIN_EMPTY_READ_INTERVAL : Duration.ZERO);
    }

    private void scheduleRetry(Runnable step) {
        isLogReachable = false;
        schedule(step, settings.retryPause());
    }

    private void schedule(Runnable step, Duration delay) {
        if (!executor.isShutdown()) {
            Future<?> _next = executor.schedule(step, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
