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

/** Waits for the load balancer and hands sessions over to another entry host during a planned stop. */
final class PlannedStop {
    /** Time for the final verdicts to reach their callers once every job has a verdict. */
    static final Duration FINAL_ANSWERS_TIMEOUT = Duration.ofSeconds(2);

    /** Load balancers usually probe the health check about once a second. */
    private static final Duration BALANCER_DETECTION_DELAY = Duration.ofSeconds(1);

    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final EntrySettings settings;
    private final PeerClient peerClient;
    private final EntryOwnerDirectory ownerDirectory;

    PlannedStop(EntrySettings settings, PeerClient peerClient, EntryOwnerDirectory ownerDirectory) {
        this.settings = settings;
        this.peerClient = peerClient;
        this.ownerDirectory = ownerDirectory;
    }

    /**
     * Waits until the load balancer has had time to detect the failing health check, at most a quarter of the grace
     * period.
     */
    static void awaitBalancerDetection(Duration grace) {
        Duration quarter = grace.dividedBy(4);
        Uninterruptibles.sleepUninterruptibly(
                quarter.compareTo(BALANCER_DETECTION_DELAY) < 0 ? quarter : BALANCER_DETECTION_DELAY);
    }

    static void await(BooleanSupplier done, long endNanos) {
        while (!done.getAsBoolean() && System.nanoTime() < endNanos) {
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
        }
    }

    /**
     * Hands over to the first entry host of the same failure domain that accepts, and announces the successor to all
     * other entry hosts.
     *
     * @param handoverReady completes with the data to hand over once the core has closed the sessions
     * @param inherited incarnations whose sessions were handed over to this host
     * @return id of the successor, or empty if no host accepted the handover
     */
    Optional<String> handOver(
            CompletableFuture<Handover> handoverReady, ImmutableSet<EntryHost.Incarnation> inherited) {
        Handover handover = handoverReady
                .completeOnTimeout(null, PEER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        if (handover == null) {
            return Optional.empty();
        }
        List<HostListing.Host> candidates = ownerDirectory.otherHosts().stream()
                .filter(host -> host.domain().equals(settings.domain()) && host.state() == HostListing.State.LIVE)
                .toList();
        for (HostListing.Host candidate : candidates) {
            if (peerClient
                    .handOver(Addresses.parse(candidate.address()), handover, PEER_TIMEOUT)
                    .join()) {
                announceLeave(handover, inherited, candidate.id());
                return Optional.of(candidate.id());
            }
        }
        return Optional.empty();
    }

    private void announceLeave(Handover handover, ImmutableSet<EntryHost.Incarnation> inherited, String successor) {
        ImmutableSet<EntryHost.Incarnation> endedIncarnations = ImmutableSet.<EntryHost.Incarnation>builder()
                .add(new EntryHost.Incarnation(handover.host(), handover.incarnation()))
                .addAll(inherited)
                .build();
        CompletableFuture<?>[] acknowledgements = ownerDirectory.otherHosts().stream()
                .map(host -> announceLeave(Addresses.parse(host.address()), endedIncarnations, successor))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(acknowledgements).join();
    }

    private CompletableFuture<Boolean> announceLeave(
            InetSocketAddress peer, ImmutableSet<EntryHost.Incarnation> endedIncarnations, String successor) {
        CompletableFuture<Boolean> acknowledged = CompletableFuture.completedFuture(true);
        for (EntryHost.Incarnation incarnation : endedIncarnations) {
            acknowledged = acknowledged.thenCompose(_before ->
                    peerClient.announceLeave(peer, incarnation.host(), incarnation.number(), successor, PEER_TIMEOUT));
        }
        return acknowledged;
    }
}
