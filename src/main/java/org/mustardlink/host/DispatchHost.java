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
import org.mustardlink.front.CallerResponse;
import org.mustardlink.front.DispatchActions;
import org.mustardlink.front.RequestDispatcher;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.HttpServers;
import org.mustardlink.link.PeerLinks;
import org.mustardlink.link.PeerListener;
import org.mustardlink.link.PeerMessage;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.HostWorkLogger;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.MessageKind;
import org.mustardlink.observe.MetricsExporter;
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
import org.mustardlink.pool.LeaseLimits;
import org.mustardlink.pool.PendingStartStatement;
import org.mustardlink.pool.PendingStarts;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/**
 * A dispatch host: accepts jobs from callers, sends them to the masters of pools, and is itself the master of
 * some pools.
 *
 * <p>Thread-safe. A host keeps no state outside its process: configuration, hosts, targets and claims are read from the
 * store, and the running tasks are learned from the targets.
 */
public final class DispatchHost implements CallerRequestHandler, AutoCloseable {
    /** Time after the start of a host until it claims pools without having read the existing claims. */
    private static final long CLAIMS_READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Interval between requests for a snapshot; a reachable store answers within 100 ms, and no snapshot is needed. */
    private static final long SNAPSHOT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /**
     * Number of hosts asked for a snapshot at a time; more than one, as a host may be cut off from the store as well.
     */
    private static final int SNAPSHOT_HOST_COUNT = 2;
    /** Interval of the timers while no pool has a master, or a pool is being handed over. */
    private static final long TRANSITION_TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Time for which the load balancer may send new connections after a stop was requested: it notices the stop by two
     * failed readiness checks of one second each.
     */
    private static final Duration BALANCER_DETECTION_DELAY = Duration.ofMillis(3_200);
    /** Time kept free at the end of the grace period, after which the process is killed. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(500);
    /** Time limit for responding to the requests that are open at the end of a stop, within {@link #STOP_MARGIN}. */
    private static final Duration FINAL_RESPONSES_TIMEOUT = Duration.ofMillis(200);
    /** Time for the last responses to be sent before the connections are closed, within {@link #STOP_MARGIN}. */
    private static final Duration FLUSH_DELAY = Duration.ofMillis(50);
    /** Maximum number of separate latency histograms, one per route; further routes share one. */
    private static final int MAX_LATENCY_SERIES = 64;

    private static final int HISTOGRAM_DIGITS = 2;

    /** Maximum number of connections to one target: one waits for the target's report, the others carry orders. */
    private static final int CONNECTIONS_PER_TARGET = 12;
    /** Maximum number of connections to all targets, within the file descriptor limit of the smallest host. */
    private static final int MAX_TARGET_CONNECTIONS = 1_500;

    private static final int STORE_CONNECTIONS = 12;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final HostSettings settings;
    private final HostInfo self;
    private final EventLog log;
    private final EntryMetrics metrics = EntryMetrics.create(MAX_LATENCY_SERIES, HISTOGRAM_DIGITS);
    private final HostLoop loop;
    private final LoopDelayProbe loopDelayProbe;
    private final HostWorkLogger workLog;
    private final HttpRequester targetRequester;
    private final HttpRequester storeRequester;
    private final StoreClient store;
    private final ScheduledExecutorService storeTimer;
    private final TargetDirectory targetDirectory;
    private final PoolOwnership ownership;
    private final EntryHostConfirmations confirmations;
    private final PoolRunner poolRunner;
    private final PeerMonitor peerMonitor;
    private final KnownPools knownPools;
    private final RequestDispatcher requestDispatcher;
    private final PeerLinks peerLinks;
    private final StoreFollower storeFollower;
    private final ClaimWriter claimWriter;
    private final CallerEndpoint callerEndpoint;
    private final HttpServer metricsServer;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final OpenRequests openRequests;
    private final Cancellations cancellations = new Cancellations();
    private final PendingStarts pendingStarts = new PendingStarts();
    private final UnroutedRequests unroutedRequests = new UnroutedRequests();
    private final StoreSnapshot storeSnapshot = new StoreSnapshot();
    private final long startedNanos;
    private ImmutableSortedMap<PoolId, Integer> targetCounts = ImmutableSortedMap.of();
    private boolean peerSnapshotApplied;
    private long nextTimersNanos;
    private long snapshotRequestedNanos;
    private volatile Optional<RoutingTable> routes = Optional.empty();
    private volatile boolean anyPoolHasMaster;
    private volatile boolean stopping;
    private volatile boolean ownsAnyPool;
    private volatile boolean masterOrCandidate = true;
    private volatile int openRequestCount;

    private DispatchHost(HostSettings settings, long incarnation) {
        this.settings = settings;
        this.startedNanos = System.nanoTime();
        this.snapshotRequestedNanos = startedNanos;
        this.self = new HostInfo(
                settings.id(),
                settings.domain(),
                incarnation,
                Addresses.format(settings.peerAddress()),
                settings.cpuMillis());
        this.log = EventLog.create(self.id(), self.domain(), settings.logs().linesPerSecond());
        this.openRequests = new OpenRequests(self.domain(), metrics, log);
        this.workLog = new HostWorkLogger(metrics, log, startedNanos);
        this.loop = new HostLoop(this::afterBatch, this::nextDueNanos, this::logEventFailure);
        this.loopDelayProbe = new LoopDelayProbe(loop, this::recordLoopDelay);
        this.targetRequester = HttpRequester.start(new HttpRequester.Limits(
                CONNECTIONS_PER_TARGET, MAX_TARGET_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT, 1));
        this.storeRequester = HttpRequester.start(
                new HttpRequester.Limits(STORE_CONNECTIONS, STORE_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT, 1));
        this.store = StoreClient.create(storeRequester, settings.storeAddress());
        this.storeTimer = newStoreTimer();
        this.targetDirectory = new TargetDirectory(log);
        LeaseLimits leaseLimits = new LeaseLimits(settings.maxLease(), settings.resendDelay());
        this.confirmations = new EntryHostConfirmations(self);
        this.ownership =
                new PoolOwnership(self, new HostOwnershipActions(), leaseLimits.confirmationTimeout(), startedNanos);
        this.poolRunner = new PoolRunner(
                loop,
                TargetOrderClient.create(targetRequester),
                targetDirectory,
                leaseLimits,
                confirmations,
                pendingStarts,
                log,
                metrics,
                this::deliverResult,
                (pool, order) -> knownPools().reservePoolWithCapacity(pool, order));
        this.peerMonitor = new PeerMonitor(self, ownership, log, metrics, startedNanos);
        this.knownPools = new KnownPools(ownership, poolRunner, peerMonitor);
        this.requestDispatcher = new RequestDispatcher(self.domain(), knownPools, new HostDispatchActions());
        this.peerLinks = PeerLinks.start(self, new HostPeerListener());
        peerMonitor.setLinks(peerLinks);
        this.storeFollower =
                new StoreFollower(store, storeTimer, log, loop, new HostStoreListener(), () -> masterOrCandidate);
        this.claimWriter = new ClaimWriter(store, storeFollower, log);
        this.callerEndpoint = CallerEndpoint.start(settings.callerAddress(), settings.readinessAddress(), this);
        this.metricsServer = HttpServers.startNonBlocking(
                settings.metricsAddress(),
                1,
                (_request, response) -> HttpServers.write(
                        response,
                        200,
                        MetricsExporter.PROMETHEUS_CONTENT_TYPE,
                        MetricsExporter.of(metrics).toPrometheusText()));
    }

    // PoolRunner and KnownPools depend on each other: the pool runner is created first, and reads this field later.
    private KnownPools knownPools() {
        return knownPools;
    }

    // Removing cancelled tasks from the queue at once is offered by the class ScheduledThreadPoolExecutor only.
    private static ScheduledExecutorService newStoreTimer() {
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
     * @param incarnation number of this run of the process, unique and greater than those of earlier runs
     */
    public static DispatchHost start(HostSettings settings, long incarnation) {
        DispatchHost host = new DispatchHost(settings, incarnation);
        host.loop.start();
        host.storeFollower.start(StoredHost.of(host.self));
        host.log
                .line(LogEvent.HOST_STARTED)
                .with(LogField.INCARNATION, incarnation)
                .with(LogField.CALLER_ADDRESS, Addresses.format(host.callerEndpoint.address()))
                .with(LogField.PEER_ADDRESS, host.self.address())
                .write();
        return host;
    }

    /** Stops this host gracefully: hands its pools over, waits for the open requests, then closes. */
    public void stop() {
        long now = System.nanoTime();
        stopping = true;
        log.line(LogEvent.HOST_LEAVING)
                .with(LogField.OPEN_JOBS, openRequestCount)
                .write();
        long latestStopNanos = now + settings.stopGrace().minus(STOP_MARGIN).toNanos();
        loop.post(loopNow -> {
            requestDispatcher.scheduleShutdown(latestStopNanos);
            ownership.stop();
            peerMonitor.announce(status(loopNow), loopNow);
        });
        long earliestStopNanos = Math.min(latestStopNanos, now + BALANCER_DETECTION_DELAY.toNanos());
        while (System.nanoTime() < latestStopNanos && (openRequestCount > 0 || System.nanoTime() < earliestStopNanos)) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
        }
        log.line(LogEvent.HOST_STOPPED)
                .with(LogField.OPEN_JOBS, openRequestCount)
                .write();
        // A request may have arrived since the last check of the open requests; it must get a response too.
        CountDownLatch finalResponsesSent = new CountDownLatch(1);
        loop.post(loopNow -> {
            requestDispatcher.shutDown(loopNow);
            finalResponsesSent.countDown();
        });
        if (!Uninterruptibles.awaitUninterruptibly(finalResponsesSent, FINAL_RESPONSES_TIMEOUT)) {
            log.line(LogEvent.EVENT_FAILED)
                    .with(
                            LogField.ERROR,
                            "requests open at the end of the stop got no response within " + FINAL_RESPONSES_TIMEOUT)
                    .write();
        }
        Uninterruptibles.sleepUninterruptibly(FLUSH_DELAY);
        close();
    }

    /** Stops this host at once, as in a crash: open requests lose their connections and no pool is handed over. */
    @Override
    public void close() {
        // The loop is closed first: otherwise this host would stop the jobs of callers that lose their connections,
        // which does not happen in a crash.
        loop.close();
        callerEndpoint.close();
        metricsServer.shutdownNow();
        storeFollower.close();
        peerLinks.close();
        storeTimer.shutdownNow();
        targetRequester.close();
        storeRequester.close();
    }

    /** Returns whether this host is the master of any pool. */
    public boolean ownsAnyPool() {
        return ownsAnyPool;
    }

    /** Logs a reload of the settings; only those of logs may change while the process runs. */
    public void reload(HostSettings newSettings) {
        log.line(LogEvent.SETTINGS_RELOADED)
                .with(LogField.CHANGE, newSettings.equals(settings) ? "nothing" : "log levels")
                .write();
    }

    /** Logs that reloaded settings were rejected. */
    public void logRejectedSettings(String reason) {
        log.line(LogEvent.SETTINGS_REJECTED).with(LogField.ERROR, reason).write();
    }

    private void logEventFailure(Throwable failure) {
        // The virtual machine may omit the stack trace of an exception that is thrown repeatedly.
        String location = Arrays.stream(failure.getStackTrace())
                .findFirst()
                .map(frame -> " at " + frame)
                .orElse("");
        log.line(LogEvent.EVENT_FAILED).with(LogField.ERROR, failure + location).write();
    }

    private PeerMonitor.Status status(long now) {
        return new PeerMonitor.Status(stopping, poolRunner.loads(now));
    }

    private void afterBatch(long now) {
        workLog.countLoopPass();
        poolRunner.tick(now);
        if (poolRunner.requestsTargetList(now)) {
            storeFollower.readTargetsSoon();
        }
        if (now >= nextTimersNanos || now >= peerMonitor.nextCycleNanos()) {
            runTimers(now);
            nextTimersNanos = now
                    + (anyPoolHasMaster && !poolRunner.hasOpenHandovers()
                            ? peerMonitor.cycleNanos()
                            : TRANSITION_TIMER_NANOS);
        }
        nextTimersNanos = Math.min(nextTimersNanos, requestDispatcher.nextTickNanos(now));
        openRequestCount = requestDispatcher.openRequestCount();
    }

    /**
     * Requests a snapshot of the store from some live hosts, as long as this host has no configuration. The snapshot is
     * lost if the link from the other host to this one is not open yet.
     */
    private void requestSnapshot(long now) {
        if (routes.isPresent() || now - snapshotRequestedNanos < SNAPSHOT_RETRY_NANOS) {
            return;
        }
        snapshotRequestedNanos = now;
        ownership.otherHosts().stream()
                .filter(host -> ownership.isAlive(host.id(), host.incarnation(), now))
                .limit(SNAPSHOT_HOST_COUNT)
                .forEach(host -> peerLinks.send(host.id(), new PeerMessage.SnapshotRequest()));
    }

    private void recordLoopDelay(long delayNanos, long now) {
        metrics.recordLoopLag(delayNanos);
        if (ownership.recordLoopDelay(delayNanos, now)) {
            log.line(LogEvent.LOOP_LATE)
                    .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(delayNanos))
                    .write();
        }
    }

    private void runTimers(long now) {
        loopDelayProbe.measure(now);
        requestSnapshot(now);
        if (targetDirectory.removeExpired(storeFollower.targetsReachable(), now)) {
            refreshTargets(now);
        }
        poolRunner.completeHandovers(announcement -> peerMonitor.allAcknowledged(announcement, now), now);
        if (poolRunner.confirmEarlierMastersEnded(peerMonitor::allAcknowledgedOrEnded, now)) {
            storeFollower.readTargetsSoon();
        }
        // The request dispatcher hands jobs over to a new master before the peer monitor acknowledges the claim of
        // that master.
        requestDispatcher.tick(now);
        peerMonitor.tick(() -> status(now), requestDispatcher::mastersInUse, this::withdrawRequestsOf, now);
        boolean claimsRead =
                storeFollower.claimsRead() || peerSnapshotApplied || now - startedNanos > CLAIMS_READ_TIMEOUT_NANOS;
        if (claimsRead && targetDirectory.isLoaded()) {
            ownership.tick(now);
        }
        cancellations.expire(now);
        announcePendingStarts(now);
        unroutedRequests.runReady(routes.isPresent(), now);
        workLog.writeIfDue(now);
        masterOrCandidate = peerMonitor.isMasterOrCandidate();
        ownsAnyPool = !ownership.ownClaims().isEmpty();
        anyPoolHasMaster = ownership.pools().stream()
                .anyMatch(pool -> ownership.master(pool, now).isPresent());
    }

    /** Tells every host which jobs must not be accepted, because a start may still be carried out. */
    private void announcePendingStarts(long now) {
        for (PendingStartStatement statement : pendingStarts.takeDueStatements(poolRunner.masters(), now)) {
            ownership.otherHosts().forEach(host -> send(host.id(), new PeerMessage.PendingStarts(statement)));
        }
    }

    private long nextDueNanos(long now) {
        return Math.min(poolRunner.nextDueNanos(now, nextTimersNanos), peerMonitor.nextCycleNanos());
    }

    private void withdrawRequestsOf(HostInfo host, long now) {
        poolRunner.handleEntryHostLoss(host.id(), host.incarnation(), peerMonitor.lastHeartbeatNumber(), now);
    }

    private void refreshTargets(long now) {
        targetCounts =
                targetDirectory.countTargets(routes.map(RoutingTable::services).orElseGet(ImmutableSet::of));
        updatePoolLayout();
        poolRunner.updateTargets(now);
    }

    private void updatePoolLayout() {
        ownership.setPools(PoolLayout.pools(targetCounts, ownership.claims()));
    }

    // ---- callers ----

    @Override
    public Optional<RoutingTable> routingTable() {
        return routes;
    }

    @Override
    public void runWhenConfigured(Runnable action) {
        loop.post(now -> unroutedRequests.add(action, now));
    }

    @Override
    public boolean isReady() {
        return !stopping && routes.isPresent() && anyPoolHasMaster;
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
            Consumer<CallerResponse> onResponse) {
        long requestNumber = lastRequestNumber.incrementAndGet();
        JobOrder order = new JobOrder(
                new RequestId(self.id(), self.incarnation(), requestNumber),
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
            openRequests.add(order, configVersion, onResponse, now);
            if (pendingStarts.contains(job)) {
                openRequests.respond(
                        requestNumber,
                        CallerResponse.of(
                                CallerResponse.Kind.MAY_HAVE_RUN,
                                "a start of an earlier attempt may still be carried out"),
                        now);
                return;
            }
            requestDispatcher.submit(order, route.service(), now);
        });
        return requestNumber;
    }

    @Override
    public void onCallerDisconnected(long request) {
        loop.post(now -> {
            requestDispatcher.handleCallerGone(request);
            openRequests.recordCallerDisconnect(request, now);
        });
    }

    @Override
    public void cancel(String job, Consumer<Boolean> onFound) {
        loop.post(now -> {
            if (cancelLocally(job, now)) {
                onFound.accept(true);
                return;
            }
            ImmutableSet<String> otherHosts = ownership.otherHosts().stream()
                    .filter(host -> ownership.isAlive(host.id(), host.incarnation(), now))
                    .map(HostInfo::id)
                    .collect(ImmutableSet.toImmutableSet());
            otherHosts.forEach(host -> peerLinks.send(host, new PeerMessage.Cancel(job)));
            cancellations.add(job, otherHosts, onFound, now);
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

    // ---- orders and results between entry hosts and masters ----

    private void deliverResult(PoolId pool, int round, RequestId request, JobResult result) {
        if (request.host().equals(self.id())) {
            Claim claim = new Claim(pool, self.id(), self.incarnation(), round);
            loop.post(now -> requestDispatcher.handleResult(request, claim, result, now));
        } else {
            send(request.host(), new PeerMessage.Result(pool, round, request, result));
        }
    }

    private void send(String host, PeerMessage message) {
        metrics.count(MessageKind.PEER);
        peerLinks.send(host, message);
    }

    private final class HostDispatchActions implements DispatchActions {
        @Override
        public void submit(Claim master, JobOrder order) {
            long now = System.nanoTime();
            openRequests.recordSubmission(master, order, peerMonitor.heartbeatAgeMs(master.host(), now));
            if (master.isHeldBy(self)) {
                loop.post(loopNow -> poolRunner.submit(master.pool(), master.round(), order, loopNow));
            } else {
                peerMonitor.announceFrequentHeartbeats(master.host(), () -> status(now), now);
                send(master.host(), new PeerMessage.Submit(master.pool(), master.round(), order));
            }
        }

        @Override
        public void withdraw(Claim master, RequestId request, String job) {
            if (master.isHeldBy(self)) {
                loop.post(loopNow -> poolRunner.withdraw(master.pool(), request, job, loopNow));
            } else {
                metrics.count(MessageKind.PEER);
                peerMonitor.withdraw(master.host(), new PeerMessage.Withdraw(master.pool(), request, job));
            }
        }

        @Override
        public void respond(long request, CallerResponse response) {
            openRequests.respond(request, response, System.nanoTime());
        }

        @Override
        public void recordSupersededResult(Claim claim, long request, JobResult result) {
            openRequests.logSupersededResult(claim, request, result);
        }
    }

    // ---- other hosts ----

    private final class HostPeerListener implements PeerListener {
        @Override
        public void onMessage(HostInfo sender, PeerMessage message) {
            long receivedNanos = System.nanoTime();
            loop.post(now -> handleMessage(sender, message, receivedNanos, now));
        }

        @Override
        public void onInboundConnectionClosed(HostInfo _sender) {
            // Connecting again shows whether the other process has ended: it then refuses the connection. Otherwise the
            // connection was only reset, and the link is replaced.
            loop.post(peerLinks::openMissingConnections);
        }

        @Override
        public void onMalformedFrame(String reason) {
            log.line(LogEvent.FRAME_REJECTED).with(LogField.REASON, reason).write();
        }

        @Override
        public void onConnected(String host) {
            loop.post(now -> {
                peerMonitor.recordConnection(host, now);
                nextTimersNanos = now;
                requestDispatcher.resendOrders(host, now);
                resendCancellations(host);
                pendingStarts.known(now).forEach(statement -> send(host, new PeerMessage.PendingStarts(statement)));
            });
        }

        @Override
        public void onConnectionRefused(String host) {
            loop.post(now -> {
                ownership.recordConnectionRefused(host);
                nextTimersNanos = now;
            });
        }
    }

    private void handleMessage(HostInfo sender, PeerMessage message, long receivedNanos, long now) {
        peerMonitor.registerPeer(sender, true, this::withdrawRequestsOf, now);
        if (!(message instanceof PeerMessage.Heartbeat)) {
            ownership.recordMessage(sender.id(), sender.incarnation(), now);
        }
        if (message instanceof PeerMessage.Hello) {
            requestDispatcher.resendOrders(sender.id(), now);
            resendCancellations(sender.id());
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            for (PeerMessage.Withdraw withdrawal : heartbeat.withdrawals()) {
                poolRunner.withdraw(withdrawal.pool(), withdrawal.request(), withdrawal.job(), now);
            }
            if (heartbeat.confirmsRequests()) {
                confirmations.confirm(sender, receivedNanos);
            }
            if (peerMonitor.receiveHeartbeat(sender, heartbeat, now)) {
                updatePoolLayout();
                nextTimersNanos = now;
            }
            if (ownership.isAlive(sender.id(), sender.incarnation(), now)) {
                poolRunner.readmitEntryHost(
                        sender.id(),
                        sender.incarnation(),
                        peerMonitor.acknowledgedNumber(sender.id(), sender.incarnation()));
            }
        } else if (message instanceof PeerMessage.Submit submit) {
            poolRunner.submit(submit.pool(), submit.round(), submit.order(), now);
        } else if (message instanceof PeerMessage.Withdraw withdraw) {
            poolRunner.withdraw(withdraw.pool(), withdraw.request(), withdraw.job(), now);
        } else if (message instanceof PeerMessage.Result result) {
            Claim claim = new Claim(result.pool(), sender.id(), sender.incarnation(), result.round());
            requestDispatcher.handleResult(result.request(), claim, result.result(), now);
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            storeSnapshot.toMessage(ownership.claims()).ifPresent(snapshot -> peerLinks.send(sender.id(), snapshot));
        } else if (message instanceof PeerMessage.Snapshot peerSnapshot) {
            applyPeerSnapshot(peerSnapshot, now);
        } else if (message instanceof PeerMessage.PendingStarts pending) {
            pendingStarts.record(pending.statement(), now);
        } else if (message instanceof PeerMessage.Cancel cancel) {
            boolean found = cancelLocally(cancel.job(), now);
            peerLinks.send(sender.id(), new PeerMessage.Canceled(cancel.job(), found));
        } else if (message instanceof PeerMessage.Canceled canceled) {
            cancellations.recordAnswer(sender.id(), canceled.job(), canceled.found());
        }
    }

    /** Applies the records that another host has read, until the store answers; newer records replace them. */
    private void applyPeerSnapshot(PeerMessage.Snapshot peerSnapshot, long now) {
        if (routes.isPresent() && targetDirectory.isLoaded()) {
            return;
        }
        peerSnapshot.claims().forEach(claim -> ownership.recordClaim(claim, now));
        updatePoolLayout();
        if (!targetDirectory.isLoaded()) {
            targetDirectory.applyRecords(StoreSnapshot.targetRecords(peerSnapshot), false, now);
        }
        storeFollower.applyPeerConfiguration(peerSnapshot.configuration());
        peerSnapshotApplied = true;
    }

    /** Repeats the cancellations that a host has not answered; the host carries a repeated one out once. */
    private void resendCancellations(String host) {
        cancellations.jobsUnansweredBy(host).forEach(job -> peerLinks.send(host, new PeerMessage.Cancel(job)));
    }

    private boolean cancelLocally(String job, long now) {
        boolean wasWaiting = requestDispatcher.cancelJob(job);
        boolean wasRunning = poolRunner.cancel(job, now);
        return wasWaiting || wasRunning;
    }

    // ---- store ----

    private final class HostStoreListener implements StoreFollower.Listener {
        @Override
        public void onConfiguration(RoutingTable table, String record, long now) {
            storeSnapshot.setConfiguration(record);
            routes = Optional.of(table);
            nextTimersNanos = now;
            log.line(LogEvent.CONFIG_APPLIED)
                    .with(LogField.CONFIG_VERSION, table.version())
                    .with(LogField.COUNT, table.routeCount())
                    .write();
            refreshTargets(now);
        }

        @Override
        public void onTargets(ImmutableList<KeyedRecord> records, boolean isFullList, long now) {
            metrics.count(MessageKind.TARGET_ENTRY, records.size());
            storeSnapshot.updateTargets(records, isFullList);
            if (targetDirectory.applyRecords(records, isFullList, now)) {
                refreshTargets(now);
                nextTimersNanos = now;
            }
        }

        @Override
        public void onTargetsUpToDate(long readStartedNanos) {
            targetDirectory.recordUpToDate(readStartedNanos);
        }

        @Override
        public void onClaim(Claim claim, long now) {
            if (ownership.recordClaim(claim, now)) {
                updatePoolLayout();
                peerMonitor.requestScheduleReview(now);
                nextTimersNanos = now;
            }
        }

        @Override
        public void onHost(HostInfo host, long now) {
            peerMonitor.registerPeer(host, false, DispatchHost.this::withdrawRequestsOf, now);
        }
    }

    private final class HostOwnershipActions implements OwnershipActions {
        @Override
        public void writeClaim(Claim claim) {
            claimWriter.write(
                    claim, (written, outcome) -> loop.post(now -> ownership.completeClaimWrite(written, outcome, now)));
        }

        @Override
        public void probePool(PoolId pool) {
            poolRunner.probe(pool, () -> loop.post(now -> ownership.recordTargetAnswer(pool, now)));
        }

        @Override
        public void startMaster(Claim claim) {
            long now = System.nanoTime();
            poolRunner.acquire(claim, ownership, now);
            poolRunner.trackAnnouncement(claim.pool(), peerMonitor.announce(status(now), now), now);
            // The tasks of resumed jobs wait until the list of targets was read after the claim.
            storeFollower.readTargetsSoon();
            nextTimersNanos = now;
        }

        @Override
        public void stopMaster(PoolId pool, String reason) {
            pendingStarts.recordOwn(poolRunner.release(pool, reason), System.nanoTime());
        }
    }
}
