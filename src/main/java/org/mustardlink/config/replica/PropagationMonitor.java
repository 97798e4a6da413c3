package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.mustardlink.config.records.Outcome;

/** Polls every known host for the status of an accepted change until each host has processed it, or until a time-out. */
final class PropagationMonitor {
    /** Maximum time within which a change must be in force on every reachable host. */
    private static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    /** Number of failed requests after which a host counts as unreachable. */
    private static final int MAX_FAILED_REQUESTS = 2;

    private final String localHostId;
    private final ConfigReplica replica;
    private final ConfigPeers peers;
    private final Outcome outcome;
    private final long deadlineNanos = System.nanoTime() + PROPAGATION_TIMEOUT.toNanos();
    private final Map<String, Optional<ChangeStatus>> statusByHost = new TreeMap<>();
    private final Map<String, Integer> failuresByHost = new TreeMap<>();

    PropagationMonitor(String localHostId, ConfigReplica replica, ConfigPeers peers, Outcome outcome) {
        this.localHostId = localHostId;
        this.replica = replica;
        this.peers = peers;
        this.outcome = outcome;
    }

    CompletableFuture<ApplyResult.Hosts> awaitPropagation() {
        List<CompletableFuture<Void>> requests = peers.peers().orElseGet(ImmutableList::of).stream()
                .filter(this::needsRequest)
                .map(this::requestStatus)
                .toList();
        return CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new))
                .thenCompose(_done -> {
                    if (requests.isEmpty() || System.nanoTime() > deadlineNanos) {
                        return CompletableFuture.completedFuture(groupHosts());
                    }
                    Executor later = CompletableFuture.delayedExecutor(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                    return CompletableFuture.runAsync(() -> {}, later).thenCompose(_pause -> awaitPropagation());
                });
    }

    private synchronized boolean needsRequest(ConfigPeers.Peer peer) {
        Optional<ChangeStatus> status = statusByHost.getOrDefault(peer.id(), Optional.empty());
        boolean isDecided = status.isPresent() && status.get() != ChangeStatus.UNKNOWN;
        return !isDecided && failuresByHost.getOrDefault(peer.id(), 0) < MAX_FAILED_REQUESTS;
    }

    private CompletableFuture<Void> requestStatus(ConfigPeers.Peer peer) {
        return peers.fetchPage(peer, Long.MAX_VALUE, outcome.changeId(), REQUEST_TIMEOUT)
                .handle((page, failure) -> {
                    recordResponse(peer.id(), Optional.ofNullable(failure == null ? page : null));
                    return null;
                });
    }

    private synchronized void recordResponse(String peer, Optional<ConfigPage> page) {
        statusByHost.put(peer, page.map(ConfigPage::changeStatus));
        if (page.isEmpty()) {
            failuresByHost.merge(peer, 1, Integer::sum);
        }
    }

    private synchronized ApplyResult.Hosts groupHosts() {
        statusByHost.put(localHostId, Optional.of(replica.changeStatus(outcome.changeId())));
        return new ApplyResult.Hosts(
                selectHosts((_id, standing) -> standing.equals(Optional.of(ChangeStatus.IN_FORCE))),
                selectHosts((_id, standing) -> standing.equals(Optional.of(ChangeStatus.UNKNOWN))
                        || standing.equals(Optional.of(ChangeStatus.REJECTED))),
                selectHosts((_id, standing) -> standing.equals(Optional.of(ChangeStatus.UNSUPPORTED))),
                selectHosts((_id, standing) -> standing.isEmpty()));
    }

    private ImmutableList<String> selectHosts(BiPredicate<String, Optional<ChangeStatus>> condition) {
        return statusByHost.entrySet().stream()
                .filter(entry -> condition.test(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }
}
