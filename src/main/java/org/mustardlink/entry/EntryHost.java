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
import org.mustardlink.core.policy.ExpectedFinish;
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

/** One entry host: everything that the daemon runs. Several can run in one process. */
public final class EntryHost implements CallerBackend, OwnerBackend, AutoCloseable {
    private final EntrySettings settings;
    private final EntryObserver observer;
    private final long incarnation;
    private final HttpRequester targetRequester;
    private final HttpRequester platformRequester;
    private final TargetClient targets;
    private final PlatformClient platform;
    private final PeerClient peers;
    private final EntryMembership members;
    private final EntryLoop loop;
    private final CallerApi callerApi;
    private final OperatorApi operatorApi;
    private final OperatorPages pages;
    private final PeerServer peerServer;
    private final HostConfig config;
    private final ListedOwners owners;
    private final Forwarder forwarder;
    private final ClaimLog claims;
    private final KeyedSubmissions keyed;
    private final PlannedStop plannedStop;
    private final AtomicLong nextRequester = new AtomicLong();
    private final Map<Long, Consumer<Command>> requesters = new ConcurrentHashMap<>();
    private final Set<Incarnation> inherited = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Handover> handover = new CompletableFuture<>();
    private volatile boolean leaving;
    private volatile boolean closed;

    /** One process of an entry host. */
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
        platformRequester = HttpRequester.start(HttpRequester.Limits.small());
        targets = TargetClient.create(targetRequester, this::targetSilent);
        platform = PlatformClient.create(
                platformRequester, settings.platform(), settings.timeouts().platform());
        peers = PeerClient.start();
        members = new EntryMembership(observer.log());
        DispatchCore core = DispatchCore.create(coreSettings(settings, incarnation), StandardPolicies.with(placement));
        loop = new EntryLoop(settings.id(), core, settings.dispatch().eventsPerTick(), this::execute, observer);
        loop.start();
        config = new HostConfig(settings, Clock.systemUTC(), loop::post, this::closeIdle);
        peerServer = PeerServer.start(settings.peer(), this, config, members.membership());
        owners = new ListedOwners(settings.id(), peerAddress(), membership());
        forwarder = new Forwarder(owners, settings.id(), incarnation, observer::forwarded);
        claims = ClaimLog.start(platform, ClaimSettings.defaults(), System::currentTimeMillis);
        keyed = new KeyedSubmissions(claims, new OwnNumbers(this::openSession, System::nanoTime), System::nanoTime);
        callerApi = CallerApi.start(
                settings.caller(),
                settings.limits().callerThreads(),
                settings.limits().maxBodyBytes(),
                this);
        operatorApi = OperatorApi.start(settings.operator(), settings.operatorSecret());
        pages = OperatorPages.create(settings, incarnation, observer, () -> leaving, config::ready);
        pages.section("configuration", () -> ImmutableMap.of("revision", config.offset(), "ready", config.ready()));
        pages.section("hosts", () -> membership().report());
        membership().attach(Membership.CONFIG_OFFSET, config);
        pages.registerAt(operatorApi);
        observer.metrics().gauge("open_jobs", loop::openJobs);
        observer.metrics().gauge("known_hosts", this::knownPeers);
        observer.metrics().gauge("dropped_target_answers", targets::droppedAnswerCount);
        observer.metrics().gauge("unexpected_http_answers", targetRequester::unexpectedAnswers);
        observer.metrics().gauge("silent_peers", peers::silentPeerCount);
        observer.metrics().gauge("claims", claims::size);
        observer.metrics().gauge("open_requests", callerApi::openRequests);
        observer.metrics().gauge("pauses", this::pauses);
        config.start(platform, replicaSettings(settings), operatorApi, Clock.systemUTC(), peerAddress());
        members.start(settings, incarnation, peerAddress(), callerAddress());
        plannedStop = new PlannedStop(settings, peers, owners);
        addPauseCheck(this::refreshHosts);
        addPauseCheck(this::replaceConnections);
        addPauseCheck(config::recheck);
        followHosts();
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
     * @param settings its settings
     * @param incarnation number that no earlier process with this host id has used; later ones are greater
     */
    public static EntryHost start(EntrySettings settings, long incarnation) {
        return start(settings, incarnation, ExpectedFinish.create());
    }

    /**
     * Starts an entry host with a placement policy of its own, for measurements.
     *
     * @param settings its settings
     * @param incarnation number that no earlier process with this host id has used; later ones are greater
     * @param placement chooses targets; called by one thread
     */
    public static EntryHost start(EntrySettings settings, long incarnation, PlacementPolicy placement) {
        return new EntryHost(settings, incarnation, placement);
    }

    /** Returns the address for callers. */
    public InetSocketAddress callerAddress() {
        return callerApi.address();
    }

    /** Returns the address for other entry hosts. */
    public InetSocketAddress peerAddress() {
        return new InetSocketAddress(settings.peer().getAddress(), peerServer.port());
    }

    /** Returns the address for operators. */
    public InetSocketAddress operatorAddress() {
        return operatorApi.address();
    }

    /** Returns the number of jobs without a verdict. */
    public int openJobs() {
        return loop.openJobs();
    }

    /** Returns whether the configuration is known, so that work can be taken. */
    public boolean ready() {
        return config.ready();
    }

    /** Returns the offset of the first configuration record that this host does not hold. */
    public long configOffset() {
        return config.offset();
    }

    /** Returns the number of entry hosts that this one can forward to. */
    public int knownPeers() {
        return members.aliveHosts();
    }

    /** Returns what this host knows of all entry hosts. */
    public Membership membership() {
        return members.membership();
    }

    /** Adds a check that is made after a pause of the process, before anything is started again. */
    public void addPauseCheck(PauseCheck check) {
        loop.pauses().add(check);
    }

    /** Returns how many pauses of the process were noticed. */
    public long pauses() {
        return loop.pauses().pauses();
    }

    /** Stops the core's loop for a time, as a pause of the whole process would; for tests of that fault. */
    public void stall(Duration time) {
        loop.stall(time);
    }

    @Override
    public CompletableFuture<SessionAnswer> openSession() {
        if (!config.ready()) {
            return CompletableFuture.completedFuture(new SessionAnswer.Refused(Reason.NOT_READY));
        }
        CompletableFuture<SessionAnswer> answer = new CompletableFuture<>();
        long requester = register(command -> {
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
        if (answersFor(id.session())) {
            return submitLocally(id, request);
        }
        Duration deadline = request.deadline();
        Duration longest = settings.timeouts().forwardMargin();
        Duration margin = deadline.dividedBy(10).compareTo(longest) < 0 ? deadline.dividedBy(10) : longest;
        return forwarder.forward(
                id, deadline, (owner, timeout) -> peers.submit(owner, id, document, deadline.minus(margin), timeout));
    }

    @Override
    public CompletableFuture<KeyedAnswer> submitKeyed(SubmissionKey key, JobRequest request, String document) {
        return keyed.submit(key, request, (id, remaining) -> submit(id, remaining, document));
    }

    @Override
    public CompletableFuture<JobAnswer> lookUp(SubmissionId id) {
        if (answersFor(id.session())) {
            return lookUpLocally(id);
        }
        return forwarder.forward(
                id, settings.timeouts().lookup(), (owner, timeout) -> peers.lookUp(owner, id, timeout));
    }

    @Override
    public CompletableFuture<JobAnswer> cancel(SubmissionId id) {
        if (answersFor(id.session())) {
            return cancelLocally(id);
        }
        return forwarder.forward(
                id, settings.timeouts().lookup(), (owner, timeout) -> peers.cancel(owner, id, timeout));
    }

    @Override
    public SessionRelation relationTo(SessionId session) {
        if (answersFor(session)) {
            return SessionRelation.RESPONSIBLE;
        }
        // An earlier process cannot say anything about a later one, so the order of incarnations matters.
        boolean earlier = session.host().equals(settings.id()) && session.incarnation() < incarnation;
        return earlier ? SessionRelation.LATER_INCARNATION : SessionRelation.NOT_OWNER;
    }

    @Override
    public CompletableFuture<JobAnswer> submitLocally(SubmissionId id, JobRequest request) {
        return local(requester -> new Event.JobSubmitted(requester, id, request));
    }

    @Override
    public CompletableFuture<JobAnswer> lookUpLocally(SubmissionId id) {
        return local(requester -> new Event.AnswerRequested(requester, id));
    }

    @Override
    public CompletableFuture<JobAnswer> cancelLocally(SubmissionId id) {
        return local(requester -> new Event.JobCancelled(requester, id));
    }

    @Override
    public CompletableFuture<Boolean> takeOverSessions(
            String host, long leaver, ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers) {
        CompletableFuture<Boolean> settled = new CompletableFuture<>();
        long requester = register(command -> {
            boolean accepted = command instanceof Command.InheritanceSettled result && result.accepted();
            if (accepted) {
                inherited.add(new Incarnation(host, leaver));
                sessions.forEach(session -> inherited.add(Incarnation.of(session.id())));
            }
            settled.complete(accepted);
        });
        loop.post(new Event.SessionsInherited(requester, sessions, answers));
        return settled;
    }

    @Override
    public void recordOwnerLeft(String host, long leaver, String successor) {
        owners.left(host, leaver, successor);
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
     * Stops as planned: fails the health check, takes nothing new, lets open jobs finish, hands its sessions over to an
     * entry host of the same failure domain and answers every caller before it closes a connection.
     *
     * @param grace time for open jobs to finish; what cannot finish gets a truthful verdict then
     */
    public void stop(Duration grace) {
        leaving = true;
        logOpenJobs(LogEvent.HOST_LEAVING);
        CompletableFuture<Void> _leaving = membership().leaving(Optional.empty());
        long end = System.nanoTime() + grace.toNanos();
        PlannedStop.awaitHealthNotice(grace);
        loop.post(new Event.StopRequested());
        PlannedStop.await(() -> loop.openJobs() == 0 && callerApi.openRequests() == 0, end);
        loop.post(new Event.HandoverRequested());
        Optional<String> successor = plannedStop.handOver(handover, ImmutableSet.copyOf(inherited));
        if (successor.isPresent()) {
            membership().leaving(successor).join();
        }
        forwarder.giveUp();
        callerApi.drain(PlannedStop.LAST_ANSWERS);
        logOpenJobs(LogEvent.HOST_STOPPED);
        close();
    }

    /** Ends everything at once, as a crash would. */
    @Override
    public void close() {
        closed = true;
        claims.close();
        config.close();
        callerApi.close();
        operatorApi.close();
        peerServer.close();
        loop.close();
        members.close();
        peers.close();
        targetRequester.close();
        platformRequester.close();
    }

    private boolean answersFor(SessionId session) {
        Incarnation owner = Incarnation.of(session);
        return owner.equals(new Incarnation(settings.id(), incarnation)) || inherited.contains(owner);
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
        EntrySettings.Configuration from = settings.configuration();
        ReplicaSettings defaults = ReplicaSettings.defaults();
        return new ReplicaSettings(
                defaults.readsLog(),
                from.logWait(),
                from.retryPause(),
                from.pullPeriod(),
                defaults.peerTimeout(),
                from.snapshotRecords(),
                from.snapshotAge(),
                from.snapshotJitter());
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
                settings.limits().keptBytes(),
                settings.timeouts().answerKept(),
                settings.timeouts().retryAfter());
    }

    private CompletableFuture<JobAnswer> local(LongFunction<Event> event) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        long requester = register(command -> {
            if (command instanceof Command.DeliverVerdict delivered) {
                answer.complete(new JobAnswer.Final(delivered.verdict()));
            } else if (command instanceof Command.ReportUnused) {
                answer.complete(new JobAnswer.Unused());
            }
        });
        loop.post(event.apply(requester));
        return answer;
    }

    private long register(Consumer<Command> consumer) {
        long requester = nextRequester.incrementAndGet();
        requesters.put(requester, consumer);
        return requester;
    }

    private void execute(Command command) {
        observer.issued(command);
        if (command instanceof Command.StartTask start) {
            start(start);
        } else if (command instanceof Command.StopTask stop) {
            targets.stopTask(stop);
        } else if (command instanceof Command.DeliverVerdict delivered) {
            answer(delivered.requester(), command);
        } else if (command instanceof Command.ReportUnused unused) {
            answer(unused.requester(), command);
        } else if (command instanceof Command.InheritanceSettled settled) {
            answer(settled.requester(), command);
        } else if (command instanceof Command.HandOver closing) {
            handover.complete(new Handover(settings.id(), incarnation, closing.sessions(), closing.answers()));
        } else if (command instanceof Command.SessionGranted granted) {
            answer(granted.requester(), command);
        } else if (command instanceof Command.SessionRefused refused) {
            answer(refused.requester(), command);
        }
    }

    private void start(Command.StartTask start) {
        long began = System.nanoTime();
        config.drains().started(start);
        CompletableFuture<Void> _posted = targets.startTask(start).thenAccept(result -> {
            config.drains().ended(start, Duration.ofNanos(System.nanoTime() - began));
            loop.post(new Event.AttemptEnded(start.task(), start.attempt(), result));
        });
    }

    private void closeIdle(TargetSpec target) {
        targetRequester.closeIdle(Addresses.parse(target.address()));
    }

    private void answer(long requester, Command command) {
        Optional.ofNullable(requesters.remove(requester))
                .ifPresentOrElse(consumer -> consumer.accept(command), () -> observer.dropped(command));
    }

    private void targetSilent(String target) {
        loop.post(new Event.TargetSilent(target));
    }

    private ImmutableMap<String, String> entryDomains(HostListing listing) {
        Map<String, String> domains = new HashMap<>();
        listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY && host.state() == HostListing.State.LIVE)
                .forEach(host -> domains.put(host.id(), host.domain()));
        domains.put(settings.id(), settings.domain());
        return ImmutableMap.copyOf(domains);
    }

    private void followHosts() {
        if (closed) {
            return;
        }
        CompletableFuture<HostListing> _refreshed = refreshHosts()
                .whenComplete((_listing, _failure) -> CompletableFuture.delayedExecutor(
                                settings.timeouts().hostsRefresh().toMillis(), TimeUnit.MILLISECONDS)
                        .execute(this::followHosts));
    }

    private CompletableFuture<HostListing> refreshHosts() {
        return platform.hosts().whenComplete((listing, failure) -> {
            observer.platformRead(Optional.ofNullable(failure));
            config.listed(failure == null ? Optional.of(listing) : Optional.empty());
            if (failure == null) {
                owners.update(listing);
                members.listed(listing);
                loop.post(new Event.EntryHostsKnown(settings.domain(), entryDomains(listing)));
            }
        });
    }

    private CompletableFuture<Void> replaceConnections() {
        targetRequester.replaceIdle();
        platformRequester.replaceIdle();
        peers.closeIdle();
        return CompletableFuture.completedFuture(null);
    }
}
