package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.mustardlink.config.records.RejectedChangeException;
import org.mustardlink.config.records.Snapshots;

/**
 * Asks peers for configuration that the replica lacks: every one until the replica is ready, then a random one per
 * period, and two while the log cannot be read.
 */
final class PeerPull {
    private static final Logger LOG = LogManager.getLogger(PeerPull.class);

    /** Peers asked at boot at most; a deployment has nine entry hosts, a large one a few dozen. */
    private static final int MAX_BOOT_PEERS = 32;

    private static final int FANOUT_WITHOUT_LOG = 2;

    private final ConfigPeers peers;
    private final ConfigReplica replica;
    private final ReplicaSettings settings;
    private final ScheduledExecutorService executor;
    private final BooleanSupplier logReachable;
    private final Random random;

    PeerPull(
            ConfigPeers peers,
            ConfigReplica replica,
            ReplicaSettings settings,
            ScheduledExecutorService executor,
            BooleanSupplier logReachable,
            Random random) {
        this.peers = peers;
        this.replica = replica;
        this.settings = settings;
        this.executor = executor;
        this.logReachable = logReachable;
        this.random = random;
    }

    void start() {
        round();
    }

    /** Asks one peer now, for example after it reported a newer offset. */
    CompletableFuture<Boolean> pull(ConfigPeers.Peer peer) {
        long from = replica.offset();
        return peers.since(peer, from, "", settings.peerTimeout()).handle((page, failure) -> {
            if (failure == null && page.ready()) {
                take(from, page);
                return true;
            }
            return false;
        });
    }

    private void round() {
        Optional<ImmutableList<ConfigPeers.Peer>> known = peers.peers();
        if (known.isEmpty()) {
            later(settings.retryPause());
            return;
        }
        List<CompletableFuture<Boolean>> asked =
                choose(known.get()).stream().map(this::pull).toList();
        CompletableFuture<Void> _round = CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .whenCompleteAsync(
                        (_done, _failure) -> {
                            if (asked.stream().anyMatch(CompletableFuture::join)) {
                                replica.sourceReached();
                            }
                            replica.peersAsked();
                            later(jittered());
                        },
                        executor);
    }

    private List<ConfigPeers.Peer> choose(ImmutableList<ConfigPeers.Peer> known) {
        List<ConfigPeers.Peer> shuffled = new ArrayList<>(known);
        Collections.shuffle(shuffled, random);
        int steady = logReachable.getAsBoolean() ? 1 : FANOUT_WITHOUT_LOG;
        int wanted = replica.ready() ? steady : MAX_BOOT_PEERS;
        return shuffled.subList(0, Math.min(wanted, shuffled.size()));
    }

    private void take(long from, ConfigPage page) {
        if (!replica.ready()) {
            replica.raiseFloor(page.offset());
        }
        if (page.snapshot().isPresent()) {
            try {
                replica.install(Snapshots.read(page.snapshot().get()));
            } catch (RejectedChangeException e) {
                LOG.warn("a peer's snapshot cannot be read: {}", e.getMessage());
            }
        } else {
            replica.apply(from, page.records());
        }
    }

    private Duration jittered() {
        long nanos = settings.pullPeriod().toNanos();
        return Duration.ofNanos(nanos / 2 + (long) (random.nextDouble() * nanos));
    }

    private void later(Duration pause) {
        if (!executor.isShutdown()) {
            Future<?> _next = executor.schedule(this::round, pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
