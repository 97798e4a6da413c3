package org.mustardlink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.api.ConfigRoutes;
import org.mustardlink.api.OperatorApi;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.config.replica.ConfigPeers;
import org.mustardlink.config.replica.ConfigPublisher;
import org.mustardlink.config.replica.ConfigReplica;
import org.mustardlink.config.replica.ConfigService;
import org.mustardlink.config.replica.ReplicaSettings;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.Event;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.LogService;
import org.mustardlink.drain.TargetReport;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.Attachment;
import org.mustardlink.peer.ConfigPeerClient;
import org.mustardlink.peer.ConfigResponder;

/**
 * The configuration and the drains of an entry host.
 *
 * <p>Holds the host's replica of the configuration, keeps it up to date from the log and from peers, and answers
 * queries by peers and operators.
 */
final class HostConfig implements ConfigResponder, ConfigPeers, Attachment, AutoCloseable {
    /** Interval between evaluations of the drains; drains must be noticed well within 2 s. */
    private static final Duration DRAIN_EVALUATION_INTERVAL = Duration.ofMillis(500);

    /**
     * Time from the start of a drain until idle connections to the target are closed. By then, all starts that were
     * decided before the drain have been sent.
     */
    private static final Duration IDLE_CLOSE_DELAY = Duration.ofMillis(1500);

    /** Time limit for asking peers for newer configuration after a pause. */
    private static final Duration RECHECK_TIMEOUT = Duration.ofMillis(400);

    private final EntrySettings settings;
    private final DrainController drainController;
    private final TeamQuotas quotas;
    private final ConfigReplica replica;
    private final ConfigPeerClient client = ConfigPeerClient.start();
    private final ScheduledExecutorService timer;
    private volatile Optional<ImmutableList<Peer>> knownPeers = Optional.empty();
    private volatile InetSocketAddress peerAddress;
    private volatile Optional<ConfigService> configService = Optional.empty();

    /**
     * Creates an empty replica of the configuration.
     *
     * @param settings settings of the host
     * @param clock the wall clock
     * @param eventSink receives the events for the core that follow from the configuration
     * @param idleCloser called with each target shortly after its drain began, when no start to the target is in
     *     transit
     */
    HostConfig(EntrySettings settings, Clock clock, Consumer<Event> eventSink, Consumer<TargetSpec> idleCloser) {
        this.settings = settings;
        this.peerAddress = settings.peerAddress();
        this.drainController = new DrainController(clock, eventSink, target -> scheduleIdleClose(target, idleCloser));
        this.quotas = new TeamQuotas(eventSink);
        this.replica = new ConfigReplica(Schemas.SUPPORTED, view -> {
            drainController.applyConfig(view);
            quotas.applyConfig(view);
        });
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "drains");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts following the log and the peers, and registers the operators' pages. */
    void start(
            LogService log,
            ReplicaSettings replication,
            OperatorApi operators,
            Clock clock,
            InetSocketAddress ownAddress) {
        peerAddress = ownAddress;
        configService = Optional.of(ConfigService.start(replica, log, this, replication, new Random()));
        Future<?> _deciding = timer.scheduleWithFixedDelay(
                drainController::evaluateDrains,
                DRAIN_EVALUATION_INTERVAL.toMillis(),
                DRAIN_EVALUATION_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        ConfigPublisher publisher = new ConfigPublisher(settings.id(), log, replica, this, Schemas.SUPPORTED, clock);
        new ConfigRoutes(settings.id(), replica, publisher, drainController::drainCauses, this::collectReports)
                .registerRoutes(operators);
    }

    boolean ready() {
        return replica.isReady();
    }

    long offset() {
        return replica.offset();
    }

    DrainController drainController() {
        return drainController;
    }

    /** Applies the platform's host list; empty if the list could not be read. */
    void applyHostListing(Optional<HostListing> listing) {
        listing.ifPresent(drainController::applyHostListing);
        listing.ifPresent(quotas::applyHostListing);
        Map<InetSocketAddress, Peer> listedPeers = new LinkedHashMap<>();
        settings.peerSeeds().forEach(seed -> listedPeers.put(seed, new Peer(Addresses.format(seed), "", seed)));
        listing.ifPresent(list -> list.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .map(host -> new Peer(host.id(), host.domain(), Addresses.parse(host.address())))
                .forEach(peer -> listedPeers.put(peer.address(), peer)));
        listedPeers
                .values()
                .removeIf(peer ->
                        peer.id().equals(settings.id()) || peer.address().equals(peerAddress));
        if (listing.isPresent() || knownPeers.isEmpty()) {
            knownPeers = Optional.of(ImmutableList.copyOf(listedPeers.values()));
        }
    }

    /** Updates the configuration and the drains after a pause of the process. */
    CompletableFuture<?> recheck() {
        drainController.evaluateDrains();
        CompletableFuture<?>[] pulls = knownPeers.orElseGet(ImmutableList::of).stream()
                .flatMap(peer -> configService.stream().map(running -> running.pullFrom(peer)))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.anyOf(pulls)
                .orTimeout(RECHECK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_pulled, _failure) -> drainController.evaluateDrains());
    }

    @Override
    public Optional<ImmutableList<Peer>> peers() {
        return knownPeers;
    }

    @Override
    public CompletableFuture<ConfigPage> fetchPage(Peer peer, long from, String change, Duration timeout) {
        return client.fetchPage(peer.address(), from, change, timeout);
    }

    @Override
    public ConfigPage pageSince(long from, String change) {
        return replica.pageSince(from, change);
    }

    @Override
    public TargetReport drainReport(String target) {
        return drainController.report(target);
    }

    /** Returns the configuration offset of this host, which is sent with each membership exchange. */
    @Override
    public Optional<ByteBuffer> outgoingValue() {
        return replica.isReady()
                ? Optional.of(ByteBuffer.allocate(Long.BYTES)
                        .putLong(replica.offset())
                        .flip())
                : Optional.empty();
    }

    /** Pulls from a peer at once if the configuration of the peer is newer than that of this host. */
    @Override
    public void valueReceived(String host, long _incarnation, ByteBuffer value) {
        if (value.remaining() == Long.BYTES && value.getLong(value.position()) > replica.offset()) {
            knownPeers.orElseGet(ImmutableList::of).stream()
                    .filter(peer -> peer.id().equals(host))
                    .findFirst()
                    .ifPresent(peer -> configService.ifPresent(running -> {
                        CompletableFuture<Boolean> _pulled = running.pullFrom(peer);
                    }));
        }
    }

    @Override
    public void close() {
        configService.ifPresent(ConfigService::close);
        timer.shutdownNow();
        client.close();
    }

    private void scheduleIdleClose(TargetSpec target, Consumer<TargetSpec> idleCloser) {
        Future<?> _closing =
                timer.schedule(() -> idleCloser.accept(target), IDLE_CLOSE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ImmutableMap<String, CompletableFuture<TargetReport>> collectReports(String target) {
        ImmutableMap.Builder<String, CompletableFuture<TargetReport>> reports = ImmutableMap.builder();
        reports.put(settings.id(), CompletableFuture.completedFuture(drainController.report(target)));
        knownPeers
                .orElseGet(ImmutableList::of)
                .forEach(peer -> reports.put(
                        peer.id(),
                        client.fetchDrainReport(
                                peer.address(),
                                target,
                                ReplicaSettings.defaults().peerTimeout())));
        return reports.buildKeepingLast();
    }
}
