package org.mustardlink.entry;

import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.directory.HostListing;
import org.mustardlink.http.Addresses;
import org.mustardlink.peer.Handover;
import org.mustardlink.peer.PeerClient;

/** The steps of a planned stop that concern other entry hosts. */
final class PlannedStop {
    /** Time for the last verdicts to reach their callers after every job has one. */
    static final Duration LAST_ANSWERS = Duration.ofSeconds(2);

    /** Load balancers usually ask for the health about once a second. */
    private static final Duration HEALTH_NOTICE = Duration.ofSeconds(1);

    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL = Duration.ofMillis(5);

    private final EntrySettings settings;
    private final PeerClient peers;
    private final ListedOwners owners;

    PlannedStop(EntrySettings settings, PeerClient peers, ListedOwners owners) {
        this.settings = settings;
        this.peers = peers;
        this.owners = owners;
    }

    /** Waits until the load balancer had time to see the failing health check, for a quarter of the grace at most. */
    static void awaitHealthNotice(Duration grace) {
        Duration quarter = grace.dividedBy(4);
        Uninterruptibles.sleepUninterruptibly(quarter.compareTo(HEALTH_NOTICE) < 0 ? quarter : HEALTH_NOTICE);
    }

    static void await(BooleanSupplier done, long endNanos) {
        while (!done.getAsBoolean() && System.nanoTime() < endNanos) {
            Uninterruptibles.sleepUninterruptibly(POLL);
        }
    }

    /**
     * Hands over to the first entry host of the same failure domain that accepts, and tells every other one.
     *
     * @param handover what to hand over, once the core has closed the sessions
     * @param inherited earlier incarnations that this one answered for
     * @return id of the successor, if there is one
     */
    Optional<String> handOver(CompletableFuture<Handover> handover, ImmutableSet<EntryHost.Incarnation> inherited) {
        Handover closing = handover.completeOnTimeout(null, PEER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        if (closing == null) {
            return Optional.empty();
        }
        List<HostListing.Host> candidates = owners.others().stream()
                .filter(host -> host.domain().equals(settings.domain()) && host.state() == HostListing.State.LIVE)
                .toList();
        for (HostListing.Host candidate : candidates) {
            if (peers.handOver(Addresses.parse(candidate.address()), closing, PEER_TIMEOUT)
                    .join()) {
                announce(closing, inherited, candidate.id());
                return Optional.of(candidate.id());
            }
        }
        return Optional.empty();
    }

    private void announce(Handover closing, ImmutableSet<EntryHost.Incarnation> inherited, String successor) {
        ImmutableSet<EntryHost.Incarnation> ended = ImmutableSet.<EntryHost.Incarnation>builder()
                .add(new EntryHost.Incarnation(closing.host(), closing.incarnation()))
                .addAll(inherited)
                .build();
        CompletableFuture<?>[] told = owners.others().stream()
                .map(host -> announce(Addresses.parse(host.address()), ended, successor))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(told).join();
    }

    private CompletableFuture<Boolean> announce(
            InetSocketAddress peer, ImmutableSet<EntryHost.Incarnation> ended, String successor) {
        CompletableFuture<Boolean> told = CompletableFuture.completedFuture(true);
        for (EntryHost.Incarnation incarnation : ended) {
            told = told.thenCompose(_before ->
                    peers.announceLeave(peer, incarnation.host(), incarnation.number(), successor, PEER_TIMEOUT));
        }
        return told;
    }
}
