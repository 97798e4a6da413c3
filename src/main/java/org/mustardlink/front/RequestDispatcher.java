package org.mustardlink.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;

/**
 * The open requests of one entry host.
 *
 * <p>Not thread-safe. A job that was handed to a master which is lost goes to the next master of the same pool only: that
 * one learns from the targets what runs, so no task gets a second run beside a first one. A request that no master has
 * seen may go to any pool.
 */
public final class RequestDispatcher {
    /** Time that a caller is told to stay away while no pool has a master; a takeover takes well below a second. */
    private static final Duration NO_MASTER_RETRY_AFTER = Duration.ofSeconds(1);
    /** Time that a caller is told to stay away when the pools pass its job on; their load figures are 0.1 s old. */
    private static final Duration DECLINED_RETRY_AFTER = Duration.ofSeconds(1);
    /**
     * Other pools that are asked for room for a job which one has refused. An answer takes 3 ms between domains, a fiftieth of
     * the shortest objective for each.
     */
    private static final int MAX_OFFERS = 2;
    /** A request whose pool has lost its master is given up this long before its deadline, so that the answer arrives. */
    private static final long RESPONSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Pause before a host that has denied to be the master is asked again; a write of a claim is answered within it. */
    private static final long DENIAL_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /** Interval at which a master is looked for; half of the pause before one that denies is asked again. */
    private static final long MASTER_LOOKUP_INTERVAL_NANOS = DENIAL_RETRY_NANOS / 2;
    /** A new request waits this long for some master before it is refused; a planned handover takes less. */
    private static final long MASTER_WAIT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** A request that comes later than this before the host's end is refused; callers' usual deadline is 1.5 s. */
    private static final long MIN_TIME_TO_SHUTDOWN_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Time that a caller is told to stay away from a host that is about to end; another host takes the next try. */
    private static final Duration SHUTDOWN_RETRY_AFTER = Duration.ofSeconds(1);

    private final String domain;
    private final PoolDirectory directory;
    private final DispatchActions actions;
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private long shutdownNanos = Long.MAX_VALUE;
    /** No later than any open request has to be answered; exact after a tick. */
    private long nextExpiryNanos = Long.MAX_VALUE;
    /** Whether a request may lack a master; exact after a tick. */
    private boolean anyMasterMissing;

    private static final class OpenRequest {
        private final JobOrder order;
        private final String service;
        private final long deadlineNanos;
        /** When no pool has had the request since: its arrival, or its last redirection. */
        private long unassignedSinceNanos;

        private Optional<PoolId> pool = Optional.empty();
        /** The pool that a redirection has named. */
        private Optional<PoolId> redirectedTo = Optional.empty();

        private Optional<Claim> master = Optional.empty();
        /** The claim to which the order went last, also while no live master is known. */
        private Optional<Claim> lastSentTo = Optional.empty();

        private Optional<Claim> deniedClaim = Optional.empty();
        private long deniedNanos;
        private boolean assigned;
        /** Pools whose masters have refused or redirected the job; they would give the same answer again. */
        private final Set<PoolId> declinedPools = new HashSet<>();
        /** The refusal of the pool that would have queued the job; the others were asked for room only. */
        private Optional<JobResult.Refused> firstRefusal = Optional.empty();

        private int offerCount;

        private OpenRequest(JobOrder order, String service, long now) {
            this.order = order;
            this.service = service;
            this.unassignedSinceNanos = now;
            this.deadlineNanos = now + order.remaining().toNanos();
        }

        private long number() {
            return order.request().number();
        }
    }

    /**
     * Creates a front without requests.
     *
     * @param domain failure domain of the entry host
     * @param directory what is known of pools
     * @param actions carries decisions out
     */
    public RequestDispatcher(String domain, PoolDirectory directory, DispatchActions actions) {
        this.domain = checkNotNull(domain, "domain");
        this.directory = checkNotNull(directory, "directory");
        this.actions = checkNotNull(actions, "actions");
    }

    /** Takes a caller's request; {@code order.remaining()} is the time to its deadline. */
    public void submit(JobOrder order, String service, long now) {
        OpenRequest request = new OpenRequest(order, service, now);
        requests.put(request.number(), request);
        nextExpiryNanos = Math.min(nextExpiryNanos, request.deadlineNanos - RESPONSE_MARGIN_NANOS);
        if (shutdownNanos - now < Math.min(order.remaining().toNanos(), MIN_TIME_TO_SHUTDOWN_NANOS)) {
            finish(request, CallerResponse.notRun("the host is about to end", SHUTDOWN_RETRY_AFTER));
            return;
        }
        dispatch(request, now);
    }

    /** Notes when this host ends: from then on requests that may not be answered in time are refused. */
    public void scheduleShutdown(long atNanos) {
        shutdownNanos = atNanos;
    }

    /** Answers every open request, because the host ends now, and refuses all that come later. */
    public void shutDown(long now) {
        shutdownNanos = now;
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.assigned) {
                withdraw(request);
                finish(request, CallerResponse.of(CallerResponse.Kind.MAY_HAVE_RUN, "the host ends"));
            } else {
                finish(request, CallerResponse.notRun("the host ends", SHUTDOWN_RETRY_AFTER));
            }
        }
    }

    /** Returns the number of open requests. */
    public int openRequestCount() {
        return requests.size();
    }

    /** Returns the hosts whose masters have open requests of this front. */
    public Set<String> mastersInUse() {
        Set<String> hosts = new HashSet<>();
        requests.values().forEach(request -> request.master.ifPresent(claim -> hosts.add(claim.host())));
        return hosts;
    }

    private void dispatch(OpenRequest request, long now) {
        Optional<PoolId> pool =
                request.assigned ? request.pool : request.redirectedTo.or(() -> choosePool(request, now));
        Optional<Claim> master = pool.flatMap(known -> directory.master(known, now));
        if (master.isEmpty() || isDenied(request, master.get(), now)) {
            clearMaster(request);
            return;
        }
        sendOrder(request, pool.get(), master.get(), now);
    }

    /** Returns whether a host has just denied to be the master; its claim may be known here before it knows itself. */
    private static boolean isDenied(OpenRequest request, Claim master, long now) {
        return request.deniedClaim.filter(master::equals).isPresent() && now - request.deniedNanos < DENIAL_RETRY_NANOS;
    }

    private void sendOrder(OpenRequest request, PoolId pool, Claim master, long now) {
        boolean resumed = request.assigned;
        request.pool = Optional.of(pool);
        request.master = Optional.of(master);
        request.lastSentTo = Optional.of(master);
        request.assigned = true;
        Duration remaining = Duration.ofNanos(Math.max(0, request.deadlineNanos - now));
        boolean isOwnDomain = pool.domain().equals(domain);
        boolean isOffer = request.firstRefusal.isPresent() && !resumed;
        JobOrder order = request.order.with(remaining, resumed, isOwnDomain && !resumed && !isOffer);
        actions.submit(master, isOffer ? order.offered() : order);
    }

    /**
     * Returns a shard of the own domain if any has a master, otherwise the pool with most room. A job that is sent again goes
     * to the shard that may still have it.
     */
    private Optional<PoolId> choosePool(OpenRequest request, long now) {
        List<PoolId> localPools = new ArrayList<>();
        List<PoolId> remotePools = new ArrayList<>();
        for (PoolId pool : directory.pools(request.service)) {
            if (directory.master(pool, now).isPresent()) {
                (pool.domain().equals(domain) ? localPools : remotePools).add(pool);
            }
        }
        if (!localPools.isEmpty()) {
            return Optional.of(localPools.get(Math.floorMod(request.order.job().hashCode(), localPools.size())));
        }
        return remotePools.stream()
                .max(Comparator.comparingInt(pool -> directory.load(pool).freeCpuMillis()));
    }

    /**
     * Takes a master's answer. One under another claim than that to which the order went last is passed over, because the
     * job may be running under the last one; only that every task is done stays true, whichever master of the pool says it.
     *
     * @param claim the claim under which the master answers
     */
    public void handleResult(long number, Claim claim, JobResult result, long now) {
        OpenRequest request = requests.get(number);
        if (request == null) {
            return;
        }
        if (!request.lastSentTo.equals(Optional.of(claim))) {
            actions.recordSupersededResult(claim, number, result);
            if (result instanceof JobResult.Complete && request.pool.equals(Optional.of(claim.pool()))) {
                withdraw(request);
                finish(request, CallerResponse.of(CallerResponse.Kind.COMPLETE, "complete"));
            }
            return;
        }
        if (result instanceof JobResult.Complete) {
            finish(request, CallerResponse.of(CallerResponse.Kind.COMPLETE, "complete"));
        } else if (result instanceof JobResult.Failed failed) {
            finish(request, CallerResponse.of(CallerResponse.Kind.FAILED, failed.why()));
        } else if (result instanceof JobResult.Refused refused) {
            handleRefusal(request, refused, now);
        } else if (result instanceof JobResult.Abandoned abandoned) {
            finish(request, CallerResponse.of(CallerResponse.Kind.TIMED_OUT, abandoned.why()));
        } else if (result instanceof JobResult.Moved) {
            request.deniedNanos = now;
            request.deniedClaim = request.master.or(() -> request.deniedClaim);
            clearMaster(request);
            dispatch(request, now);
        } else if (result instanceof JobResult.Redirected redirected) {
            redirect(request, redirected.pool(), now);
        }
    }

    private void redirect(OpenRequest request, PoolId pool, long now) {
        // The master that redirects has started nothing, so any pool may take the job.
        request.assigned = false;
        request.declinedPools.add(request.pool.orElseThrow());
        if (request.declinedPools.contains(pool)) {
            finish(request, CallerResponse.notRun("every pool with room has declined the job", DECLINED_RETRY_AFTER));
            return;
        }
        // Without a live master it waits for one: the pool that redirects would give a repeated order the same answer.
        request.redirectedTo = Optional.of(pool);
        request.unassignedSinceNanos = now;
        dispatch(request, now);
    }

    /**
     * Offers the job to another pool that may have room, or tells the caller; a pool that refuses has started nothing. What is
     * known of other domains' loads is up to 2 s old, so the pool itself says whether it has room.
     */
    private void handleRefusal(OpenRequest request, JobResult.Refused refusal, long now) {
        request.declinedPools.add(request.pool.orElseThrow());
        JobResult.Refused firstRefusal = request.firstRefusal.orElse(refusal);
        request.firstRefusal = Optional.of(firstRefusal);
        Optional<PoolId> alternative =
                request.offerCount == MAX_OFFERS ? Optional.empty() : poolWithMostCapacity(request, now);
        if (alternative.isEmpty()) {
            finish(request, CallerResponse.notRun(firstRefusal.why(), firstRefusal.retryAfter()));
            return;
        }
        request.offerCount++;
        request.assigned = false;
        sendOrder(
                request,
                alternative.get(),
                directory.master(alternative.get(), now).orElseThrow(),
                now);
    }

    private Optional<PoolId> poolWithMostCapacity(OpenRequest request, long now) {
        return directory.pools(request.service).stream()
                .filter(pool -> !request.declinedPools.contains(pool)
                        && directory.master(pool, now).isPresent()
                        && directory.mayHaveCapacity(pool, request.order, now))
                .max(Comparator.comparingInt(pool -> directory.load(pool).freeCpuMillis()));
    }

    private void finish(OpenRequest request, CallerResponse response) {
        requests.remove(request.number());
        actions.respond(request.number(), response);
    }

    /** Takes the departure of a caller. */
    public void handleCallerGone(long number) {
        OpenRequest request = requests.remove(number);
        if (request != null) {
            withdraw(request);
        }
    }

    /** Withdraws the requests for a job that its caller cancels; returns whether there is any. */
    public boolean cancelJob(String job) {
        boolean found = false;
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.order.job().equals(job)) {
                found = true;
                withdraw(request);
                finish(request, CallerResponse.of(CallerResponse.Kind.MAY_HAVE_RUN, "canceled"));
            }
        }
        return found;
    }

    /** Withdraws a request from the master that got it last; one that is silent now may go on with it later. */
    private void withdraw(OpenRequest request) {
        if (request.assigned) {
            request.lastSentTo.ifPresent(
                    claim -> actions.withdraw(claim, request.order.request(), request.order.job()));
        }
    }

    /** Repeats the orders that went to a host whose connection was replaced; the host knows those that it got. */
    public void resendOrders(String host, long now) {
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.master.isPresent() && request.master.get().host().equals(host)) {
                sendOrder(request, request.pool.orElseThrow(), request.master.get(), now);
            }
        }
    }

    /**
     * Returns when {@link #tick} has to follow at the latest: with the next deadline, and soon while a request has no master.
     * Asked after every event, so it doesn't look at the open requests.
     */
    public long nextTickNanos(long now) {
        return anyMasterMissing ? Math.min(nextExpiryNanos, now + MASTER_LOOKUP_INTERVAL_NANOS) : nextExpiryNanos;
    }

    /** Goes on with requests whose master has changed, and answers those whose time is over. */
    public void tick(long now) {
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (now >= request.deadlineNanos - RESPONSE_MARGIN_NANOS) {
                expire(request);
            } else if (request.assigned) {
                followMaster(request, now);
            } else {
                dispatch(request, now);
                if (!request.assigned && now - request.unassignedSinceNanos > MASTER_WAIT_TIMEOUT_NANOS) {
                    finish(
                            request,
                            CallerResponse.notRun("no pool of the service has a live master", NO_MASTER_RETRY_AFTER));
                }
            }
        }
        nextExpiryNanos = Long.MAX_VALUE;
        anyMasterMissing = false;
        for (OpenRequest request : requests.values()) {
            nextExpiryNanos = Math.min(nextExpiryNanos, request.deadlineNanos - RESPONSE_MARGIN_NANOS);
            anyMasterMissing |= request.master.isEmpty();
        }
    }

    private void followMaster(OpenRequest request, long now) {
        Optional<Claim> current = directory.master(request.pool.orElseThrow(), now);
        if (current.isEmpty()) {
            clearMaster(request);
        } else if (!current.equals(request.master) && !isDenied(request, current.get(), now)) {
            sendOrder(request, request.pool.get(), current.get(), now);
        }
    }

    private void clearMaster(OpenRequest request) {
        request.master = Optional.empty();
        anyMasterMissing = true;
    }

    private void expire(OpenRequest request) {
        if (!request.assigned) {
            finish(
                    request,
                    CallerResponse.notRun("the deadline passed before a master was found", NO_MASTER_RETRY_AFTER));
            return;
        }
        withdraw(request);
        finish(request, CallerResponse.of(CallerResponse.Kind.TIMED_OUT, "the deadline passed"));
    }
}
