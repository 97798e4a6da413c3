package org.mustardlink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.mustardlink.api.CallerApi;
import org.mustardlink.api.CallerBackend;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.api.OperatorApi;
import org.mustardlink.api.SessionAnswer;
import org.mustardlink.config.replica.ReplicaSettings;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.Command;
import org.mustardlink.core.CoreSettings;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.Verdict;
import org.mustardlink.core.policy.ExpectedFinish;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.observe.EntryObserver;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.OperatorPages;
import org.mustardlink.peer.PeerClient;
import org.mustardlink.peer.PeerServer;
import org.mustardlink.platform.HostListing;
import org.mustardlink.platform.PlatformClient;
import org.mustardlink.target.TargetClient;

/** One entry host: everything that the daemon runs. Several can run in one process. */
public final class EntryHost implements CallerBackend, AutoCloseable {
    private final EntrySettings settings;
    private final EntryObserver observer;
    private final long incarnation;
    private final HttpRequester targetRequester;
    private final HttpRequester platformRequester;
    private final TargetClient targets;
    private final PlatformClient platform;
    private final PeerClient peers;
    private final EntryLoop loop;
    private final CallerApi callerApi;
    private final OperatorApi operatorApi;
    private final OperatorPages pages;
    private final PeerServer peerServer;
    private final HostConfig config;
    private final AtomicLong nextRequester = new AtomicLong();
    private final Map<Long, Consumer<Command>> requesters = new ConcurrentHashMap<>();
    private volatile ImmutableMap<String, InetSocketAddress> peerAddresses = ImmutableMap.of();
    private volatile boolean leaving;

    private EntryHost(EntrySettings settings, long incarnation, PlacementPolicy placement) {
        this.settings = settings;
        this.observer = EntryObserver.create(settings);
        this.incarnation = incarnation;
        targetRequester = HttpRequester.start(targetLimits(settings));
        platformRequester = HttpRequester.start(HttpRequester.Limits.small());
        targets = TargetClient.create(targetRequester);
        platform = PlatformClient.create(
                platformRequester, settings.platform(), settings.timeouts().platform());
        peers = PeerClient.start();
        DispatchCore core = DispatchCore.create(coreSettings(settings, incarnation), placement);
        loop = new EntryLoop(settings.id(), core, settings.dispatch().eventsPerTick(), this::execute, observer);
        loop.start();
        config = new HostConfig(settings, Clock.systemUTC(), event -> loop.post(ofDomain(event)), this::closeIdle);
        peerServer = PeerServer.start(settings.peer(), incarnation, this, config);
        callerApi = CallerApi.start(
                settings.caller(),
                settings.limits().callerThreads(),
                settings.limits().maxBodyBytes(),
                this);
        operatorApi = OperatorApi.start(settings.operator(), settings.operatorSecret());
        pages = OperatorPages.create(settings, incarnation, observer, () -> leaving);
        pages.section("hosts", () -> Maps.transformValues(peerAddresses, Addresses::format));
        pages.registerAt(operatorApi);
        observer.metrics().gauge("open_jobs", loop::openJobs);
        observer.metrics().gauge("known_hosts", this::knownPeers);
        config.start(platform, ReplicaSettings.defaults(), operatorApi, Clock.systemUTC(), peerAddress());
        refreshPeers();
        observer.log()
                .line(LogEvent.HOST_STARTED)
                .with(LogField.INCARNATION, Long.toString(incarnation))
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
        return peerAddresses.size();
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
        if (isOwn(id)) {
            return local(requester -> new Event.JobSubmitted(requester, id, request));
        }
        Duration timeout = request.deadline().plus(settings.timeouts().forwardMargin());
        return forward(id, owner -> peers.submit(owner, id, document, timeout));
    }

    @Override
    public CompletableFuture<JobAnswer> lookUp(SubmissionId id) {
        if (isOwn(id)) {
            return local(requester -> new Event.AnswerRequested(requester, id));
        }
        return forward(id, owner -> peers.lookUp(owner, id, settings.timeouts().lookup()));
    }

    @Override
    public CompletableFuture<JobAnswer> cancel(SubmissionId id) {
        if (isOwn(id)) {
            return local(requester -> new Event.JobCancelled(requester, id));
        }
        return forward(id, owner -> peers.cancel(owner, id, settings.timeouts().lookup()));
    }

    @Override
    public boolean healthy() {
        return !leaving;
    }

    @Override
    public String ownerAddress(SessionId _session) {
        return Addresses.format(callerApi.address());
    }

    /**
     * Stops gracefully: fails the health check, takes nothing new and waits until every open job has its verdict.
     *
     * @param grace longest time to wait
     */
    public void stop(Duration grace) {
        leaving = true;
        logOpenJobs(LogEvent.HOST_LEAVING);
        loop.post(new Event.StopRequested());
        long end = System.nanoTime() + grace.toNanos();
        while (System.nanoTime() < end && loop.openJobs() > 0) {
            sleep(Duration.ofMillis(20));
        }
        callerApi.shutdown(Duration.ofSeconds(1));
        logOpenJobs(LogEvent.HOST_STOPPED);
        close();
    }

    /** Ends everything at once, as a crash would. */
    @Override
    public void close() {
        config.close();
        callerApi.close();
        operatorApi.close();
        peerServer.close();
        loop.close();
        peers.close();
        targetRequester.close();
        platformRequester.close();
    }

    private void logOpenJobs(LogEvent event) {
        observer.log().line(event).with(LogField.OPEN_JOBS, loop.openJobs()).write();
    }

    /** Leaves out targets of other failure domains; a target's connections are divided over its domain's hosts only. */
    private Event ofDomain(Event event) {
        if (event instanceof Event.TargetsDeclared declared) {
            return new Event.TargetsDeclared(declared.targets().stream()
                    .filter(target -> target.domain().equals(settings.domain()))
                    .collect(ImmutableList.toImmutableList()));
        }
        return event;
    }

    private static HttpRequester.Limits targetLimits(EntrySettings settings) {
        return new HttpRequester.Limits(
                settings.limits().targetConnections(),
                settings.limits().totalConnections(),
                settings.timeouts().connect(),
                settings.timeouts().idleConnection(),
                settings.dispatch().targetIoThreads());
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

    private boolean isOwn(SubmissionId id) {
        return id.session().host().equals(settings.id()) && id.session().incarnation() == incarnation;
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

    private CompletableFuture<JobAnswer> forward(
            SubmissionId id, Function<InetSocketAddress, CompletableFuture<JobAnswer>> call) {
        if (id.session().host().equals(settings.id())) {
            return CompletableFuture.completedFuture(new JobAnswer.Final(Verdict.failed(Reason.OWNER_GONE)));
        }
        return Optional.ofNullable(peerAddresses.get(id.session().host()))
                .map(owner -> {
                    observer.forwarded();
                    return call.apply(owner);
                })
                .orElseGet(() -> CompletableFuture.completedFuture(PeerClient.unreachable()));
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
            targets.stop(stop);
        } else if (command instanceof Command.DeliverVerdict delivered) {
            answer(delivered.requester(), command);
        } else if (command instanceof Command.ReportUnused unused) {
            answer(unused.requester(), command);
        } else if (command instanceof Command.SessionGranted granted) {
            answer(granted.requester(), command);
        } else if (command instanceof Command.SessionRefused refused) {
            answer(refused.requester(), command);
        }
    }

    private void start(Command.StartTask start) {
        long began = System.nanoTime();
        config.drains().started(start);
        CompletableFuture<Void> _posted = targets.start(start).thenAccept(result -> {
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

    private ImmutableMap<String, String> entryDomains(HostListing listing) {
        Map<String, String> domains = new HashMap<>();
        listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY && host.state() == HostListing.State.LIVE)
                .forEach(host -> domains.put(host.id(), host.domain()));
        domains.put(settings.id(), settings.domain());
        return ImmutableMap.copyOf(domains);
    }

    private void refreshPeers() {
        if (leaving) {
            return;
        }
        CompletableFuture<HostListing> _refreshed = platform.hosts().whenComplete((listing, failure) -> {
            observer.platformRead(Optional.ofNullable(failure));
            config.listed(failure == null ? Optional.of(listing) : Optional.empty());
            if (failure == null) {
                loop.post(new Event.EntryHostsKnown(settings.domain(), entryDomains(listing)));
                peerAddresses = listing.hosts().stream()
                        .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                        .collect(ImmutableMap.toImmutableMap(
                                HostListing.Host::id,
                                host -> Addresses.parse(host.address()),
                                (_older, newer) -> newer));
            }
            CompletableFuture.delayedExecutor(settings.timeouts().hostsRefresh().toMillis(), TimeUnit.MILLISECONDS)
                    .execute(this::refreshPeers);
        });
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
