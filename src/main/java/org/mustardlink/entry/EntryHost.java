package org.mustardlink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.mustardlink.api.CallerApi;
import org.mustardlink.api.CallerBackend;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.api.KeyedAnswer;
import org.mustardlink.api.OperatorApi;
import org.mustardlink.api.SessionAnswer;
import org.mustardlink.claims.ClaimLog;
import org.mustardlink.claims.ClaimSettings;
import org.mustardlink.claims.SubmissionKey;
import org.mustardlink.config.replica.ReplicaSettings;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.AnswerSnapshot;
import org.mustardlink.core.Command;
import org.mustardlink.core.CoreSettings;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SessionSnapshot;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.policy.ExpectedFinishPlacement;
import org.mustardlink.core.policy.StandardPolicies;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.membership.Membership;
import org.mustardlink.observe.EntryObserver;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.OperatorPages;
import org.mustardlink.peer.Handover;
import org.mustardlink.peer.OwnerBackend;
import org.mustardlink.peer.PeerClient;
import org.mustardlink.peer.PeerServer;
import org.mustardlink.target.TargetClient;

/**
 * An entry host: owns the core, the servers and the clients of the daemon.
 *
 * <p>Several entry hosts can run in one process.
 */
public final class EntryHost implements CallerBackend, OwnerBackend, AutoCloseable {
    private final EntrySettings settings;
    private final EntryObserver observer;
    private final long incarnation;
    private final HttpRequester targetRequester;
    private final HttpRequester platformRequester;
    private final TargetClient targetClient;
    private final PlatformClient platformClient;
    private final PeerClient peerClient;
    private final EntryMembership entryMembership;
    private final EntryLoop loop;
    private final CallerApi callerApi;
    private final OperatorApi operatorApi;
    private final OperatorPages operatorPages;
    private final PeerServer peerServer;
    private final HostConfig config;
    private final EntryOwnerDirectory ownerDirectory;
    private final Forwarder forwarder;
    private final ClaimLog claimLog;
    private final KeyedSubmissions keyedSubmissions;
    private final PlannedStop plannedStop;
    private final AtomicLong lastRequester = new AtomicLong();
    private final Map<Long, Consumer<Command>> requesters = new ConcurrentHashMap<>();
    private final Set<Incarnation> inheritedIncarnations = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Handover> handover = new CompletableFuture<>();
    private volatile boolean leaving;
    private volatile boolean closed;

    /** Identifies one process of an entry host. */
    record Incarnation(String host, long number) {
        static Incarnation of(SessionId session) {
            return new Incarnation(session.host(), session.incarnation());
        }
    }

    private EntryHost(EntrySettings settings, long incarnation, PlacementPolicy placement) {
        this.settings = settings;
        this.observer = EntryObserver.create(settings);
        this.incarnation = incarnation;
        targetRequester = HttpRequester.start(targetLimits(settings));
        platformRequester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        targetClient = TargetClient.create(targetRequester, this::reportUnresponsiveTarget);
        platformClient = PlatformClient.create(
                platformRequester,
                settings.platformAddress(),
                settings.timeouts().platform());
        peerClient = PeerClient.start();
        entryMembership = new EntryMembership(observer.log());
        DispatchCore core = DispatchCore.create(coreSettings(settings, incarnation), StandardPolicies.with(placement));
        loop = new EntryLoop(settings.id(), core, settings.dispatch().eventsPerTick(), this::execute, observer);
        loop.start();
        config = new HostConfig(settings, Clock.systemUTC(), loop::post, this::closeIdleConnections);
        peerServer = PeerServer.start(settings.peerAddress(), this, config, entryMembership.membership());
        ownerDirectory = new EntryOwnerDirectory(settings.id(), peerAddress(), membership());
        forwarder = new Forwarder(ownerDirectory, settings.id(), incarnation, observer::recordForwardedCall);
        claimLog = ClaimLog.start(platformClient, ClaimSettings.defaults(), System::currentTimeMillis);
        keyedSubmissions = new KeyedSubmissions(
                claimLog, new SubmissionIdAllocator(this::openSession, System::nanoTime), System::nanoTime);
        callerApi = CallerApi.start(
                settings.callerAddress(),
                settings.limits().callerThreads(),
                settings.limits().maxBodyBytes(),
                this);
        operatorApi = OperatorApi.start(settings.operatorAddress(), settings.operatorSecretFile());
        operatorPages = OperatorPages.create(settings, incarnation, observer, () -> leaving, config::ready);
        operatorPages.addSection(
                "configuration", () -> ImmutableMap.of("revision", config.offset(), "ready", config.ready()));
        operatorPages.addSection("hosts", () -> membership().hostReports());
        membership().registerAttachment(Membership.CONFIG_OFFSET, config);
        operatorPages.registerRoutes(operatorApi);
        observer.metrics().registerGauge("open_jobs", loop::openJobs);
        observer.metrics().registerGauge("known_hosts", this::aliveHostCount);
        observer.metrics().registerGauge("dropped_target_answers", targetClient::droppedAnswerCount);
        observer.metrics().registerGauge("unexpected_http_answers", targetRequester::unexpectedReplies);
        observer.metrics().registerGauge("silent_peers", peerClient::silentPeerCount);
        observer.metrics().registerGauge("claims", claimLog::size);
        observer.metrics().registerGauge("open_requests", callerApi::openRequests);
        observer.metrics().registerGauge("pauses", this::pauseCount);
        config.start(platformClient, replicaSettings(settings), operatorApi, Clock.systemUTC(), peerAddress());
        entryMembership.start(settings, incarnation, peerAddress(), callerAddress());
        plannedStop = new PlannedStop(settings, peerClient, ownerDirectory);
        addPauseCheck(this::refreshHosts);
        addPauseCheck(this::replaceIdleConnections);
        addPauseCheck(config::recheck);
        pollHosts();
        observer.log()
                .line(LogEvent.HOST_STARTED)
                .with(LogField.INCARNATION, incarnation)
                .with(LogField.CALLER_ADDRESS, Addresses.format(callerAddress()))
                .with(LogField.OPERATOR_ADDRESS, Addresses.format(operatorAddress()))
                .with(LogField.PEER_ADDRESS, Addresses.format(peerAddress()))
                .write();
    }

    /**
     * Starts an entry host.
     *
     * @param settings settings of the host
     * @param incarnation number that no earlier process with this host id has used; greater for later processes
     */
    public static EntryHost start(EntrySettings settings, long incarnation) {
        return start(settings, incarnation, ExpectedFinishPlacement.create());
    }

    /**
     * Starts an entry host with a given placement policy, for comparing policies.
     *
     * @param settings settings of the host
     * @param incarnation number that no earlier process with this host id has used; greater for later processes
     * @param placement chooses the target of each task; called by a single thread
     */
    public static EntryHost start(EntrySettings settings, long incarnation, PlacementPolicy placement) {
        return new EntryHost(settings, incarnation, placement);
    }

    /** Returns the address on which this host listens for callers. */
    public InetSocketAddress callerAddress() {
        return callerApi.address();
    }

    /** Returns the address on which this host listens for other entry hosts. */
    public InetSocketAddress peerAddress() {
        return new InetSocketAddress(settings.peerAddress().getAddress(), peerServer.port());
    }

    /** Returns the address on which this host listens for operators. */
    public InetSocketAddress operatorAddress() {
        return operatorApi.address();
    }

    /** Returns the number of jobs without a verdict. */
    public int openJobs() {
        return loop.openJobs();
    }

    /** Returns whether the configuration has been loaded, so that this host accepts jobs. */
    public boolean ready() {
        return config.ready();
    }

    /** Returns the offset of the first configuration record that this host does not hold. */
    public long configOffset() {
        return config.offset();
    }

    /** Returns the number of entry hosts that the membership holds alive, including this one. */
    public int aliveHostCount() {
        return entryMembership.aliveHostCount();
    }

    /** Returns the membership of the entry hosts as seen by this host. */
    public Membership membership() {
        return entryMembership.membership();
    }

    /** Adds a check to run after a pause of the process, before tasks are started again. */
    public void addPauseCheck(PauseCheck check) {
        loop.pauseRecovery().addCheck(check);
    }

    /** Returns the number of pauses of the process that were detected. */
    public long pauseCount() {
        return loop.pauseRecovery().pauseCount();
    }

    /** Stops the core's loop for the given time, to simulate a pause of the whole process in tests. */
    public void stallLoop(Duration time) {
        loop.stall(time);
    }

    @Override
    public CompletableFuture<SessionAnswer> openSession() {
        if (!config.ready()) {
            return CompletableFuture.completedFuture(new SessionAnswer.Refused(Reason.NOT_READY));
        }
        CompletableFuture<SessionAnswer> answer = new CompletableFuture<>();
        long requester = registerRequester(command -> {
            if (command instanceof Command.SessionGranted granted) {
                answer.complete(new SessionAnswer.Granted(granted.session()));
            } else if (command instanceof Command.SessionRefused refused) {
                answer.complete(new SessionAnswer.Refused(refused.reason()));
            }
        });
        loop.post(new Event.SessionRequested(requester));
        return answer;
    }

    @Override
    public CompletableFuture<JobAnswer> submit(SubmissionId id, JobRequest request, String document) {
        if (answersForSession(id.session())) {
            return submitLocally(id, request);
        }
        Duration deadline = request.deadline();
        Duration maxMargin = settings.timeouts().forwardMargin();
        Duration margin = deadline.dividedBy(10).compareTo(maxMargin) < 0 ? deadline.dividedBy(10) : maxMargin;
        return forwarder.forward(
                id,
                deadline,
                (owner, timeout) -> peerClient.submit(owner, id, document, deadline.minus(margin), timeout));
    }

    @Override
    public CompletableFuture<KeyedAnswer> submitKeyed(SubmissionKey key, JobRequest request, String document) {
        return keyedSubmissions.submit(key, request, (id, remaining) -> submit(id, remaining, document));
    }

    @Override
    public CompletableFuture<JobAnswer> lookUp(SubmissionId id) {
        if (answersForSession(id.session())) {
            return lookUpLocally(id);
        }
        return forwarder.forward(
                id, settings.timeouts().lookup(), (owner, timeout) -> peerClient.lookUp(owner, id, timeout));
    }

    @Override
    public CompletableFuture<JobAnswer> cancel(SubmissionId id) {
        if (answersForSession(id.session())) {
            return cancelLocally(id);
        }
        return forwarder.forward(
                id, settings.timeouts().lookup(), (owner, timeout) -> peerClient.cancel(owner, id, timeout));
    }

    @Override
    public SessionRelation relationTo(SessionId session) {
        if (answersForSession(session)) {
            return SessionRelation.RESPONSIBLE;
        }
        // A process can tell that an earlier incarnation of its host has ended, but knows nothing of a later
        // incarnation.
        boolean earlier = session.host().equals(settings.id()) && session.incarnation() < incarnation;
        return earlier ? SessionRelation.LATER_INCARNATION : SessionRelation.NOT_OWNER;
    }

    @Override
    public CompletableFuture<JobAnswer> submitLocally(SubmissionId id, JobRequest request) {
        return submitToCore(requester -> new Event.JobSubmitted(requester, id, request));
    }

    @Override
    public CompletableFuture<JobAnswer> lookUpLocally(SubmissionId id) {
        return submitToCore(requester -> new Event.AnswerRequested(requester, id));
    }

    @Override
    public CompletableFuture<JobAnswer> cancelLocally(SubmissionId id) {
        return submitToCore(requester -> new Event.JobCancelled(requester, id));
    }

    @Override
    public CompletableFuture<Boolean> takeOverSessions(
            String host, long leaver, ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers) {
        CompletableFuture<Boolean> settled = new CompletableFuture<>();
        long requester = registerRequester(command -> {
            boolean accepted = command instanceof Command.HandoverAnswered result && result.accepted();
            if (accepted) {
                inheritedIncarnations.add(new Incarnation(host, leaver));
                sessions.forEach(session -> inheritedIncarnations.add(Incarnation.of(session.id())));
            }
            settled.complete(accepted);
        });
        loop.post(new Event.HandoverReceived(requester, sessions, answers));
        return settled;
    }

    @Override
    public void recordOwnerLeft(String host, long leaver, String successor) {
        ownerDirectory.recordLeave(host, leaver, successor);
    }

    @Override
    public boolean isHealthy() {
        return !leaving && !membership().view().replaced();
    }

    @Override
    public String ownerAddress(SessionId _session) {
        return Addresses.format(callerApi.address());
    }

    /**
     * Stops gracefully: fails the health check, rejects new jobs, lets open jobs finish, hands the sessions over to an
     * entry host of the same failure domain and answers every caller before closing the connections.
     *
     * @param grace time for open jobs to finish; jobs that cannot finish in time get a verdict that states whether they
     *     may have run
     */
    public void stop(Duration grace) {
        leaving = true;
        logOpenJobs(LogEvent.HOST_LEAVING);
        CompletableFuture<Void> _leaving = membership().announceLeave(Optional.empty());
        long endNanos = System.nanoTime() + grace.toNanos();
        PlannedStop.awaitBalancerDetection(grace);
        loop.post(new Event.StopRequested());
        PlannedStop.await(() -> loop.openJobs() == 0 && callerApi.openRequests() == 0, endNanos);
        loop.post(new Event.HandoverRequested());
        Optional<String> successor = plannedStop.handOver(handover, ImmutableSet.copyOf(inheritedIncarnations));
        if (successor.isPresent()) {
            membership().announceLeave(successor).join();
        }
        forwarder.abandonOpenRequests();
        callerApi.drain(PlannedStop.FINAL_ANSWERS_TIMEOUT);
        logOpenJobs(LogEvent.HOST_STOPPED);
        close();
    }

    /** Stops at once without a handover or final answers, as a crash would. */
    @Override
    public void close() {
        closed = true;
        claimLog.close();
        config.close();
        callerApi.close();
        operatorApi.close();
        peerServer.close();
        loop.close();
        entryMembership.close();
        peerClient.close();
        targetRequester.close();
        platformRequester.close();
    }

    private boolean answersForSession(SessionId session) {
        Incarnation owner = Incarnation.of(session);
        return owner.equals(new Incarnation(settings.id(), incarnation)) || inheritedIncarnations.contains(owner);
    }

    private void logOpenJobs(LogEvent event) {
        observer.log().line(event).with(LogField.OPEN_JOBS, loop.openJobs()).write();
    }

    private static HttpRequester.Limits targetLimits(EntrySettings settings) {
        return new HttpRequester.Limits(
                settings.limits().targetConnections(),
                settings.limits().totalConnections(),
                settings.timeouts().connect(),
                settings.timeouts().idleConnection(),
                settings.dispatch().targetIoThreads());
    }

    private static ReplicaSettings replicaSettings(EntrySettings settings) {
        EntrySettings.Configuration configuration = settings.configuration();
        ReplicaSettings defaults = ReplicaSettings.defaults();
        return new ReplicaSettings(
                defaults.readsLog(),
                configuration.logWait(),
                configuration.retryPause(),
                configuration.pullPeriod(),
                defaults.peerTimeout(),
                configuration.snapshotRecords(),
                configuration.snapshotAge(),
                configuration.snapshotJitter());
    }

    private static CoreSettings coreSettings(EntrySettings settings, long incarnation) {
        return new CoreSettings(
                settings.id(),
                incarnation,
                settings.limits().sessions(),
                settings.timeouts().sessionIdle(),
                settings.limits().openJobs(),
                settings.limits().queuedTasks(),
                settings.limits().keptAnswers(),
                settings.limits().keptAnswerBytes(),
                settings.timeouts().answerRetention(),
                settings.timeouts().retryAfter());
    }

    private CompletableFuture<JobAnswer> submitToCore(LongFunction<Event> event) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        long requester = registerRequester(command -> {
            if (command instanceof Command.DeliverVerdict delivered) {
                answer.complete(new JobAnswer.Final(delivered.verdict()));
            } else if (command instanceof Command.ReportUnused) {
                answer.complete(new JobAnswer.Unused());
            }
        });
        loop.post(event.apply(requester));
        return answer;
    }

    private long registerRequester(Consumer<Command> consumer) {
        long requester = lastRequester.incrementAndGet();
        requesters.put(requester, consumer);
        return requester;
    }

    private void execute(Command command) {
        observer.observeCommand(command);
        if (command instanceof Command.StartTask start) {
            startTask(start);
        } else if (command instanceof Command.StopTask stop) {
            targetClient.stopTask(stop);
        } else if (command instanceof Command.DeliverVerdict delivered) {
            completeRequester(delivered.requester(), command);
        } else if (command instanceof Command.ReportUnused unused) {
            completeRequester(unused.requester(), command);
        } else if (command instanceof Command.HandoverAnswered settled) {
            completeRequester(settled.requester(), command);
        } else if (command instanceof Command.HandOver handOver) {
            handover.complete(new Handover(settings.id(), incarnation, handOver.sessions(), handOver.answers()));
        } else if (command instanceof Command.SessionGranted granted) {
            completeRequester(granted.requester(), command);
        } else if (command instanceof Command.SessionRefused refused) {
            completeRequester(refused.requester(), command);
        }
    }

    private void startTask(Command.StartTask start) {
        long startNanos = System.nanoTime();
        config.drainController().recordStart(start);
        CompletableFuture<Void> _posted = targetClient.startTask(start).thenAccept(result -> {
            config.drainController().recordEnd(start, Duration.ofNanos(System.nanoTime() - startNanos));
            loop.post(new Event.AttemptEnded(start.task(), start.attempt(), result));
        });
    }

    private void closeIdleConnections(TargetSpec target) {
        targetRequester.closeIdleConnections(Addresses.parse(target.address()));
    }

    private void completeRequester(long requester, Command command) {
        Optional.ofNullable(requesters.remove(requester))
                .ifPresentOrElse(consumer -> consumer.accept(command), () -> observer.recordDroppedAnswer(command));
    }

    private void reportUnresponsiveTarget(String target) {
        loop.post(new Event.TargetUnresponsive(target));
    }

    private ImmutableMap<String, String> liveEntryDomains(HostListing listing) {
        Map<String, String> domains = new HashMap<>();
        listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY && host.state() == HostListing.State.LIVE)
                .forEach(host -> domains.put(host.id(), host.domain()));
        domains.put(settings.id(), settings.domain());
        return ImmutableMap.copyOf(domains);
    }

    private void pollHosts() {
        if (closed) {
            return;
        }
        CompletableFuture<HostListing> _refreshed = refreshHosts()
                .whenComplete((_listing, _failure) -> CompletableFuture.delayedExecutor(
                                settings.timeouts().hostsRefresh().toMillis(), TimeUnit.MILLISECONDS)
                        .execute(this::pollHosts));
    }

    private CompletableFuture<HostListing> refreshHosts() {
        return platformClient.hosts().whenComplete((listing, failure) -> {
            observer.recordPlatformRead(Optional.ofNullable(failure));
            config.applyHostListing(failure == null ? Optional.of(listing) : Optional.empty());
            if (failure == null) {
                ownerDirectory.applyHostListing(listing);
                entryMembership.applyHostListing(listing);
                loop.post(new Event.EntryHostsChanged(settings.domain(), liveEntryDomains(listing)));
            }
        });
    }

    private CompletableFuture<Void> replaceIdleConnections() {
        targetRequester.invalidateIdleConnections();
        platformRequester.invalidateIdleConnections();
        peerClient.closeIdle();
        return CompletableFuture.completedFuture(null);
    }
}
