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

/** Asks every known host where an accepted change stands until all have it or the time is over. */
final class SpreadWatch {
    /** The bound on a change being in force on every reachable host. */
    private static final Duration LIMIT = Duration.ofSeconds(3);

    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** Questions to a host without an answer after which it counts as unreachable. */
    private static final int ATTEMPTS = 2;

    private final String host;
    private final ConfigReplica replica;
    private final ConfigPeers peers;
    private final Outcome outcome;
    private final long endNanos = System.nanoTime() + LIMIT.toNanos();
    private final Map<String, Optional<Standing>> answers = new TreeMap<>();
    private final Map<String, Integer> failures = new TreeMap<>();

    SpreadWatch(String host, ConfigReplica replica, ConfigPeers peers, Outcome outcome) {
        this.host = host;
        this.replica = replica;
        this.peers = peers;
        this.outcome = outcome;
    }

    CompletableFuture<ApplyResult.Hosts> watch() {
        List<CompletableFuture<Void>> asked = peers.peers().orElseGet(ImmutableList::of).stream()
                .filter(this::isOpen)
                .map(this::ask)
                .toList();
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new)).thenCompose(_done -> {
            if (asked.isEmpty() || System.nanoTime() > endNanos) {
                return CompletableFuture.completedFuture(hosts());
            }
            Executor later = CompletableFuture.delayedExecutor(PAUSE.toMillis(), TimeUnit.MILLISECONDS);
            return CompletableFuture.runAsync(() -> {}, later).thenCompose(_pause -> watch());
        });
    }

    private synchronized boolean isOpen(ConfigPeers.Peer peer) {
        Optional<Standing> answer = answers.getOrDefault(peer.id(), Optional.empty());
        boolean settled = answer.isPresent() && answer.get() != Standing.UNKNOWN;
        return !settled && failures.getOrDefault(peer.id(), 0) < ATTEMPTS;
    }

    private CompletableFuture<Void> ask(ConfigPeers.Peer peer) {
        return peers.since(peer, Long.MAX_VALUE, outcome.change(), TIMEOUT).handle((page, failure) -> {
            note(peer.id(), Optional.ofNullable(failure == null ? page : null));
            return null;
        });
    }

    private synchronized void note(String peer, Optional<ConfigPage> page) {
        answers.put(peer, page.map(ConfigPage::standing));
        if (page.isEmpty()) {
            failures.merge(peer, 1, Integer::sum);
        }
    }

    private synchronized ApplyResult.Hosts hosts() {
        answers.put(host, Optional.of(replica.standing(outcome.change())));
        return new ApplyResult.Hosts(
                select((_id, standing) -> standing.equals(Optional.of(Standing.IN_FORCE))),
                select((_id, standing) -> standing.equals(Optional.of(Standing.UNKNOWN))
                        || standing.equals(Optional.of(Standing.REJECTED))),
                select((_id, standing) -> standing.equals(Optional.of(Standing.UNSUPPORTED))),
                select((_id, standing) -> standing.isEmpty()));
    }

    private ImmutableList<String> select(BiPredicate<String, Optional<Standing>> condition) {
        return answers.entrySet().stream()
                .filter(entry -> condition.test(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }
}
