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
 * Reads the {@code config} stream of the log and applies its records to a replica.
 *
 * <p>The reader starts from the newest usable snapshot. If records that the replica lacks have expired, it loads a newer
 * snapshot; it never skips records. If no snapshot includes the expired records, it keeps retrying; meanwhile the replica
 * may obtain them from a peer. A log that ends before the replica's offset is ignored until it reaches that offset.
 */
public final class ConfigReader {
    /** Name of the stream of operators' changes. */
    public static final String CONFIG_STREAM = "config";

    /** Name of the stream of snapshots. */
    public static final String SNAPSHOT_STREAM = "config-snapshots";

    private static final Logger LOG = LogManager.getLogger(ConfigReader.class);
    private static final int MAX_RECORDS_PER_READ = 500;

    /** Number of latest snapshots to read, so that a damaged snapshot does not prevent the use of an earlier one. */
    private static final int MAX_SNAPSHOT_CANDIDATES = 4;

    /** Minimum interval between empty reads, to limit the request rate if the log does not wait for new records. */
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

    /** Starts reading; the reader stops when the executor is shut down. */
    void start() {
        recoverFromSnapshot();
    }

    /** Returns whether the last read of the log succeeded. */
    boolean isLogReachable() {
        return isLogReachable;
    }

    /** Returns the offset of the newest snapshot that the reader loaded; 0 if none. */
    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Returns the end of the snapshot stream without reading a snapshot. */
    static CompletableFuture<Long> readSnapshotStreamEnd(LogService log) {
        return log.read(SNAPSHOT_STREAM, Long.MAX_VALUE, 1, Duration.ZERO).thenApply(LogPage::endOffset);
    }

    private static CompletableFuture<Optional<ConfigState>> readNewestSnapshot(LogService log, long maxOffset) {
        return log.read(SNAPSHOT_STREAM, Long.MAX_VALUE, 1, Duration.ZERO).thenCompose(page -> {
            long from = Math.max(page.earliestOffset(), page.endOffset() - MAX_SNAPSHOT_CANDIDATES);
            return page.endOffset() == page.earliestOffset()
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
            LOG.warn("ignoring a snapshot in the log that cannot be parsed: {}", e.getMessage());
            return Stream.empty();
        }
    }

    private void recoverFromSnapshot() {
        CompletableFuture<Void> _recovered = log.read(CONFIG_STREAM, replica.offset(), 1, Duration.ZERO)
                .thenCompose(page -> readNewestSnapshot(log, page.endOffset()).thenAccept(found -> {
                    found.ifPresent(this::installSnapshot);
                    if (replica.offset() < page.earliestOffset()) {
                        LOG.warn(
                                "records from offset {} up to {} have expired and no snapshot includes them",
                                replica.offset(),
                                page.earliestOffset());
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
            // A listener that fails on one change must not stop the reader from applying later changes.
            LOG.error("failed to apply a page of configuration records; retrying", e);
            scheduleRetry(this::readNextPage);
        }
    }

    private void handlePage(LogPage page, long startNanos) {
        isLogReachable = true;
        if (page.earliestOffset() > replica.offset()) {
            schedule(this::recoverFromSnapshot, settings.retryPause());
            return;
        }
        if (page.endOffset() < replica.offset()) {
            LOG.warn(
                    "the log ends at offset {}, before the offset {} of the replica; ignoring it",
                    page.endOffset(),
                    replica.offset());
            schedule(this::readNextPage, settings.retryPause());
            return;
        }
        replica.apply(page.firstOffset(), page.records());
        if (replica.offset() >= page.endOffset()) {
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
