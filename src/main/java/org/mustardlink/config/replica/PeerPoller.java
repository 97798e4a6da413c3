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
 * Polls peers for configuration that the replica lacks. All peers are polled until the replica is ready; after that one
 * random peer is polled in each period, or two while the log cannot be read.
 */
final class PeerPoller {
    private static final Logger LOG = LogManager.getLogger(PeerPoller.class);

    /** Maximum number of peers polled at boot; a usual deployment has nine entry hosts, a large one a few dozen. */
    private static final int MAX_PEERS_AT_BOOT = 32;

    private static final int FANOUT_WITHOUT_LOG = 2;

    private final ConfigPeers peers;
    private final ConfigReplica replica;
    private final ReplicaSettings settings;
    private final ScheduledExecutorService executor;
    private final BooleanSupplier logReachable;
    private final Random random;

    PeerPoller(
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
        pollPeers();
    }

    /** Fetches the configuration of one peer immediately and returns whether the peer was ready and its page was processed. */
    CompletableFuture<Boolean> pullFrom(ConfigPeers.Peer peer) {
        long from = replica.offset();
        return peers.fetchPage(peer, from, "", settings.peerTimeout()).handle((page, failure) -> {
            if (failure != null || !page.ready()) {
                return false;
            }
            try {
                applyPage(from, page);
                return true;
            } catch (RuntimeException e) {
                // A listener that fails on one change must not stop later polls.
                LOG.error("failed to apply the configuration received from a peer", e);
                return false;
            }
        });
    }

    private void pollPeers() {
        Optional<ImmutableList<ConfigPeers.Peer>> knownPeers = peers.peers();
        if (knownPeers.isEmpty()) {
            schedulePoll(settings.retryPause());
            return;
        }
        List<CompletableFuture<Boolean>> pulls =
                choosePeers(knownPeers.get()).stream().map(this::pullFrom).toList();
        CompletableFuture<Void> _round = CompletableFuture.allOf(pulls.toArray(CompletableFuture[]::new))
                .whenCompleteAsync(
                        (_done, _failure) -> {
                            if (pulls.stream().anyMatch(CompletableFuture::join)) {
                                replica.markSourceComplete();
                            }
                            replica.markPeersQueried();
                            schedulePoll(jitteredPullPeriod());
                        },
                        executor);
    }

    private List<ConfigPeers.Peer> choosePeers(ImmutableList<ConfigPeers.Peer> knownPeers) {
        List<ConfigPeers.Peer> shuffled = new ArrayList<>(knownPeers);
        Collections.shuffle(shuffled, random);
        int readyFanout = logReachable.getAsBoolean() ? 1 : FANOUT_WITHOUT_LOG;
        int fanout = replica.isReady() ? readyFanout : MAX_PEERS_AT_BOOT;
        return shuffled.subList(0, Math.min(fanout, shuffled.size()));
    }

    private void applyPage(long from, ConfigPage page) {
        if (!replica.isReady()) {
            replica.raiseMinReadyOffset(page.offset());
        }
        if (page.snapshot().isPresent()) {
            try {
                replica.installSnapshot(Snapshots.read(page.snapshot().get()));
            } catch (RejectedChangeException e) {
                LOG.warn("ignoring a snapshot from a peer that cannot be parsed: {}", e.getMessage());
            }
        } else {
            replica.apply(from, page.records());
        }
    }

    private Duration jitteredPullPeriod() {
        long nanos = settings.pullPeriod().toNanos();
        return Duration.ofNanos(nanos / 2 + (long) (random.nextDouble() * nanos));
    }

    private void schedulePoll(Duration delay) {
        if (!executor.isShutdown()) {
            Future<?> _next = executor.schedule(this::pollPeers, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
