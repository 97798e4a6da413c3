package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.Snapshots;
import org.mustardlink.directory.LogService;

/**
 * Writes a snapshot of the replica to the log when one is due.
 *
 * <p>Each host waits a random time and then checks whether another host wrote a snapshot in the meantime, so that usually
 * only one host writes. The check compares only the end of the snapshot stream, because reading the snapshots would cost
 * more than writing one. Duplicate snapshots of the same offset are equal and harmless.
 */
final class SnapshotWriter {
    private static final Logger LOG = LogManager.getLogger(SnapshotWriter.class);

    /** Number of checks whether a snapshot is due, per jitter time. */
    private static final int CHECKS_PER_JITTER = 3;

    private final LogService log;
    private final ConfigReader reader;
    private final ConfigReplica replica;
    private final ReplicaSettings settings;
    private final ScheduledExecutorService executor;
    private final Random random;
    private long lastSnapshotOffset;
    private long lastSnapshotNanos = System.nanoTime();

    SnapshotWriter(
            LogService log,
            ConfigReader reader,
            ConfigReplica replica,
            ReplicaSettings settings,
            ScheduledExecutorService executor,
            Random random) {
        this.log = log;
        this.reader = reader;
        this.replica = replica;
        this.settings = settings;
        this.executor = executor;
        this.random = random;
    }

    void start() {
        schedule(this::checkDue, settings.snapshotJitter().dividedBy(CHECKS_PER_JITTER));
    }

    private void checkDue() {
        if (isDue()) {
            Duration jitter = settings.snapshotJitter().multipliedBy(random.nextInt(1000));
            CompletableFuture<Void> _next = ConfigReader.readSnapshotStreamEnd(log)
                    .handleAsync(
                            (end, failure) -> {
                                if (failure == null) {
                                    schedule(() -> writeUnlessAlreadyWritten(end), jitter.dividedBy(1000));
                                } else {
                                    start();
                                }
                                return null;
                            },
                            executor);
        } else {
            start();
        }
    }

    private boolean isDue() {
        long offset = replica.offset();
        boolean isAged =
                System.nanoTime() - lastSnapshotNanos > settings.snapshotAge().toNanos();
        long snapshotOffset = Math.max(lastSnapshotOffset, reader.snapshotOffset());
        return replica.isReady() && offset > 0 && (offset - snapshotOffset >= settings.snapshotRecords() || isAged);
    }

    private void writeUnlessAlreadyWritten(long previousEnd) {
        ConfigState state = replica.state();
        CompletableFuture<Void> _written = ConfigReader.readSnapshotStreamEnd(log)
                .thenCompose(now -> now > previousEnd ? CompletableFuture.completedFuture(null) : write(state))
                .handleAsync(
                        (_done, failure) -> {
                            if (failure == null) {
                                lastSnapshotOffset = state.offset();
                                lastSnapshotNanos = System.nanoTime();
                            }
                            start();
                            return null;
                        },
                        executor);
    }

    private CompletableFuture<Void> write(ConfigState state) {
        return log.append(ConfigReader.SNAPSHOT_STREAM, ImmutableList.of(Snapshots.write(state)))
                .thenAccept(_offset -> LOG.info("wrote a configuration snapshot at offset {}", state.offset()));
    }

    private void schedule(Runnable step, Duration delay) {
        if (!executor.isShutdown()) {
            Future<?> _next = executor.schedule(step, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
