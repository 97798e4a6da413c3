package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * The membership service of one entry host: runs the table on its own thread and executes its actions. Thread-safe.
 *
 * <p>Its answers are hints for routing and never allow a host to start a task.
 */
public final class Membership implements OwnerDirectory, ExchangeHandler, AutoCloseable {
    /** Attachment key of the configuration offset. The value is eight bytes in big-endian order. */
    public static final String CONFIG_OFFSET = "config-offset";

    private final ExchangeTransport transport;
    private final MembershipSettings settings;
    private final MembershipListener listener;
    private final BlockingQueue<MembershipEvent> events = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::runLoop, "membership");
    private final Attachments attachments = new Attachments();
    private final AtomicLong nextToken = new AtomicLong();
    private final Map<Long, CompletableFuture<ExchangeEnvelope>> pendingExchanges = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<CheckResult>> pendingChecks = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Void>> pendingLeaves = new ConcurrentHashMap<>();
    private MembershipTable table;
    private long publishedRevision = -1;
    private volatile boolean closed;
    private volatile Optional<MembershipView> view = Optional.empty();

    private Membership(ExchangeTransport transport, MembershipSettings settings, MembershipListener listener) {
        this.listener = listener;
        this.transport = transport;
        this.settings = settings;
        thread.setDaemon(true);
    }

    /** Creates a membership. It fails every request until it is started. */
    public static Membership create(
            ExchangeTransport transport, MembershipSettings settings, MembershipListener listener) {
        return new Membership(transport, settings, listener);
    }

    /**
     * Starts the membership thread and the discovery of other entry hosts.
     *
     * @param self the first record of this host, with the addresses on which the host listens
     * @param seeds peer addresses of other entry hosts from the settings, {@code ip:port}
     */
    public void start(Member self, ImmutableSet<String> seeds) {
        checkState(view.isEmpty(), "membership is already started");
        table = MembershipTable.create(self, settings, self.fingerprint(), System.nanoTime());
        view = Optional.of(table.view());
        enqueue(new MembershipEvent.SeedsConfigured(seeds));
        thread.start();
    }

    /** Returns the current view of this host. */
    public MembershipView view() {
        return view.orElseThrow(() -> new IllegalStateException("membership is not started"));
    }

    @Override
    public Owner findOwner(String host, long incarnation) {
        return view().findOwner(host, incarnation);
    }

    /**
     * Updates the platform's list of entry hosts.
     *
     * @param addresses peer addresses of the listed entry hosts, {@code ip:port}
     * @param leavingHosts ids of the listed entry hosts that are marked as leaving
     */
    public void updateListedHosts(ImmutableSet<String> addresses, ImmutableSet<String> leavingHosts) {
        enqueue(new MembershipEvent.HostListRead(addresses, leavingHosts));
    }

    /**
     * Reports the result of a call that another module made to an entry host.
     *
     * @param host id of the host
     * @param incarnation the incarnation that was called
     * @param result result of the call
     */
    public void reportCall(String host, long incarnation, CheckResult result) {
        enqueue(new MembershipEvent.CallReported(host, incarnation, result));
    }

    /**
     * Registers a module whose value is attached to exchanges.
     *
     * @param key attachment key, the same on every host; at most one module can register it
     * @param module supplies the value of this host and receives the values of peers
     */
    public void registerAttachment(String key, Attachment module) {
        attachments.register(key, module);
    }

    /** Returns the last attachment that a host sent under a key, or the current one if the host is this host. */
    public Optional<ByteBuffer> attachmentOf(String host, String key) {
        return view().self().equals(host) ? attachments.ownValue(key) : attachments.latestValue(host, key);
    }

    /** Returns a report on each known host for operators, ordered by id. */
    public ImmutableList<HostReport> hostReports() {
        long now = System.nanoTime();
        return view().hosts().values().stream()
                .map(host -> HostReport.of(host, now, configOffset(host.member().id())))
                .sorted(Comparator.comparing(HostReport::id))
                .collect(ImmutableList.toImmutableList());
    }

    private long configOffset(String host) {
        return attachmentOf(host, CONFIG_OFFSET)
                .filter(value -> value.remaining() == Long.BYTES)
                .map(ByteBuffer::getLong)
                .orElse(-1L);
    }

    /** Returns how many attachments were dropped because a message had reached its size limit. */
    public long droppedAttachmentCount() {
        return attachments.droppedCount();
    }

    /**
     * Announces a planned stop. Call this first without a successor, then again with the successor once it has
     * everything.
     *
     * @param successor id of the host that has taken over the answers of this host
     * @return a future that completes when the calls to a few members have ended, or at the latest after two call
     *     timeouts
     */
    public CompletableFuture<Void> announceLeave(Optional<String> successor) {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        long token = nextToken.incrementAndGet();
        pendingLeaves.put(token, announced);
        enqueue(new MembershipEvent.LeaveRequested(token, successor));
        return announced.completeOnTimeout(null, settings.callTimeout().toMillis() * 2, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<ExchangeEnvelope> exchange(ExchangeEnvelope received) {
        return submitRequest(pendingExchanges, token -> new MembershipEvent.ExchangeReceived(token, received.message()))
                .whenComplete((_answer, failure) -> {
                    if (failure == null) {
                        attachments.dispatchReceived(received.message().sender(), received.attachments());
                    }
                });
    }

    @Override
    public CompletableFuture<CheckResult> check(String host, long incarnation, String peer) {
        return submitRequest(
                pendingChecks, token -> new MembershipEvent.CheckRequested(token, host, incarnation, peer));
    }

    /** Stops the membership at once, without announcing a leave. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private <T> CompletableFuture<T> submitRequest(
            Map<Long, CompletableFuture<T>> pendingRequests, LongFunction<MembershipEvent> event) {
        if (view.isEmpty()) {
            return CompletableFuture.failedFuture(new IllegalStateException("membership is not started"));
        }
        long token = nextToken.incrementAndGet();
        CompletableFuture<T> answer = new CompletableFuture<>();
        pendingRequests.put(token, answer);
        enqueue(event.apply(token));
        return answer.orTimeout(settings.callTimeout().toMillis() * 3, TimeUnit.MILLISECONDS)
                .whenComplete((_answer, _failure) -> pendingRequests.remove(token));
    }

    private void enqueue(MembershipEvent event) {
        events.add(event);
    }

    private void runLoop() {
        List<MembershipEvent> batch = new ArrayList<>();
        while (!closed) {
            try {
                awaitEvents(batch);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            tick(batch);
            batch.clear();
        }
    }

    private void awaitEvents(List<MembershipEvent> batch) throws InterruptedException {
        long waitNanos = Math.max(0, table.nextTickTime() - System.nanoTime());
        MembershipEvent first = events.poll(waitNanos, TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            events.drainTo(batch);
        }
    }

    private void tick(List<MembershipEvent> batch) {
        try {
            table.tick(batch, System.nanoTime()).forEach(this::execute);
            publishView();
        } catch (RuntimeException e) {
            // A single invalid event must not stop the membership of this host.
            listener.eventFailed(e);
        }
    }

    private void publishView() {
        if (table.revision() != publishedRevision) {
            publishedRevision = table.revision();
            MembershipView current = table.view();
            view = Optional.of(current);
            attachments.retainKnownHosts(current);
        }
    }

    private void execute(MembershipAction action) {
        if (action instanceof MembershipAction.SendExchange send) {
            send(send);
        } else if (action instanceof MembershipAction.SendCheck check) {
            send(check);
        } else if (action instanceof MembershipAction.ReplyToExchange reply) {
            complete(pendingExchanges, reply.token(), wrapMessage(reply.message()));
        } else if (action instanceof MembershipAction.ReplyToCheck reply) {
            complete(pendingChecks, reply.token(), reply.result());
        } else if (action instanceof MembershipAction.LeaveAnnounced announced) {
            complete(pendingLeaves, announced.token(), null);
        } else if (action instanceof MembershipAction.MemberChanged changed) {
            listener.memberChanged(changed.member(), changed.cause());
        } else if (action instanceof MembershipAction.SelfReplaced replaced) {
            listener.selfReplaced(replaced.newer());
        } else if (action instanceof MembershipAction.ProcessPauseDetected) {
            listener.processPauseDetected();
        }
    }

    private static <T> void complete(Map<Long, CompletableFuture<T>> pendingRequests, long token, T value) {
        Optional.ofNullable(pendingRequests.remove(token)).ifPresent(future -> future.complete(value));
    }

    private ExchangeEnvelope wrapMessage(ExchangeMessage message) {
        return new ExchangeEnvelope(message, attachments.collectOutgoing());
    }

    private void send(MembershipAction.SendExchange send) {
        CompletableFuture<Void> _posted = transport
                .exchange(send.address(), wrapMessage(send.message()), settings.callTimeout())
                .thenAccept(reply -> reply.answer()
                        .ifPresentOrElse(
                                answer -> handleAnswer(send.call(), answer),
                                () -> enqueue(new MembershipEvent.CallFailed(send.call(), reply.outcome()))));
    }

    private void handleAnswer(long call, ExchangeEnvelope answer) {
        enqueue(new MembershipEvent.ExchangeAnswered(call, answer.message()));
        attachments.dispatchReceived(answer.message().sender(), answer.attachments());
    }

    private void send(MembershipAction.SendCheck check) {
        CompletableFuture<Void> _posted = transport
                .check(
                        check.address(),
                        check.subject(),
                        settings.callTimeout().multipliedBy(3).dividedBy(2))
                .thenAccept(reply -> enqueue(reply.answer()
                        .<MembershipEvent>map(found -> new MembershipEvent.CheckAnswered(check.call(), found))
                        .orElseGet(() -> new MembershipEvent.CallFailed(check.call(), reply.outcome()))));
    }
}
