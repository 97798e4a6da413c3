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

/** An entry host's configuration and drains: the copy, what keeps it current, and who asks about it. */
final class HostConfig implements ConfigResponder, ConfigPeers, Attachment, AutoCloseable {
    /** Time between two decisions about drains; a mark is noticed well within the bound of 2 s. */
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(500);

    /** Time from the start of a drain until idle connections are closed; starts decided before it have been sent then. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(1500);

    /** Longest time spent on asking peers after a pause. */
    private static final Duration RECHECK = Duration.ofMillis(400);

    private final EntrySettings settings;
    private final DrainWatch drains;
    private final TeamQuotas quotas;
    private final ConfigReplica replica;
    private final ConfigPeerClient client = ConfigPeerClient.start();
    private final ScheduledExecutorService timer;
    private volatile Optional<ImmutableList<Peer>> known = Optional.empty();
    private volatile InetSocketAddress own;
    private volatile Optional<ConfigService> service = Optional.empty();

    /**
     * Creates an empty copy.
     *
     * @param settings settings of the host
     * @param clock the wall clock
     * @param core receives what the configuration means for the core
     * @param drained told of each target shortly after its drain began, when no start is on its way any more
     */
    HostConfig(EntrySettings settings, Clock clock, Consumer<Event> core, Consumer<TargetSpec> drained) {
        this.settings = settings;
        this.own = settings.peer();
        this.drains = new DrainWatch(clock, core, target -> closeLater(target, drained));
        this.quotas = new TeamQuotas(core);
        this.replica = new ConfigReplica(Schemas.SUPPORTED, view -> {
            drains.configured(view);
            quotas.configured(view);
        });
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "drains");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts to follow the log and the peers, and answers operators. */
    void start(
            LogService log,
            ReplicaSettings replication,
            OperatorApi operators,
            Clock clock,
            InetSocketAddress ownAddress) {
        own = ownAddress;
        service = Optional.of(ConfigService.start(replica, log, this, replication, new Random()));
        Future<?> _deciding = timer.scheduleWithFixedDelay(
                drains::decide, DRAIN_PERIOD.toMillis(), DRAIN_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        ConfigPublisher publisher = new ConfigPublisher(settings.id(), log, replica, this, Schemas.SUPPORTED, clock);
        new ConfigRoutes(settings.id(), replica, publisher, drains::causes, this::reportsOf).registerRoutes(operators);
    }

    boolean ready() {
        return replica.ready();
    }

    long offset() {
        return replica.offset();
    }

    DrainWatch drains() {
        return drains;
    }

    /** Notes the result of reading the platform's list of hosts; empty if it could not be read. */
    void listed(Optional<HostListing> listing) {
        listing.ifPresent(drains::listed);
        listing.ifPresent(quotas::listed);
        Map<InetSocketAddress, Peer> found = new LinkedHashMap<>();
        settings.peers().forEach(seed -> found.put(seed, new Peer(Addresses.format(seed), "", seed)));
        listing.ifPresent(list -> list.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .map(host -> new Peer(host.id(), host.domain(), Addresses.parse(host.address())))
                .forEach(peer -> found.put(peer.address(), peer)));
        found.values()
                .removeIf(peer ->
                        peer.id().equals(settings.id()) || peer.address().equals(own));
        if (listing.isPresent() || known.isEmpty()) {
            known = Optional.of(ImmutableList.copyOf(found.values()));
        }
    }

    /** Brings configuration and drains up to date after a pause of the process. */
    CompletableFuture<?> recheck() {
        drains.decide();
        CompletableFuture<?>[] pulls = known.orElseGet(ImmutableList::of).stream()
                .flatMap(peer -> service.stream().map(running -> running.pull(peer)))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.anyOf(pulls)
                .orTimeout(RECHECK.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_pulled, _failure) -> drains.decide());
    }

    @Override
    public Optional<ImmutableList<Peer>> peers() {
        return known;
    }

    @Override
    public CompletableFuture<ConfigPage> since(Peer peer, long from, String change, Duration timeout) {
        return client.fetchPage(peer.address(), from, change, timeout);
    }

    @Override
    public ConfigPage pageSince(long from, String change) {
        return replica.since(from, change);
    }

    @Override
    public TargetReport drainReport(String target) {
        return drains.report(target);
    }

    /** Returns the offset of this host, which goes along with the exchanges of the membership. */
    @Override
    public Optional<ByteBuffer> outgoing() {
        return replica.ready()
                ? Optional.of(ByteBuffer.allocate(Long.BYTES)
                        .putLong(replica.offset())
                        .flip())
                : Optional.empty();
    }

    /** Asks a peer at once that is ahead of this host. */
    @Override
    public void received(String host, long _incarnation, ByteBuffer value) {
        if (value.remaining() == Long.BYTES && value.getLong(value.position()) > replica.offset()) {
            known.orElseGet(ImmutableList::of).stream()
                    .filter(peer -> peer.id().equals(host))
                    .findFirst()
                    .ifPresent(peer -> service.ifPresent(running -> {
                        CompletableFuture<Boolean> _pulled = running.pull(peer);
                    }));
        }
    }

    @Override
    public void close() {
        service.ifPresent(ConfigService::close);
        timer.shutdownNow();
        client.close();
    }

    private void closeLater(TargetSpec target, Consumer<TargetSpec> drained) {
        Future<?> _closing =
                timer.schedule(() -> drained.accept(target), CLOSE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ImmutableMap<String, CompletableFuture<TargetReport>> reportsOf(String target) {
        ImmutableMap.Builder<String, CompletableFuture<TargetReport>> reports = ImmutableMap.builder();
        reports.put(settings.id(), CompletableFuture.completedFuture(drains.report(target)));
        known.orElseGet(ImmutableList::of)
                .forEach(peer -> reports.put(
                        peer.id(),
                        client.fetchDrainReport(
                                peer.address(),
                                target,
                                ReplicaSettings.defaults().peerTimeout())));
        return reports.buildKeepingLast();
    }
}
