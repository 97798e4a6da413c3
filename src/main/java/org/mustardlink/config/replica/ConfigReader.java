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
    public static final String STREAM = "config";

    /** Stream of snapshots. */
    public static final String SNAPSHOTS = "config-snapshots";

    private static final Logger LOG = LogManager.getLogger(ConfigReader.class);
    private static final int BATCH = 500;

    /** Snapshots looked at, newest first; a damaged one does not hide the one before it. */
    private static final int SNAPSHOT_CANDIDATES = 4;

    /** Shortest time between two reads that return nothing, so that a log that does not wait is not flooded. */
    private static final Duration MIN_EMPTY_READ = Duration.ofMillis(50);

    private final LogService log;
    private final ConfigReplica replica;
    private final ReplicaSettings settings;
    private final ScheduledExecutorService executor;
    private volatile boolean reachable;
    private volatile long covered;

    ConfigReader(LogService log, ConfigReplica replica, ReplicaSettings settings, ScheduledExecutorService executor) {
        this.log = log;
        this.replica = replica;
        this.settings = settings;
        this.executor = executor;
    }

    /** Starts to follow; ends when the executor does. */
    void start() {
        recover();
    }

    /** Returns whether the last read of the log succeeded. */
    boolean reachable() {
        return reachable;
    }

    /** Returns the offset of the snapshot that the reader started from, 0 for none. */
    long covered() {
        return covered;
    }

    /** Returns the offset that the next snapshot in the log will get, without reading one. */
    static CompletableFuture<Long> snapshotsEnd(LogService log) {
        return log.read(SNAPSHOTS, Long.MAX_VALUE, 1, Duration.ZERO).thenApply(LogPage::endOffset);
    }

    private static CompletableFuture<Optional<ConfigState>> newestSnapshot(LogService log, long end) {
        return log.read(SNAPSHOTS, Long.MAX_VALUE, 1, Duration.ZERO).thenCompose(page -> {
            long from = Math.max(page.earliestOffset(), page.endOffset() - SNAPSHOT_CANDIDATES);
            return page.endOffset() == page.earliestOffset()
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : log.read(SNAPSHOTS, from, SNAPSHOT_CANDIDATES, Duration.ZERO)
                            .thenApply(found -> newest(found.records(), end));
        });
    }

    private static Optional<ConfigState> newest(ImmutableList<String> texts, long end) {
        return texts.stream()
                .flatMap(ConfigReader::parse)
                .filter(state -> state.offset() <= end)
                .max(Comparator.comparingLong(ConfigState::offset));
    }

    private static Stream<ConfigState> parse(String text) {
        try {
            return Stream.of(Snapshots.read(text));
        } catch (RejectedChangeException e) {
            LOG.warn("a snapshot in the log cannot be read: {}", e.getMessage());
            return Stream.empty();
        }
    }

    private void recover() {
        CompletableFuture<Void> _recovered = log.read(STREAM, replica.offset(), 1, Duration.ZERO)
                .thenCompose(page -> newestSnapshot(log, page.endOffset()).thenAccept(found -> {
                    found.ifPresent(this::install);
                    if (replica.offset() < page.earliestOffset()) {
                        LOG.warn(
                                "records {} to {} have expired and no snapshot covers them",
                                replica.offset(),
                                page.earliestOffset());
                    }
                }))
                .whenCompleteAsync(
                        (_done, failure) -> {
                            if (failure == null) {
                                follow();
                            } else {
                                retry(this::recover);
                            }
                        },
                        executor);
    }

    private void install(ConfigState snapshot) {
        covered = Math.max(covered, snapshot.offset());
        replica.install(snapshot);
    }

    private void follow() {
        long start = System.nanoTime();
        CompletableFuture<LogPage> _read = log.read(STREAM, replica.offset(), BATCH, settings.logWait())
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                handleSafely(page, start);
                            } else {
                                retry(this::follow);
                            }
                        },
                        executor);
    }

    private void handleSafely(LogPage page, long start) {
        try {
            handle(page, start);
        } catch (RuntimeException e) {
            // Whoever acts on a change must not be able to end the reading of the ones after it.
            LOG.error("a change could not be passed on", e);
            retry(this::follow);
        }
    }

    private void handle(LogPage page, long start) {
        reachable = true;
        if (page.earliestOffset() > replica.offset()) {
            later(this::recover, settings.retryPause());
            return;
        }
        if (page.endOffset() < replica.offset()) {
            LOG.warn("the log ends at {}, before {}, and is ignored", page.endOffset(), replica.offset());
            later(this::follow, settings.retryPause());
            return;
        }
        replica.apply(page.firstOffset(), page.records());
        if (replica.offset() >= page.endOffset()) {
            replica.sourceReached();
        }
        boolean flooding = page.records().isEmpty() && System.nanoTime() - start < MIN_EMPTY_READ.toNanos();
        later(this::follow, flooding ? MIN_EMPTY_READ : Duration.ZERO);
    }

    private void retry(Runnable step) {
        reachable = false;
        later(step, settings.retryPause());
    }

    private void later(Runnable step, Duration pause) {
        if (!executor.isShutdown()) {
            Future<?> _next = executor.schedule(step, pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
