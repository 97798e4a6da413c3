package org.mustardlink.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.mustardlink.front.CallerResponse;
import org.mustardlink.front.DispatchActions;
import org.mustardlink.front.PoolDirectory;
import org.mustardlink.front.RequestDispatcher;
import org.mustardlink.ownership.Claim;

/**
 * Simulates callers that resend jobs, entry hosts, the masters of three pools, and targets with leases, and injects
 * faults into all of them. Time is simulated and there is no network. Runs with the same seed give the same result.
 *
 * <p>Each host is an entry host and may be the master of pools. Fixed detection times replace heartbeats in deciding
 * when another host claims a pool. Links, hosts and targets lose and delay messages within the limits that the
 * platform documents.
 */
final class FailoverSimulation {
    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("east", "north", "west");
    private static final int HOSTS_PER_DOMAIN = 3;
    private static final int TARGETS_PER_POOL = 4;
    private static final int TARGET_CPU_MILLIS = 32_000;
    private static final long NETWORK_DELAY_NANOS = NANOS_PER_MS / 2;
    private static final long LOCAL_DELAY_NANOS = NANOS_PER_MS / 50;
    private static final long CALLER_DELAY_NANOS = 3 * NANOS_PER_MS;
    private static final long TICK_INTERVAL_NANOS = 5 * NANOS_PER_MS;
    private static final long ORDER_TIMEOUT_NANOS = 120 * NANOS_PER_MS;
    private static final long REPORT_TIMEOUT_NANOS = 200 * NANOS_PER_MS;
    private static final long LEASE_MS = 1_000;
    /** Pause of callers before they resend a job, as documented by the platform. */
    private static final long RESEND_DELAY_NANOS = 1_300 * NANOS_PER_MS;

    /** Interval at which entry hosts confirm their open requests to masters and repeat their withdrawals. */
    private static final long HEARTBEAT_INTERVAL_NANOS = 300 * NANOS_PER_MS;
    /** Interval at which a host with masters runs its timers, which state pending starts. */
    private static final long TIMER_INTERVAL_NANOS = 100 * NANOS_PER_MS;
    /** Time for which withdrawals are repeated; a job has ended by then. */
    private static final long WITHDRAWAL_REPEAT_NANOS = 3_000 * NANOS_PER_MS;

    private static final long CALLER_TIMEOUT_NANOS = 1_500 * NANOS_PER_MS;
    /** Time after which the other hosts notice by refused connections that a host's process has ended. */
    private static final long CRASH_DETECTION_NANOS = 60 * NANOS_PER_MS;

    /** Silence of a host after which another host claims its pools. */
    private static final long MASTER_SILENCE_TIMEOUT_NANOS = 500 * NANOS_PER_MS;
    /** Silence of a host after which masters stop the jobs of its callers. */
    private static final long ENTRY_HOST_SILENCE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MS;
    /** Time after a host's start during which its list of targets may be incomplete. */
    private static final long TARGET_LIST_SETTLE_NANOS = 12_000 * NANOS_PER_MS;

    /** Minimum time between two attempts to open a link. */
    private static final long LINK_RETRY_DELAY_NANOS = 200 * NANOS_PER_MS;
    /** One message in this number is followed by a reset of its link or of the link back. */
    private static final int MESSAGES_PER_LINK_RESET = 8;
    /** Time after a message within which its link is reset; its answer is under way by then. */
    private static final long LINK_RESET_DELAY_NANOS = 5 * NANOS_PER_MS;

    /** Makes the draws of stalled links differ from the other draws of the same seed. */
    private static final long STALL_SEED = 0x6c617465;
    /** Longest time for which the links of a host stall before the host ends; shorter than the detection of silence. */
    private static final long MAX_STALL_NANOS = 800 * NANOS_PER_MS;
    /** Shortest lateness of a message of an ended host; all other hosts have noticed the end by then. */
    private static final long MIN_LATENESS_NANOS = 200 * NANOS_PER_MS;
    /** Longest lateness of such a message. */
    private static final long MAX_LATENESS_NANOS = 3_000 * NANOS_PER_MS;

    private final long seed;
    private final SplittableRandom random;
    private final boolean lateLeasesCountFromArrival;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::timeNanos).thenComparingLong(ScheduledEvent::sequence));
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    private final Map<PoolId, Claim> claims = new LinkedHashMap<>();
    private final Map<PoolId, ImmutableList<TargetEntry>> targetsByPool = new LinkedHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    private final long endNanos;
    /** The pool that gets most of the faults, so that several faults coincide. */
    private final PoolId focusPool;

    private long now = TimeUnit.SECONDS.toNanos(1);
    private long sequence;
    private long requestNumber;
    private int startCount;
    private int resentCount;
    private int takeoverCount;
    private int linkResetCount;
    private boolean traceEnabled;
    /** Draws the resets of links; empty if links aren't reset. */
    private Optional<SplittableRandom> linkRandom = Optional.empty();

    private int lateOrderCount;

    private record ScheduledEvent(long timeNanos, long sequence, Runnable action) {}

    /**
     * Creates a simulation.
     *
     * @param lateLeasesCountFromArrival whether a target counts the lease of an order that arrives late from the
     *     order's arrival, instead of rejecting the order when its deadline has passed
     */
    FailoverSimulation(long seed, boolean lateLeasesCountFromArrival, Duration duration) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.lateLeasesCountFromArrival = lateLeasesCountFromArrival;
        this.endNanos = now + duration.toNanos();
        this.focusPool = new PoolId("yard", DOMAINS.get(random.nextInt(DOMAINS.size())));
        for (String domain : DOMAINS) {
            PoolId pool = new PoolId("yard", domain);
            ImmutableList.Builder<TargetEntry> entries = ImmutableList.builder();
            for (int i = 0; i < TARGETS_PER_POOL; i++) {
                // A third of the clocks run slow, by nearly the 2% that the platform allows.
                SimulatedTarget target =
                        new SimulatedTarget(domain + "-t" + i, pool, random.nextInt(3) == 0 ? 0.981 : 1.0);
                targets.put(target.id, target);
                entries.add(target.entry());
            }
            targetsByPool.put(pool, entries.build());
            for (int i = 0; i < HOSTS_PER_DOMAIN; i++) {
                Host host = new Host(domain + "-" + i, domain);
                hosts.put(host.id, host);
            }
        }
        for (Host host : hosts.values()) {
            host.start(1, now - TARGET_LIST_SETTLE_NANOS - 1);
        }
        for (PoolId pool : targetsByPool.keySet()) {
            claim(pool, hosts.get(pool.domain() + "-0"));
        }
        schedule(now, this::tickHosts);
        schedule(now, this::sendHeartbeats);
        schedule(now, this::statePendingStarts);
        scheduleTraffic();
        scheduleFaults();
    }

    ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    /** Returns a line for each event; empty unless {@link #enableTrace} was called before the run. */
    ImmutableList<String> trace() {
        return ImmutableList.copyOf(trace);
    }

    int startCount() {
        return startCount;
    }

    int resentCount() {
        return resentCount;
    }

    int takeoverCount() {
        return takeoverCount;
    }

    int linkResetCount() {
        return linkResetCount;
    }

    /** Returns the number of orders that arrived after the end of their entry host, see {@link #enableLateMessages}. */
    int lateOrderCount() {
        return lateOrderCount;
    }

    private void schedule(long timeNanos, Runnable action) {
        events.add(new ScheduledEvent(timeNanos, sequence++, action));
    }

    private long randomNanos(long fromMs, long toMs) {
        return fromMs * NANOS_PER_MS + (long) (random.nextDouble() * (toMs - fromMs) * NANOS_PER_MS);
    }

    /** Makes the simulation record a line for each event. */
    FailoverSimulation enableTrace() {
        traceEnabled = true;
        return this;
    }

    /**
     * Makes the simulation reset links between hosts. What is under way on a link is lost, and so is what is sent on it
     * until it is opened again. Both hosts then repeat their orders.
     */
    FailoverSimulation enableLinkResets() {
        SplittableRandom resets = new SplittableRandom(~seed);
        linkRandom = Optional.of(resets);
        long timeNanos = now;
        while (timeNanos < endNanos) {
            timeNanos += resets.nextLong(1_500 * NANOS_PER_MS);
            boolean allHosts = resets.nextInt(4) == 0;
            schedule(timeNanos, () -> {
                List<Host> candidates = ImmutableList.copyOf(hosts.values());
                Host host = candidates.get(resets.nextInt(candidates.size()));
                log(() -> allHosts ? "reset most links" : "reset all links of " + host.id);
                candidates.stream()
                        .filter(other -> other == host || (allHosts && resets.nextInt(8) != 0))
                        .forEach(Host::resetLinks);
            });
        }
        return this;
    }

    /**
     * Makes the simulation end hosts whose links have stalled. What such a host has sent last, heartbeats as well as
     * orders, arrives after the other hosts have noticed its end, unless its next process has connected to them before.
     */
    FailoverSimulation enableLateMessages() {
        SplittableRandom stalls = new SplittableRandom(seed ^ STALL_SEED);
        long timeNanos = now + NANOS_PER_MS * 1_000;
        while (timeNanos < endNanos - NANOS_PER_MS * 5_000) {
            timeNanos += stalls.nextLong(3_000 * NANOS_PER_MS);
            long stallNanos = stalls.nextLong(MAX_STALL_NANOS);
            long lateNanos = stalls.nextLong(MIN_LATENESS_NANOS, MAX_LATENESS_NANOS);
            schedule(timeNanos, () -> {
                List<Host> candidates = hosts.values().stream()
                        .filter(host -> host.isAwake() && !host.isolated)
                        .toList();
                candidates.get(stalls.nextInt(candidates.size())).stallAndKill(stallNanos, lateNanos);
            });
        }
        return this;
    }

    private void log(Supplier<String> line) {
        if (traceEnabled) {
            trace.add("%.4f %s".formatted((now - TimeUnit.SECONDS.toNanos(1)) / 1e9, line.get()));
        }
    }

    void run() {
        while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
            ScheduledEvent next = events.poll();
            now = Math.max(now, next.timeNanos());
            next.action().run();
        }
        for (Job job : jobs.values()) {
            if (job.started && job.requestCount == job.refusalCount) {
                violations.add("a task started although every request for its job was refused: " + job.id);
            }
        }
    }

    private void tickHosts() {
        for (Host host : hosts.values()) {
            if (host.isAwake()) {
                host.tick();
            }
        }
        schedule(now + TICK_INTERVAL_NANOS, this::tickHosts);
    }

    private void sendHeartbeats() {
        for (Host sender : hosts.values()) {
            if (sender.isAwake()) {
                sender.sendHeartbeats();
            }
        }
        schedule(now + HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
    }

    private void statePendingStarts() {
        for (Host sender : hosts.values()) {
            if (sender.isAwake()) {
                sender.statePendingStarts();
            }
        }
        schedule(now + TIMER_INTERVAL_NANOS, this::statePendingStarts);
    }

    // ---- traffic ----

    /** A caller's job, with counts of its requests and refusals. */
    private static final class Job {
        private final String id;
        private final StepSpec step;
        private final long taskNanos;
        private int requestCount;
        private int refusalCount;
        private boolean started;

        private Job(String id, StepSpec step, long taskNanos) {
            this.id = id;
            this.step = step;
            this.taskNanos = taskNanos;
        }
    }

    private void scheduleTraffic() {
        for (String domain : DOMAINS) {
            for (long timeNanos = now + randomNanos(100, 400);
                    timeNanos < endNanos - 3_000 * NANOS_PER_MS;
                    timeNanos += randomNanos(20, 300)) {
                boolean wide = random.nextInt(4) == 0;
                long taskMs = wide ? 300 + random.nextInt(700) : 40 + random.nextInt(200);
                StepSpec step = new StepSpec(
                        wide ? 3 : 2,
                        new Capacity(14_000, 64, 0),
                        Duration.ofMillis(Math.max(10, (long) (taskMs * (0.6 + random.nextDouble())))),
                        ImmutableList.of(),
                        Optional.empty(),
                        Integer.MAX_VALUE);
                Job job = new Job("%016x".formatted(jobs.size() + 1), step, taskMs * NANOS_PER_MS);
                jobs.put(job.id, job);
                schedule(timeNanos, () -> sendRequest(job, domain));
            }
        }
    }

    private void sendRequest(Job job, String domain) {
        List<Host> liveHosts = hosts.values().stream()
                .filter(host -> !host.dead && (domain.isEmpty() || host.domain.equals(domain)))
                .toList();
        if (liveHosts.isEmpty()) {
            return;
        }
        Host host = liveHosts.get(random.nextInt(liveHosts.size()));
        job.requestCount++;
        CallerRequest callerRequest = new CallerRequest(job);
        host.openRequests.add(callerRequest);
        log(() -> "request " + job.requestCount + " for job " + job.id + " at " + host.id);
        host.scheduleAfter(CALLER_DELAY_NANOS, () -> {
            if (!host.isolated) {
                host.submit(callerRequest);
            }
        });
        schedule(now + CALLER_TIMEOUT_NANOS + 2 * CALLER_DELAY_NANOS, () -> {
            // The caller closes its connection; the host learns of it unless it is isolated.
            if (host.openRequests.remove(callerRequest)) {
                callerRequest.closed = true;
                host.scheduleAfter(CALLER_DELAY_NANOS, () -> host.callerDisconnected(callerRequest));
            }
        });
    }

    /** One request of a caller for a job; {@code closed} once it is answered, timed out or lost with its host. */
    private static final class CallerRequest {
        private final Job job;
        private long number;
        private boolean closed;

        private CallerRequest(Job job) {
            this.job = job;
        }
    }

    private void scheduleResend(Job job) {
        if (job.requestCount < 3) {
            schedule(now + RESEND_DELAY_NANOS, () -> {
                resentCount++;
                sendRequest(job, random.nextBoolean() ? "" : DOMAINS.get(random.nextInt(DOMAINS.size())));
            });
        }
    }

    // ---- faults ----

    private void scheduleFaults() {
        int count = 6 + random.nextInt(12);
        for (int i = 0; i < count; i++) {
            long timeNanos = now + randomNanos(1_000, TimeUnit.NANOSECONDS.toMillis(endNanos - now) - 5_000);
            int kind = random.nextInt(8);
            schedule(timeNanos, () -> injectFault(kind));
        }
    }

    /**
     * Returns the master of {@link #focusPool} in half of the calls, if it is live, and otherwise a random live host.
     */
    private Host randomHost() {
        Claim claim = claims.get(focusPool);
        Host master = hosts.get(claim.host());
        if (random.nextBoolean() && !master.dead) {
            return master;
        }
        List<Host> liveHosts =
                hosts.values().stream().filter(host -> !host.dead).toList();
        return liveHosts.get(random.nextInt(liveHosts.size()));
    }

    private SimulatedTarget randomTarget() {
        List<SimulatedTarget> candidates = targets.values().stream()
                .filter(target -> target.pool.equals(focusPool) || random.nextInt(4) == 0)
                .toList();
        return candidates.get(random.nextInt(candidates.size()));
    }

    private void injectFault(int kind) {
        SimulatedTarget target = randomTarget();
        switch (kind) {
            case 0, 1 -> randomHost().kill();
            case 2 -> randomHost().freeze(randomNanos(200, 4_000));
            case 3 -> randomHost().isolate(randomNanos(300, 4_000));
            case 4 -> randomHost().slowDown(randomNanos(1_000, 4_000));
            case 5 -> target.crash(randomNanos(100, 2_000));
            case 6 -> {
                log(() -> "isolate target " + target.id);
                target.isolated = true;
                schedule(now + randomNanos(200, 4_000), () -> target.isolated = false);
            }
            default -> {
                boolean late = random.nextBoolean();
                double share = 0.5;
                log(() -> (late ? "delay orders to target " : "lose responses of target ") + target.id);
                target.lateOrderShare = late ? share : 0;
                target.lostResponseShare = late ? 0 : share;
                schedule(now + randomNanos(1_000, 5_000), () -> {
                    target.lateOrderShare = 0;
                    target.lostResponseShare = 0;
                });
            }
        }
    }

    // ---- claims ----

    /**
     * Makes a host the master of a pool; the claim reaches other hosts after a few milliseconds, some after up to
     * 600 ms.
     */
    private void claim(PoolId pool, Host host) {
        int round = claims.containsKey(pool) ? claims.get(pool).round() + 1 : 1;
        Claim claim = new Claim(pool, host.id, host.incarnation, round);
        claims.put(pool, claim);
        takeoverCount += round > 1 ? 1 : 0;
        log(() -> "claim of pool " + pool + " by " + host.id + " in round " + round);
        host.becomeMaster(claim);
        for (Host other : hosts.values()) {
            if (other != host) {
                long delayNanos = random.nextInt(4) == 0 ? randomNanos(10, 600) : randomNanos(1, 6);
                sendClaim(host, other, claim, delayNanos);
            }
        }
    }

    private void sendClaim(Host host, Host other, Claim claim, long delayNanos) {
        other.scheduleAfter(delayNanos, () -> {
            if (host.isolated || other.isolated) {
                // Retries until neither host is isolated.
                schedule(now + 100 * NANOS_PER_MS, () -> sendClaim(host, other, claim, NETWORK_DELAY_NANOS));
                return;
            }
            other.receiveClaim(claim);
            host.scheduleAfter(NETWORK_DELAY_NANOS, () -> host.claimConfirmed(claim, other.id));
        });
    }

    /** Lets other hosts claim the pools of a host that is considered lost. */
    private void reassignPools(Host lostHost, long incarnation) {
        for (Map.Entry<PoolId, Claim> entry : ImmutableList.copyOf(claims.entrySet())) {
            Claim claim = entry.getValue();
            if (!claim.host().equals(lostHost.id) || claim.incarnation() != incarnation) {
                continue;
            }
            hosts.values().stream()
                    .filter(host -> host != lostHost && host.isAwake() && !host.isolated)
                    .min(Comparator.<Host, Boolean>comparing(
                                    host -> !host.domain.equals(entry.getKey().domain()))
                            .thenComparing(host -> host.masters.size()))
                    .ifPresent(next -> claim(entry.getKey(), next));
        }
    }

    private void notifyEntryHostLost(Host lostHost, long incarnation) {
        for (Host host : hosts.values()) {
            if (host != lostHost) {
                host.scheduleAfter(randomNanos(0, 100), () -> {
                    host.masters.values().forEach(hosted -> {
                        hosted.master.handleEntryHostLoss(lostHost.id, incarnation, now);
                        hosted.master.tickIfDue(now);
                    });
                    host.orderAdmission.recordEntryHostLoss(lostHost.id, incarnation, host.lastHeartbeatNumber);
                });
            }
        }
    }

    /** A master of a pool on its host, with the hosts that have confirmed its claim. */
    private static final class HostedMaster {
        private final Claim claim;
        private final PoolMaster master;
        private final long claimedNanos;
        private final Set<String> confirmedHosts = new HashSet<>();

        private HostedMaster(Claim claim, PoolMaster master, long claimedNanos) {
            this.claim = claim;
            this.master = master;
            this.claimedNanos = claimedNanos;
        }
    }

    /** The withdrawal of a request, which the heartbeats to a master's host repeat. */
    private record Withdrawal(Claim master, RequestId request, String job, long sinceNanos) {}

    /** The connection that a host has opened to another one, and on which it sends. */
    private static final class Link {
        private boolean open = true;
        /** Number of the connection; messages on replaced connections are dropped. */
        private long number;

        private long attemptedNanos = Long.MIN_VALUE / 2;
        /** Whether messages wait in the connection instead of arriving. */
        private boolean stalled;
        /** Delivers the messages that wait in the connection, in the order of their arrival. */
        private final List<Runnable> stalledMessages = new ArrayList<>();
    }

    /** An incarnation of an entry host. */
    private record EntryHost(String id, long incarnation) {}

    /** An entry host, which may also run masters of pools. */
    private final class Host {
        private final String id;
        private final String domain;
        private final Map<PoolId, HostedMaster> masters = new LinkedHashMap<>();
        private final Map<PoolId, Claim> knownClaims = new HashMap<>();
        private final Map<Long, CallerRequest> requestsByNumber = new HashMap<>();
        private final Map<String, Link> links = new HashMap<>();
        private final List<CallerRequest> openRequests = new ArrayList<>();
        private final HostDirectory directory = new HostDirectory();
        private final List<Withdrawal> withdrawals = new ArrayList<>();
        private final Map<EntryHost, Long> confirmedNanos = new HashMap<>();
        /** Number of the last heartbeat received from each process of another host. */
        private final Map<EntryHost, Long> receivedHeartbeats = new HashMap<>();

        private long lastHeartbeatNumber;
        private final RequestConfirmations confirmations = (request, nanos) ->
                request.host().equals(Host.this.id) && request.incarnation() == Host.this.incarnation
                        ? nanos
                        : confirmedNanos.getOrDefault(
                                new EntryHost(request.host(), request.incarnation()), Long.MIN_VALUE);
        private RequestDispatcher requestDispatcher;
        private OrderAdmission orderAdmission;
        private PendingStarts pendingStarts = new PendingStarts();
        private long incarnation;
        private long startedNanos;
        private long frozenUntilNanos;
        private long silentSinceNanos = Long.MAX_VALUE;
        private long busyUntilNanos;
        private boolean slow;
        private boolean dead;
        private boolean isolated;

        private Host(String id, String domain) {
            this.id = id;
            this.domain = domain;
        }

        private boolean isAwake() {
            return !dead && now >= frozenUntilNanos;
        }

        private void start(long newIncarnation, long startNanos) {
            incarnation = newIncarnation;
            startedNanos = startNanos;
            dead = false;
            slow = false;
            isolated = false;
            silentSinceNanos = Long.MAX_VALUE;
            masters.clear();
            withdrawals.clear();
            confirmedNanos.clear();
            receivedHeartbeats.clear();
            lastHeartbeatNumber = 0;
            pendingStarts = new PendingStarts();
            knownClaims.clear();
            knownClaims.putAll(claims);
            requestDispatcher = new RequestDispatcher(domain, directory, new HostDispatchActions());
            orderAdmission = new OrderAdmission(now);
        }

        /**
         * Runs an action on the host after a delay, or later if the host is frozen or busy by then. Drops the action if
         * the host's process has ended or been replaced.
         */
        private void scheduleAfter(long delayNanos, Runnable action) {
            long expectedIncarnation = incarnation;
            long actualDelayNanos = slow ? delayNanos + randomNanos(0, 60) : delayNanos;
            schedule(now + actualDelayNanos, () -> runWhenAwake(expectedIncarnation, action));
        }

        private void runWhenAwake(long expectedIncarnation, Runnable action) {
            if (dead || incarnation != expectedIncarnation) {
                return;
            }
            long availableNanos = Math.max(frozenUntilNanos, busyUntilNanos);
            if (now < availableNanos) {
                schedule(availableNanos, () -> runWhenAwake(expectedIncarnation, action));
                return;
            }
            busyUntilNanos = slow ? now + randomNanos(0, 5) : now;
            action.run();
        }

        private void tick() {
            requestDispatcher.tick(now);
            orderAdmission.expire(now);
            for (HostedMaster hosted : ImmutableList.copyOf(masters.values())) {
                boolean allConfirmed = hosts.values().stream()
                        .allMatch(other -> other == this
                                || hosted.confirmedHosts.contains(other.id)
                                || other.dead
                                || now - other.silentSinceNanos > MASTER_SILENCE_TIMEOUT_NANOS);
                if (allConfirmed) {
                    hosted.master.endHandover();
                }
                boolean earlierMastersEnded = hosts.values().stream()
                        .allMatch(other -> other == this
                                || hosted.confirmedHosts.contains(other.id)
                                || other.dead
                                || other.startedNanos > hosted.claimedNanos);
                if (earlierMastersEnded) {
                    hosted.master.confirmEarlierMastersEnded(now);
                }
                hosted.master.tickIfDue(now);
            }
        }

        /**
         * Sends a heartbeat to each other host. It is received when it arrives, also by a host that is frozen or busy
         * and handles it later.
         */
        private void sendHeartbeats() {
            sendHeartbeats(hosts.values());
        }

        private void sendHeartbeats(Collection<Host> receivers) {
            withdrawals.removeIf(withdrawal -> now - withdrawal.sinceNanos() > WITHDRAWAL_REPEAT_NANOS);
            EntryHost sender = new EntryHost(id, incarnation);
            ImmutableList<Withdrawal> sent = ImmutableList.copyOf(withdrawals);
            for (Host receiver : receivers) {
                if (receiver == this || receiver.dead || isolated || !linkTo(receiver).open) {
                    continue;
                }
                long receiverIncarnation = receiver.incarnation;
                Link link = linkTo(receiver);
                long linkNumber = link.number;
                lastHeartbeatNumber++;
                long number = lastHeartbeatNumber;
                long acknowledged =
                        receivedHeartbeats.getOrDefault(new EntryHost(receiver.id, receiver.incarnation), 0L);
                Runnable delivery = () -> {
                    long arrivalNanos = now;
                    receiver.runWhenAwake(receiverIncarnation, () -> {
                        sent.stream()
                                .filter(withdrawal -> withdrawal.master().host().equals(receiver.id))
                                .forEach(receiver::receiveWithdrawal);
                        receiver.confirmedNanos.put(sender, arrivalNanos);
                        receiver.receivedHeartbeats.put(sender, number);
                        receiver.orderAdmission.readmitEntryHost(sender.id(), sender.incarnation(), acknowledged);
                    });
                };
                schedule(now + 3 * NETWORK_DELAY_NANOS, () -> deliver(receiver, link, linkNumber, delivery, delivery));
            }
        }

        private void receiveWithdrawal(Withdrawal withdrawal) {
            HostedMaster hosted = masters.get(withdrawal.master().pool());
            if (hosted != null) {
                hosted.master.withdrawRequest(withdrawal.request(), withdrawal.job(), now);
                hosted.master.tickIfDue(now);
            }
            orderAdmission.recordWithdrawal(withdrawal.request());
        }

        private void kill() {
            log(() -> "kill host " + id);
            dead = true;
            long expectedIncarnation = incarnation;
            for (CallerRequest callerRequest : ImmutableList.copyOf(openRequests)) {
                if (!callerRequest.closed) {
                    callerRequest.closed = true;
                    scheduleResend(callerRequest.job);
                }
            }
            openRequests.clear();
            schedule(now + CRASH_DETECTION_NANOS, () -> {
                reassignPools(this, expectedIncarnation);
                notifyEntryHostLost(this, expectedIncarnation);
            });
            schedule(now + randomNanos(700, 3_000), () -> {
                log(() -> "restart host " + id);
                start(expectedIncarnation + 1, now);
                exchangePendingStarts();
            });
        }

        /** Stalls the links on which this host sends, and ends its process some time later. */
        private void stallAndKill(long stallNanos, long lateNanos) {
            log(() -> "stall the links of host " + id);
            long expectedIncarnation = incarnation;
            hosts.values().forEach(other -> linkTo(other).stalled = true);
            schedule(now + stallNanos, () -> {
                if (!dead && incarnation == expectedIncarnation) {
                    kill();
                }
                for (Host other : hosts.values()) {
                    Link link = linkTo(other);
                    ImmutableList<Runnable> messages = ImmutableList.copyOf(link.stalledMessages);
                    link.stalledMessages.clear();
                    link.stalled = false;
                    schedule(now + lateNanos, () -> deliverLate(messages, expectedIncarnation, other));
                }
            });
        }

        /** Delivers what an ended process has sent; the connection of its successor replaces that of the process. */
        private void deliverLate(ImmutableList<Runnable> messages, long sentIncarnation, Host receiver) {
            if (incarnation == sentIncarnation && !receiver.isolated) {
                log(() -> "late messages of host " + id + " arrive at " + receiver.id);
                messages.forEach(Runnable::run);
            }
        }

        private void freeze(long durationNanos) {
            log(() -> "freeze host " + id + " for " + durationNanos / NANOS_PER_MS + " ms");
            frozenUntilNanos = Math.max(frozenUntilNanos, now + durationNanos);
            markSilent(durationNanos);
        }

        private void isolate(long durationNanos) {
            log(() -> "isolate host " + id + " for " + durationNanos / NANOS_PER_MS + " ms");
            isolated = true;
            long expectedIncarnation = incarnation;
            markSilent(durationNanos);
            schedule(now + durationNanos, () -> {
                if (incarnation == expectedIncarnation) {
                    isolated = false;
                    exchangePendingStarts();
                }
            });
        }

        /** Does what hosts do when they are connected: each tells the other which starts it knows to be pending. */
        private void exchangePendingStarts() {
            for (Host other : hosts.values()) {
                if (other != this && other.isAwake()) {
                    sendPendingStarts(this, other, pendingStarts.known(now));
                    sendPendingStarts(other, this, other.pendingStarts.known(now));
                }
            }
        }

        private void statePendingStarts() {
            ImmutableList<PendingStartStatement> statements = pendingStarts.takeDueStatements(
                    masters.values().stream().map(hosted -> hosted.master).toList(), now);
            for (Host receiver : hosts.values()) {
                if (receiver != this && !statements.isEmpty()) {
                    sendPendingStarts(this, receiver, statements);
                }
            }
        }

        private void markSilent(long durationNanos) {
            long expectedIncarnation = incarnation;
            silentSinceNanos = now;
            long sinceNanos = now;
            schedule(now + MASTER_SILENCE_TIMEOUT_NANOS + randomNanos(0, 100), () -> {
                if (incarnation == expectedIncarnation && silentSinceNanos == sinceNanos) {
                    reassignPools(this, expectedIncarnation);
                }
            });
            schedule(now + ENTRY_HOST_SILENCE_TIMEOUT_NANOS + randomNanos(0, 100), () -> {
                if (incarnation == expectedIncarnation && silentSinceNanos == sinceNanos) {
                    notifyEntryHostLost(this, expectedIncarnation);
                }
            });
            schedule(now + durationNanos, () -> {
                if (silentSinceNanos == sinceNanos) {
                    silentSinceNanos = Long.MAX_VALUE;
                    // Links that have carried nothing are replaced.
                    linkRandom.ifPresent(_resets -> resetLinks());
                }
            });
        }

        private Link linkTo(Host other) {
            return links.computeIfAbsent(other.id, _id -> new Link());
        }

        /** Resets the links between this host and all others. */
        private void resetLinks() {
            for (Host other : hosts.values()) {
                if (other != this) {
                    resetLinkTo(other);
                    other.resetLinkTo(this);
                }
            }
        }

        /** Resets the link on which this host sends to another one, which loses what is under way on it. */
        private void resetLinkTo(Host other) {
            Link link = linkTo(other);
            if (!link.open) {
                return;
            }
            link.open = false;
            link.number++;
            linkResetCount++;
            // A host notices at once that both links to another host are closed, and otherwise with its timers.
            long maxDelayNanos = (other.linkTo(this).open ? 100 : 2) * NANOS_PER_MS;
            long noticedNanos = now + linkRandom.orElseThrow().nextLong(maxDelayNanos);
            schedule(Math.max(noticedNanos, link.attemptedNanos + LINK_RETRY_DELAY_NANOS), () -> openLinkTo(other));
        }

        /** Opens a link; then both hosts repeat the orders that they have sent to each other. */
        private void openLinkTo(Host other) {
            Link link = linkTo(other);
            link.attemptedNanos = now;
            if (!isAwake() || isolated || other.dead || other.isolated) {
                schedule(now + LINK_RETRY_DELAY_NANOS, () -> openLinkTo(other));
                return;
            }
            schedule(now + 2 * NETWORK_DELAY_NANOS, () -> {
                log(() -> "open link from " + id + " to " + other.id);
                link.open = true;
                sendMessage(this, other, () -> other.requestDispatcher.resendOrders(id, now));
                scheduleAfter(0, () -> {
                    requestDispatcher.resendOrders(other.id, now);
                    sendPendingStarts(this, other, pendingStarts.known(now));
                    sendHeartbeats(ImmutableList.of(other));
                });
            });
        }

        private void slowDown(long durationNanos) {
            log(() -> "slow down host " + id);
            slow = true;
            schedule(now + durationNanos, () -> slow = false);
        }

        private void becomeMaster(Claim claim) {
            knownClaims.put(claim.pool(), claim);
            SimulatedActions actions = new SimulatedActions(this, claim);
            long hostStartedNanos = startedNanos;
            actions.hosted = new HostedMaster(
                    claim,
                    new PoolMaster(
                            claim.pool(),
                            FencingToken.firstOfRound(claim.round(), claim.incarnation() * 31 + id.hashCode()),
                            new LeaseLimits(Duration.ofMillis(LEASE_MS), Duration.ofNanos(RESEND_DELAY_NANOS)),
                            confirmations,
                            actions,
                            order -> otherPoolWithCapacity(claim.pool(), order),
                            pendingStarts,
                            (_since, timeNanos) -> timeNanos - hostStartedNanos > TARGET_LIST_SETTLE_NANOS,
                            now),
                    now);
            HostedMaster hosted = actions.hosted;
            masters.put(claim.pool(), hosted);
            ImmutableList<TargetEntry> listed = targetsByPool.get(claim.pool());
            boolean recentlyStarted = now - startedNanos < 2_000 * NANOS_PER_MS;
            // A recently started host misses a target whose entry expired while the store was unreachable; the entry is
            // listed again within two seconds.
            hosted.master.updateTargets(recentlyStarted ? listed.subList(1, listed.size()) : listed, now);
            if (recentlyStarted) {
                schedule(startedNanos + 2_000 * NANOS_PER_MS, () -> refreshTargets(claim.pool()));
            }
        }

        private void refreshTargets(PoolId pool) {
            HostedMaster hosted = masters.get(pool);
            if (hosted != null && !dead) {
                hosted.master.updateTargets(targetsByPool.get(pool), now);
            }
        }

        private Optional<PoolId> otherPoolWithCapacity(PoolId pool, JobOrder order) {
            long neededCpuMillis = (long) order.steps().get(0).taskCount()
                    * order.steps().get(0).need().cpuMillis();
            return targetsByPool.keySet().stream()
                    .filter(other -> !other.equals(pool)
                            && directory.master(other, now).isPresent()
                            && load(other).freeCpuMillis() >= neededCpuMillis)
                    .findFirst();
        }

        private PoolLoad load(PoolId pool) {
            Claim claim = knownClaims.get(pool);
            HostedMaster hosted =
                    claim == null ? null : hosts.get(claim.host()).masters.get(pool);
            return hosted == null ? PoolLoad.NONE : hosted.master.load(now);
        }

        private void receiveClaim(Claim claim) {
            Claim old = knownClaims.get(claim.pool());
            if (old != null && !claim.supersedes(old)) {
                return;
            }
            knownClaims.put(claim.pool(), claim);
            HostedMaster hosted = masters.remove(claim.pool());
            if (hosted != null) {
                hosted.master.release();
                pendingStarts.recordOwn(hosted.master.pendingStarts(), now);
                pendingStarts.recordOwn(hosted.master.takeUnansweredStarts(), now);
            }
            requestDispatcher.tick(now);
        }

        private void claimConfirmed(Claim claim, String host) {
            HostedMaster hosted = masters.get(claim.pool());
            if (hosted != null && hosted.claim.equals(claim)) {
                hosted.confirmedHosts.add(host);
            }
        }

        private void submit(CallerRequest callerRequest) {
            if (callerRequest.closed) {
                return;
            }
            callerRequest.number = ++requestNumber;
            requestsByNumber.put(callerRequest.number, callerRequest);
            if (pendingStarts.contains(callerRequest.job.id)) {
                CallerResponse response = CallerResponse.of(CallerResponse.Kind.MAY_HAVE_RUN, "a start may be pending");
                schedule(now, () -> handleResponse(callerRequest.number, response));
                return;
            }
            JobOrder order = JobOrders.of(callerRequest.number, callerRequest.job.id, callerRequest.job.step, true);
            JobOrder hostOrder = new JobOrder(
                    new RequestId(id, incarnation, callerRequest.number),
                    order.job(),
                    order.route(),
                    "",
                    order.steps(),
                    order.maxAttempts(),
                    order.objective(),
                    order.stretch(),
                    order.remaining(),
                    false,
                    true,
                    false);
            requestDispatcher.submit(hostOrder, "yard", now);
        }

        private void callerDisconnected(CallerRequest callerRequest) {
            if (!isolated && requestsByNumber.remove(callerRequest.number) != null) {
                requestDispatcher.handleCallerGone(callerRequest.number);
            }
        }

        private void handleResponse(long number, CallerResponse response) {
            CallerRequest callerRequest = requestsByNumber.remove(number);
            if (callerRequest == null || callerRequest.closed || isolated) {
                return;
            }
            callerRequest.closed = true;
            openRequests.remove(callerRequest);
            log(() -> "response to job " + callerRequest.job.id + " at " + id + ": " + response.kind() + ", "
                    + response.reason());
            if (response.kind() == CallerResponse.Kind.NOT_RUN) {
                callerRequest.job.refusalCount++;
            } else if (response.kind() == CallerResponse.Kind.MAY_HAVE_RUN
                    || response.kind() == CallerResponse.Kind.TIMED_OUT) {
                scheduleResend(callerRequest.job);
            }
        }

        /** Handles an order that was sent to a claim of this host. */
        private void receiveOrder(Claim claim, JobOrder order) {
            Host sender = hosts.get(order.request().host());
            lateOrderCount +=
                    sender.dead || sender.incarnation != order.request().incarnation() ? 1 : 0;
            HostedMaster hosted = masters.get(claim.pool());
            OptionalInt masterRound = hosted == null ? OptionalInt.empty() : OptionalInt.of(hosted.claim.round());
            orderAdmission
                    .admit(claim.pool(), claim.round(), masterRound, order, now)
                    .ifPresentOrElse(result -> sendResult(claim, order.request(), result), () -> {
                        hosted.master.submitJob(order, now);
                        hosted.master.tickIfDue(now);
                    });
        }

        private void sendResult(Claim claim, RequestId request, JobResult result) {
            Host to = hosts.get(request.host());
            sendMessage(this, to, () -> to.requestDispatcher.handleResult(request, claim, result, now));
        }

        private final class HostDirectory implements PoolDirectory {
            @Override
            public ImmutableList<PoolId> pools(String _service) {
                return ImmutableList.copyOf(targetsByPool.keySet());
            }

            @Override
            public Optional<Claim> master(PoolId pool, long _now) {
                return Optional.ofNullable(knownClaims.get(pool)).filter(claim -> {
                    Host host = hosts.get(claim.host());
                    boolean unreachable = host.dead
                            || host.incarnation != claim.incarnation()
                            || now - host.silentSinceNanos > MASTER_SILENCE_TIMEOUT_NANOS
                            || (isolated && host != Host.this);
                    return !unreachable;
                });
            }

            @Override
            public PoolLoad load(PoolId pool) {
                return Host.this.load(pool);
            }
        }

        private final class HostDispatchActions implements DispatchActions {
            @Override
            public void submit(Claim master, JobOrder order) {
                log(() -> "order for job " + order.job() + " from " + id + " to " + master.host() + " pool "
                        + master.pool() + " round " + master.round() + (order.mayHaveStarted() ? " resumed" : ""));
                Host to = hosts.get(master.host());
                sendMessage(Host.this, to, () -> to.receiveOrder(master, order));
            }

            @Override
            public void withdraw(Claim master, RequestId request, String job) {
                Host to = hosts.get(master.host());
                Withdrawal withdrawal = new Withdrawal(master, request, job, now);
                withdrawals.add(withdrawal);
                sendMessage(Host.this, to, () -> to.receiveWithdrawal(withdrawal));
            }

            @Override
            public void recordSupersededResult(Claim _claim, long _request, JobResult _result) {}

            @Override
            public void respond(long request, CallerResponse response) {
                schedule(now, () -> handleResponse(request, response));
            }
        }
    }

    private void sendPendingStarts(Host from, Host to, ImmutableList<PendingStartStatement> statements) {
        Link link = from.linkTo(to);
        if (from.isolated || !link.open) {
            return;
        }
        long linkNumber = link.number;
        long receiverIncarnation = to.incarnation;
        Runnable delivery = () -> to.runWhenAwake(
                receiverIncarnation, () -> statements.forEach(statement -> to.pendingStarts.record(statement, now)));
        schedule(now + 3 * NETWORK_DELAY_NANOS, () -> deliver(to, link, linkNumber, delivery, delivery));
    }

    private void sendMessage(Host from, Host to, Runnable action) {
        if (from == to) {
            from.scheduleAfter(LOCAL_DELAY_NANOS, action);
            return;
        }
        Link link = from.linkTo(to);
        if (from.isolated || !link.open) {
            return;
        }
        long linkNumber = link.number;
        long receiverIncarnation = to.incarnation;
        Runnable lateDelivery = () -> to.runWhenAwake(receiverIncarnation, action);
        to.scheduleAfter(
                from.domain.equals(to.domain) ? NETWORK_DELAY_NANOS : 3 * NETWORK_DELAY_NANOS,
                () -> deliver(to, link, linkNumber, action, lateDelivery));
        linkRandom
                .filter(resets -> resets.nextInt(MESSAGES_PER_LINK_RESET) == 0)
                .ifPresent(resets -> scheduleLinkReset(from, to, resets));
    }

    /**
     * Delivers a message that has arrived, unless its connection was replaced or has stalled.
     *
     * @param delivery handles the message now
     * @param lateDelivery handles the message when the connection carries data again
     */
    private void deliver(Host to, Link link, long linkNumber, Runnable delivery, Runnable lateDelivery) {
        if (to.isolated || link.number != linkNumber) {
            return;
        }
        if (link.stalled) {
            link.stalledMessages.add(lateDelivery);
        } else {
            delivery.run();
        }
    }

    private void scheduleLinkReset(Host from, Host to, SplittableRandom resets) {
        int kind = resets.nextInt(3);
        schedule(now + resets.nextLong(LINK_RESET_DELAY_NANOS), () -> {
            log(() -> "reset " + (kind == 2 ? "both links" : "one link") + " between " + from.id + " and " + to.id);
            if (kind != 0) {
                from.resetLinkTo(to);
            }
            if (kind != 1) {
                to.resetLinkTo(from);
            }
        });
    }

    // ---- targets ----

    /** Carries out the orders of one master. */
    private final class SimulatedActions implements PoolActions {
        private final Host host;
        private final Claim claim;
        private HostedMaster hosted;

        private SimulatedActions(Host host, Claim claim) {
            this.host = host;
            this.claim = claim;
        }

        private void notifyMaster(Runnable event) {
            if (host.masters.get(claim.pool()) == hosted) {
                event.run();
                hosted.master.tickIfDue(now);
            }
        }

        /**
         * Sends an order to a target, unless the master's host or the target is isolated, and delivers the response.
         *
         * @param execute carries out the order at the target; its arguments tell whether the order arrives late, and
         *     take the delay and the handler of the response
         * @param onNoResponse runs on the master when no response has arrived within the timeout
         */
        private void sendOrder(
                SimulatedTarget target,
                long timeoutNanos,
                BiConsumer<Boolean, BiConsumer<Long, Runnable>> execute,
                Runnable onNoResponse) {
            boolean[] responded = {false};
            host.scheduleAfter(timeoutNanos, () -> {
                if (!responded[0]) {
                    responded[0] = true;
                    notifyMaster(onNoResponse);
                }
            });
            if (host.isolated || target.isolated) {
                return;
            }
            if (random.nextDouble() < target.lateOrderShare) {
                schedule(now + randomNanos(2_000, 12_000), () -> {
                    if (!target.down) {
                        execute.accept(true, (_delayNanos, _response) -> {});
                    }
                });
                return;
            }
            schedule(now + NETWORK_DELAY_NANOS, () -> {
                if (target.isolated || target.down) {
                    return;
                }
                execute.accept(
                        false,
                        (delayNanos, response) -> schedule(now + delayNanos, () -> {
                            if (host.isolated || target.isolated || random.nextDouble() < target.lostResponseShare) {
                                return;
                            }
                            host.scheduleAfter(NETWORK_DELAY_NANOS, () -> {
                                if (!responded[0]) {
                                    responded[0] = true;
                                    notifyMaster(response);
                                }
                            });
                        }));
            });
        }

        @Override
        public void startRun(TargetEntry entry, RunId run, String _payload, long deadlineMs, long fencingToken) {
            SimulatedTarget target = targets.get(entry.id());
            log(() ->
                    "start run " + describe(run) + " at " + entry.id() + " by " + host.id + " round " + claim.round());
            sendOrder(
                    target,
                    ORDER_TIMEOUT_NANOS,
                    (late, respond) -> {
                        OrderVerdict verdict = target.start(run, deadlineMs, fencingToken, late);
                        long clockMs = target.clockMs();
                        respond.accept(
                                0L, () -> hosted.master.handleStartResponse(entry.id(), run, verdict, clockMs, now));
                    },
                    () -> hosted.master.handleStartResponse(entry.id(), run, OrderVerdict.UNKNOWN, 0, now));
        }

        @Override
        public void stopRun(TargetEntry entry, RunId run, long fencingToken) {
            SimulatedTarget target = targets.get(entry.id());
            log(() -> "stop run " + describe(run) + " at " + entry.id() + " by " + host.id + " round " + claim.round());
            sendOrder(
                    target,
                    ORDER_TIMEOUT_NANOS,
                    (_late, respond) -> {
                        OrderVerdict verdict = target.stop(run, fencingToken);
                        long clockMs = target.clockMs();
                        respond.accept(
                                0L, () -> hosted.master.handleStopResponse(entry.id(), run, verdict, clockMs, now));
                    },
                    () -> hosted.master.handleStopResponse(entry.id(), run, OrderVerdict.UNKNOWN, 0, now));
        }

        @Override
        public void extendLease(TargetEntry entry, LeaseExtension order) {
            SimulatedTarget target = targets.get(entry.id());
            sendOrder(
                    target,
                    order.waitMs() * NANOS_PER_MS + REPORT_TIMEOUT_NANOS,
                    (late, respond) -> target.handleExtension(order, late, report -> {
                        if (report.isEmpty()) {
                            respond.accept(
                                    0L,
                                    () -> hosted.master.handleReportFailure(
                                            entry.id(), order.sequenceNumber(), OrderVerdict.FENCED, now));
                        } else {
                            respond.accept(
                                    0L,
                                    () -> hosted.master.handleReport(
                                            entry.id(), order.sequenceNumber(), report.get(), now));
                        }
                    }),
                    () -> hosted.master.handleReportFailure(
                            entry.id(), order.sequenceNumber(), OrderVerdict.UNKNOWN, now));
        }

        @Override
        public void sendResult(RequestId request, JobSummary job, JobResult result) {
            log(() -> "result of job " + job.id() + " by " + host.id + " " + claim.pool() + ": " + result);
            host.orderAdmission.recordResult(claim.pool(), claim.round(), request, result);
            host.sendResult(claim, request, result);
        }

        @Override
        public void reportFenced(TargetEntry _target) {}

        @Override
        public void recordPlacement(int _plannedJobs) {}

        @Override
        public void logStart(TargetEntry _target, RunId _run, StartTiming _timing) {}

        @Override
        public void logJobChange(String job, String change, String reason) {
            log(() -> change + ": job " + job + " by " + host.id + " " + claim.pool() + " round " + claim.round() + ": "
                    + reason);
        }

        @Override
        public void logTargetChange(TargetEntry target, String change, String reason) {
            log(() ->
                    change + ": target " + target.id() + " by " + host.id + " round " + claim.round() + ": " + reason);
        }
    }

    private static String describe(RunId run) {
        return run.task().job() + "." + run.task().index() + "#" + run.attempt();
    }

    /** Receives a report, or nothing if the target knows a higher fencing token. */
    @FunctionalInterface
    private interface ReportCallback {
        void accept(Optional<LeaseReport> report);
    }

    /** A target with one lease for all its runs, on a clock of its own that restarts with the target. */
    private final class SimulatedTarget {
        private final String id;
        private final PoolId pool;
        private final double clockRate;
        private final Map<RunId, Integer> cpuMillisByRun = new LinkedHashMap<>();
        private final Map<RunId, Long> startNanosByRun = new HashMap<>();
        private final List<LeaseReport.RunEnd> unacknowledgedEnds = new ArrayList<>();
        private final Map<TaskName, Integer> highestEndedRun = new HashMap<>();
        private final List<ReportCallback> pendingReports = new ArrayList<>();
        private int incarnation = 1;
        private long startedNanos;
        private long fencingToken;
        private long leaseEndMs;
        private long endCount;
        private boolean down;
        private boolean isolated;
        private double lateOrderShare;
        private double lostResponseShare;

        private SimulatedTarget(String id, PoolId pool, double clockRate) {
            this.id = id;
            this.pool = pool;
            this.clockRate = clockRate;
            this.startedNanos = now - randomNanos(10_000, 900_000);
        }

        private TargetEntry entry() {
            return new TargetEntry(
                    id,
                    1_000L * incarnation,
                    InetSocketAddress.createUnresolved(id, 1),
                    pool,
                    false,
                    new Capacity(TARGET_CPU_MILLIS, 1 << 16, 0),
                    ImmutableSet.of("a"));
        }

        private long clockMs() {
            return 1 + (long) ((now - startedNanos) * clockRate / NANOS_PER_MS);
        }

        private void crash(long durationNanos) {
            if (down) {
                return;
            }
            log(() -> "crash target " + id);
            down = true;
            cpuMillisByRun.clear();
            unacknowledgedEnds.clear();
            highestEndedRun.clear();
            pendingReports.clear();
            fencingToken = 0;
            leaseEndMs = 0;
            endCount = 0;
            incarnation++;
            schedule(now + durationNanos, () -> {
                down = false;
                startedNanos = now;
                log(() -> "restart target " + id);
                targetsByPool.computeIfPresent(
                        pool,
                        (_pool, entries) -> entries.stream()
                                .map(entry -> entry.id().equals(id) ? entry() : entry)
                                .collect(ImmutableList.toImmutableList()));
                schedule(now + randomNanos(5, 300), () -> hosts.values().forEach(host -> host.refreshTargets(pool)));
            });
        }

        /** Extends the lease to a deadline, but to at most {@link #LEASE_MS} from now, and schedules its expiry. */
        private void extendLease(long deadlineMs, boolean late) {
            long maxLeaseEndMs = clockMs() + LEASE_MS;
            leaseEndMs = Math.max(
                    leaseEndMs,
                    late && lateLeasesCountFromArrival ? maxLeaseEndMs : Math.min(deadlineMs, maxLeaseEndMs));
            long remainingNanos = (long) ((leaseEndMs - clockMs() + 1) / clockRate * NANOS_PER_MS) + NANOS_PER_MS;
            int current = incarnation;
            schedule(now + Math.max(0, remainingNanos), () -> {
                if (current == incarnation) {
                    expireLease();
                }
            });
        }

        private void expireLease() {
            if (clockMs() > leaseEndMs) {
                ImmutableList.copyOf(cpuMillisByRun.keySet()).forEach(run -> end(run, LeaseReport.RunOutcome.LAPSED));
            }
        }

        private OrderVerdict start(RunId run, long deadlineMs, long token, boolean late) {
            if (token < fencingToken) {
                return OrderVerdict.FENCED;
            }
            fencingToken = token;
            extendLease(deadlineMs, late);
            boolean overdue = deadlineMs < clockMs() && !(late && lateLeasesCountFromArrival);
            if (overdue) {
                return OrderVerdict.LATE;
            }
            if (cpuMillisByRun.containsKey(run)) {
                return OrderVerdict.DONE;
            }
            if (highestEndedRun.getOrDefault(run.task(), 0) >= run.attempt()) {
                return OrderVerdict.OLD;
            }
            Job job = jobs.get(run.task().job());
            int neededCpuMillis = job.step.need().cpuMillis();
            if (cpuMillisByRun.values().stream().mapToInt(Integer::intValue).sum() + neededCpuMillis
                    > TARGET_CPU_MILLIS) {
                violations.add("capacity exceeded on target " + id + " by run " + describe(run));
                log(() -> "violation: capacity exceeded on target " + id + " by run " + describe(run) + " beside "
                        + cpuMillisByRun.keySet());
            }
            for (SimulatedTarget other : targets.values()) {
                for (RunId present : other.cpuMillisByRun.keySet()) {
                    if (present.task().equals(run.task())) {
                        violations.add("second run of a task: " + describe(run) + " on " + id + " beside "
                                + describe(present) + " on " + other.id);
                        log(() -> "violation: second run of a task: " + describe(run) + " on " + id + " beside "
                                + describe(present) + " on " + other.id);
                    }
                }
            }
            log(() -> "started run " + describe(run) + " on " + id + (late ? " late" : ""));
            startCount++;
            job.started = true;
            cpuMillisByRun.put(run, neededCpuMillis);
            startNanosByRun.put(run, now);
            int current = incarnation;
            schedule(now + job.taskNanos, () -> {
                if (current == incarnation) {
                    end(run, LeaseReport.RunOutcome.DONE);
                }
            });
            return OrderVerdict.DONE;
        }

        private void end(RunId run, LeaseReport.RunOutcome how) {
            if (cpuMillisByRun.remove(run) == null) {
                return;
            }
            log(() -> "ended run " + describe(run) + " on " + id + " " + how);
            highestEndedRun.merge(run.task(), run.attempt(), Math::max);
            unacknowledgedEnds.add(new LeaseReport.RunEnd(++endCount, run, how));
            List<ReportCallback> callbacks = ImmutableList.copyOf(pendingReports);
            pendingReports.clear();
            callbacks.forEach(callback -> callback.accept(Optional.of(report())));
        }

        private OrderVerdict stop(RunId run, long token) {
            if (token < fencingToken) {
                return OrderVerdict.FENCED;
            }
            fencingToken = token;
            highestEndedRun.merge(run.task(), run.attempt(), Math::max);
            int current = incarnation;
            schedule(now + randomNanos(1, 50), () -> {
                if (current == incarnation) {
                    end(run, LeaseReport.RunOutcome.STOPPED);
                }
            });
            return OrderVerdict.DONE;
        }

        private void handleExtension(LeaseExtension order, boolean late, ReportCallback callback) {
            if (order.fencingToken() < fencingToken) {
                callback.accept(Optional.empty());
                return;
            }
            fencingToken = order.fencingToken();
            expireLease();
            order.leaseDeadlineMs().ifPresent(deadline -> extendLease(deadline, late));
            unacknowledgedEnds.removeIf(end -> end.sequenceNumber() <= order.acknowledgedUpTo());
            if (!unacknowledgedEnds.isEmpty() || order.waitMs() == 0) {
                callback.accept(Optional.of(report()));
                return;
            }
            pendingReports.add(callback);
            int current = incarnation;
            schedule(now + order.waitMs() * NANOS_PER_MS, () -> {
                if (current == incarnation && pendingReports.remove(callback)) {
                    callback.accept(Optional.of(report()));
                }
            });
        }

        private LeaseReport report() {
            ImmutableList.Builder<LeaseReport.RunProgress> runProgress = ImmutableList.builder();
            cpuMillisByRun.keySet().forEach(run -> {
                long taskNanos = Math.max(1, jobs.get(run.task().job()).taskNanos);
                runProgress.add(new LeaseReport.RunProgress(
                        run, (int) Math.min(99, (now - startNanosByRun.get(run)) * 100 / taskNanos)));
            });
            return new LeaseReport(
                    clockMs(), 1_000L * incarnation, runProgress.build(), ImmutableList.copyOf(unacknowledgedEnds));
        }
    }
}
