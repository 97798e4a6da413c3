package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.glassfish.grizzly.http.server.HttpServer;
import org.mustardlink.config.settings.HostSettings;
import org.mustardlink.front.Answer;
import org.mustardlink.front.Front;
import org.mustardlink.front.FrontActions;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.HttpServers;
import org.mustardlink.link.PeerLinks;
import org.mustardlink.link.PeerListener;
import org.mustardlink.link.PeerMessage;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.MessageKind;
import org.mustardlink.observe.MetricsText;
import org.mustardlink.observe.WorkLog;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.ownership.OwnershipActions;
import org.mustardlink.ownership.PoolLayout;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.platform.CallerEndpoint;
import org.mustardlink.platform.CallerRequestHandler;
import org.mustardlink.platform.DocumentDecoder;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.platform.StoreClient;
import org.mustardlink.platform.TargetOrderClient;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/**
 * One dispatch host: takes callers' jobs, hands them to the masters of pools, and is the master of some itself.
 *
 * <p>Thread-safe. It keeps nothing beyond the process: configuration, hosts, targets and claims are read from the store,
 * and what runs is learned from the targets.
 */
public final class DispatchHost implements CallerRequestHandler, AutoCloseable {
    /** A host is up this long before it claims pools without having read the earlier claims. */
    private static final long CLAIMS_UNREAD_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Pause before a snapshot is asked for again; a reachable store answers within 100 ms and makes it needless. */
    private static final long SNAPSHOT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Hosts that are asked for a snapshot at a time; one may be cut off from the store as well. */
    private static final int SNAPSHOT_HOSTS = 2;
    /** Interval of timers while no pool has a master or one is handed over. */
    private static final long CHANGING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** After a stop was asked for, the balancer sends new connections for two missed questions of a second each. */
    private static final Duration BALANCER_LAG = Duration.ofMillis(3_200);
    /** Time kept free before the end by force. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(500);
    /** Time for the answers that are left at the end, within {@link #STOP_MARGIN}. */
    private static final Duration LAST_ANSWERS = Duration.ofMillis(200);
    /** Time for the last answers to leave the process, within {@link #STOP_MARGIN}. */
    private static final Duration FLUSH = Duration.ofMillis(50);
    /** Latency histograms kept apart, by queue. */
    private static final int MAX_SERIES = 64;

    private static final int DIGITS = 2;

    /** Connections to one target: one waits for its report, the others carry orders. */
    private static final int TARGET_CONNECTIONS = 12;
    /** Connections in total, within the smallest host's descriptors. */
    private static final int MAX_CONNECTIONS = 1_500;

    private static final int STORE_CONNECTIONS = 12;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final HostSettings settings;
    private final HostInfo self;
    private final EventLog log;
    private final EntryMetrics metrics = EntryMetrics.create(MAX_SERIES, DIGITS);
    private final HostLoop loop;
    private final LoopDelay loopDelay;
    private final WorkLog workLog;
    private final HttpRequester targetRequester;
    private final HttpRequester storeRequester;
    private final StoreClient store;
    private final ScheduledExecutorService timer;
    private final TargetDirectory targets;
    private final PoolOwnership ownership;
    private final PoolRunner pools;
    private final PeerMonitor peers;
    private final KnownPools knownPools;
    private final Front front;
    private final PeerLinks links;
    private final StoreFollowing following;
    private final ClaimWriter claimWriter;
    private final CallerEndpoint endpoint;
    private final HttpServer metricsServer;
    private final AtomicLong requestNumbers = new AtomicLong();
    private final OpenRequests requests;
    private final Cancellations cancellations = new Cancellations();
    private final UnroutedRequests unrouted = new UnroutedRequests();
    private final StoreSnapshot snapshot = new StoreSnapshot();
    private final long startedNanos;
    private ImmutableSortedMap<PoolId, Integer> targetCounts = ImmutableSortedMap.of();
    private boolean snapshotTaken;
    private long timersNanos;
    private long snapshotAskedNanos;
    private volatile Optional<RoutingTable> routes = Optional.empty();
    private volatile boolean anyMaster;
    private volatile boolean stopping;
    private volatile boolean ownsAny;
    private volatile boolean successor = true;
    private volatile int openRequests;

    private DispatchHost(HostSettings settings, long incarnation) {
        this.settings = settings;
        this.startedNanos = System.nanoTime();
        this.snapshotAskedNanos = startedNanos;
        this.self = new HostInfo(
                settings.id(),
                settings.domain(),
                incarnation,
                Addresses.format(settings.peers()),
                settings.cpuMillis());
        this.log = EventLog.create(self.id(), self.domain(), settings.logs().linesPerSecond());
        this.requests = new OpenRequests(self.domain(), metrics, log);
        this.workLog = new WorkLog(metrics, log, startedNanos);
        this.loop = new HostLoop(this::afterBatch, this::nextDue, this::eventFailed);
        this.loopDelay = new LoopDelay(loop, this::loopDelayed);
        this.targetRequester = HttpRequester.start(
                new HttpRequester.Limits(TARGET_CONNECTIONS, MAX_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT, 1));
        this.storeRequester = HttpRequester.start(
                new HttpRequester.Limits(STORE_CONNECTIONS, STORE_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT, 1));
        this.store = StoreClient.create(storeRequester, settings.store());
        this.timer = newTimer();
        this.targets = new TargetDirectory(log);
        this.ownership = new PoolOwnership(self, new Claims(), startedNanos);
        this.pools = new PoolRunner(
                loop,
                TargetOrderClient.create(targetRequester),
                targets,
                settings.lease(),
                log,
                metrics,
                this::resultOf,
                (pool, order) -> knownPools().withRoom(pool, order));
        this.peers = new PeerMonitor(self, ownership, log, metrics, startedNanos);
        this.knownPools = new KnownPools(ownership, pools, peers);
        this.front = new Front(self.domain(), knownPools, new ToMasters());
        this.links = PeerLinks.start(self, new FromPeers());
        peers.use(links);
        this.following = new StoreFollowing(store, timer, log, loop, new FromStore(), () -> successor);
        this.claimWriter = new ClaimWriter(store, following, log);
        this.endpoint = CallerEndpoint.start(settings.callers(), settings.readiness(), this);
        this.metricsServer = HttpServers.startNonBlocking(
                settings.metrics(),
                1,
                (_request, response) -> HttpServers.write(
                        response,
                        200,
                        MetricsText.PROMETHEUS_TYPE,
                        MetricsText.of(metrics).prometheus()));
    }

    // The pools and what is known of them need each other.
    private KnownPools knownPools() {
        return knownPools;
    }

    // Cancelled timers must leave the queue at once; only the class itself offers that.
    private static ScheduledExecutorService newTimer() {
        ScheduledThreadPoolExecutor executor =
                (ScheduledThreadPoolExecutor) Executors.newScheduledThreadPool(1, task -> {
                    Thread thread = new Thread(task, "store-timer");
                    thread.setDaemon(true);
                    return thread;
                });
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }

    /**
     * Starts a host.
     *
     * @param incarnation number of this process life, unique and rising
     */
    public static DispatchHost start(HostSettings settings, long incarnation) {
        DispatchHost host = new DispatchHost(settings, incarnation);
        host.loop.start();
        host.following.start(StoredHost.of(host.self));
        host.log
                .line(LogEvent.HOST_STARTED)
                .with(LogField.INCARNATION, incarnation)
                .with(LogField.CALLER_ADDRESS, Addresses.format(host.endpoint.address()))
                .with(LogField.PEER_ADDRESS, host.self.address())
                .write();
        return host;
    }

    /** Ends the process's part as planned: hands its pools over, waits for open requests, then closes. */
    public void stop() {
        long now = System.nanoTime();
        stopping = true;
        log.line(LogEvent.HOST_LEAVING).with(LogField.OPEN_JOBS, openRequests).write();
        long latest = now + settings.stopGrace().minus(STOP_MARGIN).toNanos();
        loop.post(at -> {
            front.endAt(latest);
            ownership.stop();
            peers.announce(status(at), at);
        });
        long earliest = Math.min(latest, now + BALANCER_LAG.toNanos());
        while (System.nanoTime() < latest && (openRequests > 0 || System.nanoTime() < earliest)) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
        }
        log.line(LogEvent.HOST_STOPPED).with(LogField.OPEN_JOBS, openRequests).write();
        // A request may have come between the last look and the end; it gets an answer too.
        CountDownLatch answered = new CountDownLatch(1);
        loop.post(at -> {
            front.endNow(at);
            answered.countDown();
        });
        if (!Uninterruptibles.awaitUninterruptibly(answered, LAST_ANSWERS)) {
            log.line(LogEvent.EVENT_FAILED)
                    .with(LogField.ERROR, "the last answers were not given within " + LAST_ANSWERS)
                    .write();
        }
        Uninterruptibles.sleepUninterruptibly(FLUSH);
        close();
    }

    /** Ends at once, as a crash does: open requests lose their connections and nothing is handed over. */
    @Override
    public void close() {
        // First of all: callers that lose their connections must not make it stop their jobs, which a crash wouldn't.
        loop.close();
        endpoint.close();
        metricsServer.shutdownNow();
        following.close();
        links.close();
        timer.shutdownNow();
        targetRequester.close();
        storeRequester.close();
    }

    /** Returns whether this host is the master of any pool. */
    public boolean ownsAnyPool() {
        return ownsAny;
    }

    /** Reads changed settings: only logs may change while the process runs. */
    public void reload(HostSettings changed) {
        log.line(LogEvent.SETTINGS_RELOADED)
                .with(LogField.CHANGE, changed.equals(settings) ? "nothing" : "levels of logs")
                .write();
    }

    /** Notes settings that can't be used. */
    public void reloadFailed(String why) {
        log.line(LogEvent.SETTINGS_REJECTED).with(LogField.ERROR, why).write();
    }

    private void eventFailed(Throwable failure) {
        // The virtual machine may leave the trace of a repeated exception out.
        String where = Arrays.stream(failure.getStackTrace())
                .findFirst()
                .map(frame -> " at " + frame)
                .orElse("");
        log.line(LogEvent.EVENT_FAILED).with(LogField.ERROR, failure + where).write();
    }

    private PeerMonitor.Status status(long now) {
        return new PeerMonitor.Status(stopping, pools.loads(now));
    }

    private void afterBatch(long now) {
        workLog.passed();
        pools.tick(now);
        if (now >= timersNanos || now >= peers.nextHeartbeat()) {
            timers(now);
            timersNanos = now + (anyMaster && !pools.handingOver() ? peers.roundNanos() : CHANGING_NANOS);
        }
        timersNanos = Math.min(timersNanos, front.nextDue(now));
        openRequests = front.openRequests();
    }

    /**
     * Asks some live hosts for what they have read, while this one has read no configuration. An answer is lost if the link
     * of the host that gives it isn't open yet.
     */
    private void requestSnapshot(long now) {
        if (routes.isPresent() || now - snapshotAskedNanos < SNAPSHOT_RETRY_NANOS) {
            return;
        }
        snapshotAskedNanos = now;
        ownership.hosts().stream()
                .filter(host -> ownership.alive(host.id(), host.incarnation(), now))
                .limit(SNAPSHOT_HOSTS)
                .forEach(host -> links.send(host.id(), new PeerMessage.SnapshotRequest()));
    }

    private void loopDelayed(long delayNanos, long now) {
        metrics.recordLoopLag(delayNanos);
        if (ownership.delayed(delayNanos, now)) {
            log.line(LogEvent.LOOP_LATE)
                    .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(delayNanos))
                    .write();
        }
    }

    private void timers(long now) {
        loopDelay.measure(now);
        requestSnapshot(now);
        if (targets.expire(following.targetsReachable(), now)) {
            targetsChanged(now);
        }
        pools.endHandovers(announcement -> peers.allHaveSeen(announcement, now), now);
        pools.endEarlierMasters(peers::allHaveSeenOrEnded, now);
        // A host hands its jobs over before it confirms the heartbeat that brought a claim.
        front.tick(now);
        peers.tick(() -> status(now), front::mastersInUse, this::hostLost, now);
        boolean claimsRead = following.claimsRead() || snapshotTaken || now - startedNanos > CLAIMS_UNREAD_NANOS;
        if (claimsRead && targets.known()) {
            ownership.tick(now);
        }
        cancellations.expire(now);
        unrouted.tick(routes.isPresent(), now);
        workLog.tick(now);
        successor = peers.isSuccessor();
        ownsAny = !ownership.ownClaims().isEmpty();
        anyMaster = ownership.pools().stream()
                .anyMatch(pool -> ownership.master(pool, now).isPresent());
    }

    private long nextDue(long now) {
        return Math.min(pools.nextDue(now, timersNanos), peers.nextHeartbeat());
    }

    private void hostLost(HostInfo host, long now) {
        pools.frontLost(host.id(), host.incarnation(), now);
    }

    private void targetsChanged(long now) {
        targetCounts = targets.counts(routes.map(RoutingTable::services).orElseGet(ImmutableSet::of));
        layOutPools();
        pools.targetsChanged(now);
    }

    private void layOutPools() {
        ownership.poolsListed(PoolLayout.pools(targetCounts, ownership.claims()));
    }

    // ---- callers ----

    @Override
    public Optional<RoutingTable> routingTable() {
        return routes;
    }

    @Override
    public void runWhenConfigured(Runnable action) {
        loop.post(now -> unrouted.add(action, now));
    }

    @Override
    public boolean isReady() {
        return !stopping && routes.isPresent() && anyMaster;
    }

    @Override
    public boolean isStopping() {
        return stopping;
    }

    @Override
    public long submit(
            Route route,
            String job,
            DocumentDecoder.Job document,
            long configVersion,
            Duration timeout,
            Consumer<Answer> onAnswer) {
        long number = requestNumbers.incrementAndGet();
        JobOrder order = new JobOrder(
                new RequestId(self.id(), self.incarnation(), number),
                job,
                route.name(),
                document.payload(),
                document.steps(),
                route.maxAttempts(),
                route.objective(),
                route.stretch(),
                timeout,
                false,
                true,
                false);
        loop.post(now -> {
            requests.add(order, configVersion, onAnswer, now);
            front.submit(order, route.service(), now);
        });
        return number;
    }

    @Override
    public void onCallerDisconnected(long request) {
        loop.post(now -> {
            front.callerGone(request);
            requests.callerGone(request, now);
        });
    }

    @Override
    public void cancel(String job, Consumer<Boolean> onFound) {
        loop.post(now -> {
            if (cancelHere(job, now)) {
                onFound.accept(true);
                return;
            }
            ImmutableSet<String> others = ownership.hosts().stream()
                    .filter(host -> ownership.alive(host.id(), host.incarnation(), now))
                    .map(HostInfo::id)
                    .collect(ImmutableSet.toImmutableSet());
            others.forEach(host -> links.send(host, new PeerMessage.Cancel(job)));
            cancellations.add(job, others, onFound, now);
        });
    }

    @Override
    public void onRejected(OptionalLong configVersion, String path, int status, String reason) {
        metrics.countAnswer("rejected_" + status);
        log.line(LogEvent.REQUEST_ANSWERED)
                .with(LogField.JOB, path)
                .with(LogField.ANSWER, status)
                .with(LogField.REASON, reason)
                .with(LogField.CONFIG_VERSION, configVersion.orElse(-1))
                .write();
    }

    // ---- jobs between fronts and masters ----

    private void resultOf(PoolId pool, int round, RequestId request, JobResult result) {
        if (request.host().equals(self.id())) {
            if (request.incarnation() == self.incarnation()) {
                Claim claim = new Claim(pool, self.id(), self.incarnation(), round);
                loop.post(now -> front.answered(request.number(), claim, result, now));
            }
        } else {
            send(request.host(), new PeerMessage.Result(pool, round, request, result));
        }
    }

    private void send(String host, PeerMessage message) {
        metrics.count(MessageKind.PEER);
        links.send(host, message);
    }

    private final class ToMasters implements FrontActions {
        @Override
        public void submit(Claim master, JobOrder order) {
            long now = System.nanoTime();
            requests.sent(master, order, peers.ageMs(master.host(), now));
            if (master.isOf(self)) {
                loop.post(at -> pools.submit(master.pool(), master.round(), order, at));
            } else {
                peers.announceFrequentHeartbeats(master.host(), () -> status(now), now);
                send(master.host(), new PeerMessage.Submit(master.pool(), master.round(), order));
            }
        }

        @Override
        public void withdraw(Claim master, RequestId request, String job) {
            if (master.isOf(self)) {
                loop.post(at -> pools.withdraw(master.pool(), request, job, at));
            } else {
                send(master.host(), new PeerMessage.Withdraw(master.pool(), request, job));
            }
        }

        @Override
        public void answer(long request, Answer answer) {
            requests.answer(request, answer, System.nanoTime());
        }

        @Override
        public void superseded(Claim claim, long request, JobResult result) {
            requests.superseded(claim, request, result);
        }
    }

    // ---- other hosts ----

    private final class FromPeers implements PeerListener {
        @Override
        public void onMessage(HostInfo sender, PeerMessage message) {
            loop.post(now -> take(sender, message, now));
        }

        @Override
        public void onInboundConnectionClosed(HostInfo _sender) {
            // A process that has ended refuses our next connection; a connection that was reset is replaced.
            loop.post(links::openMissingConnections);
        }

        @Override
        public void onMalformedFrame(String why) {
            log.line(LogEvent.FRAME_REJECTED).with(LogField.REASON, why).write();
        }

        @Override
        public void onConnected(String host) {
            loop.post(now -> {
                peers.connected(host, now);
                timersNanos = now;
                front.linkReplaced(host, now);
            });
        }

        @Override
        public void onConnectionRefused(String host) {
            loop.post(now -> {
                ownership.refused(host);
                timersNanos = now;
            });
        }
    }

    private void take(HostInfo sender, PeerMessage message, long now) {
        peers.introduced(sender, true, this::hostLost, now);
        if (!(message instanceof PeerMessage.Heartbeat)) {
            ownership.heardOtherwise(sender.id(), sender.incarnation(), now);
        }
        if (message instanceof PeerMessage.Hello) {
            front.linkReplaced(sender.id(), now);
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            if (peers.heard(sender, heartbeat, now)) {
                layOutPools();
                timersNanos = now;
            }
            if (ownership.alive(sender.id(), sender.incarnation(), now)) {
                pools.frontHeard(sender.id(), sender.incarnation());
            }
        } else if (message instanceof PeerMessage.Submit submit) {
            pools.submit(submit.pool(), submit.round(), submit.order(), now);
        } else if (message instanceof PeerMessage.Withdraw withdraw) {
            pools.withdraw(withdraw.pool(), withdraw.request(), withdraw.job(), now);
        } else if (message instanceof PeerMessage.Result result) {
            if (result.request().incarnation() == self.incarnation()) {
                Claim claim = new Claim(result.pool(), sender.id(), sender.incarnation(), result.round());
                front.answered(result.request().number(), claim, result.result(), now);
            }
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            snapshot.toMessage(ownership.claims()).ifPresent(answer -> links.send(sender.id(), answer));
        } else if (message instanceof PeerMessage.Snapshot other) {
            takeSnapshot(other, now);
        } else if (message instanceof PeerMessage.Cancel cancel) {
            boolean found = cancelHere(cancel.job(), now);
            links.send(sender.id(), new PeerMessage.Canceled(cancel.job(), found));
        } else if (message instanceof PeerMessage.Canceled canceled) {
            cancellations.answered(sender.id(), canceled.job(), canceled.found());
        }
    }

    /** Starts with what another host has read, until the store answers; newer records replace it. */
    private void takeSnapshot(PeerMessage.Snapshot other, long now) {
        if (routes.isPresent() && targets.known()) {
            return;
        }
        other.claims().forEach(claim -> ownership.claimed(claim, now));
        layOutPools();
        if (!targets.known()) {
            targets.take(StoreSnapshot.targetRecords(other), false, now);
        }
        following.configuredByPeer(other.configuration());
        snapshotTaken = true;
    }

    private boolean cancelHere(String job, long now) {
        boolean waited = front.cancel(job);
        boolean ran = pools.cancel(job, now);
        return waited || ran;
    }

    // ---- store ----

    private final class FromStore implements StoreFollowing.Listener {
        @Override
        public void configured(RoutingTable table, String record, long now) {
            snapshot.configured(record);
            routes = Optional.of(table);
            timersNanos = now;
            log.line(LogEvent.CONFIG_APPLIED)
                    .with(LogField.CONFIG_VERSION, table.version())
                    .with(LogField.COUNT, table.size())
                    .write();
            targetsChanged(now);
        }

        @Override
        public void targets(ImmutableList<KeyedRecord> records, boolean whole, long now) {
            metrics.count(MessageKind.TARGET_ENTRY, records.size());
            snapshot.targets(records, whole);
            if (targets.take(records, whole, now)) {
                targetsChanged(now);
                timersNanos = now;
            }
        }

        @Override
        public void claimed(Claim claim, long now) {
            if (ownership.claimed(claim, now)) {
                layOutPools();
                peers.reviewWatchers(now);
                timersNanos = now;
            }
        }

        @Override
        public void listed(HostInfo host, long now) {
            peers.introduced(host, false, DispatchHost.this::hostLost, now);
        }
    }

    private final class Claims implements OwnershipActions {
        @Override
        public void writeClaim(Claim claim) {
            claimWriter.write(
                    claim, (written, outcome) -> loop.post(now -> ownership.claimAnswered(written, outcome, now)));
        }

        @Override
        public void probe(PoolId pool) {
            pools.probe(pool, () -> loop.post(now -> ownership.reached(pool, now)));
        }

        @Override
        public void acquired(Claim claim) {
            long now = System.nanoTime();
            pools.acquire(claim, ownership, now);
            pools.announced(claim.pool(), peers.announce(status(now), now), now);
            timersNanos = now;
        }

        @Override
        public void released(PoolId pool, String why) {
            pools.release(pool, why);
        }
    }
}
