package org.mustardlink.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;

/**
 * Dispatches the open requests of one entry host to the masters of pools.
 *
 * <p>Not thread-safe. When a master is lost, its jobs are resent only to the next master of the same pool. That master
 * learns from the targets which tasks are running, so no task runs twice at the same time. A request that hasn't been
 * sent to a master may go to any pool.
 */
public final class RequestDispatcher {
    /** Retry delay for callers while no pool of the service has a master. A takeover takes well under a second. */
    private static final Duration NO_MASTER_RETRY_AFTER = Duration.ofSeconds(1);
    /**
     * Retry delay for callers whose job was redirected back to a pool that had declined it. Load figures are 0.1 s old.
     */
    private static final Duration DECLINED_RETRY_AFTER = Duration.ofSeconds(1);
    /**
     * Maximum number of other pools to which a job is offered after a pool has refused it. A round trip between domains
     * takes 3 ms, so each offer costs a fiftieth of the shortest latency objective.
     */
    private static final int MAX_OFFERS = 2;
    /** A request without a result is answered this long before its deadline, so that the response arrives in time. */
    private static final long RESPONSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Time before a job is sent again under a claim whose host has denied being the master. The write of a claim is
     * confirmed within this time.
     */
    private static final long DENIAL_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /** Interval between lookups of a missing master; half of {@link #DENIAL_RETRY_NANOS}. */
    private static final long MASTER_LOOKUP_INTERVAL_NANOS = DENIAL_RETRY_NANOS / 2;
    /**
     * Maximum time that an unassigned request waits for a master before it is refused. A planned handover takes less.
     */
    private static final long MASTER_WAIT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * A request that arrives less than this time before the shutdown of the host is refused, unless its deadline is
     * earlier than the shutdown. Callers usually set a deadline of 1.5 s.
     */
    private static final long MIN_TIME_TO_SHUTDOWN_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Retry delay for callers of a host that is shutting down. Another host accepts the retry. */
    private static final Duration SHUTDOWN_RETRY_AFTER = Duration.ofSeconds(1);

    private final String domain;
    private final PoolDirectory directory;
    private final DispatchActions actions;
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private long shutdownNanos = Long.MAX_VALUE;
    /** Lower bound of the time at which the next open request has to be answered; exact after {@link #tick}. */
    private long nextExpiryNanos = Long.MAX_VALUE;
    /** Whether some open request may have no master; exact after {@link #tick}. */
    private boolean anyMasterMissing;

    private static final class OpenRequest {
        private final JobOrder order;
        private final String service;
        private final long deadlineNanos;
        /** When the request last became unassigned: on its arrival or its last redirection. */
        private long unassignedSinceNanos;

        private Optional<PoolId> pool = Optional.empty();
        /** The pool to which a master has redirected the request. */
        private Optional<PoolId> redirectedTo = Optional.empty();

        private Optional<Claim> master = Optional.empty();
        /** The claim under which the job was last sent to a master; kept while no live master is known. */
        private Optional<Claim> lastSentTo = Optional.empty();
        /** The claims under which masters may still run the job, because they have sent no result. */
        private final Set<Claim> openClaims = new LinkedHashSet<>();

        private Optional<Claim> deniedClaim = Optional.empty();
        private long deniedNanos;
        private boolean assigned;
        /** Pools whose masters have refused or redirected the job; they would send the same result again. */
        private final Set<PoolId> declinedPools = new HashSet<>();
        /**
         * The refusal of the first pool, which could have queued the job. Other pools could only start it immediately.
         */
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
     * Creates a dispatcher without requests.
     *
     * @param domain failure domain of the entry host
     * @param directory the known pools, their masters and loads
     * @param actions carries out the decisions
     */
    public RequestDispatcher(String domain, PoolDirectory directory, DispatchActions actions) {
        this.domain = checkNotNull(domain, "domain");
        this.directory = checkNotNull(directory, "directory");
        this.actions = checkNotNull(actions, "actions");
    }

    /** Accepts a caller's request. {@code order.remaining()} is the time until its deadline. */
    public void submit(JobOrder order, String service, long now) {
        OpenRequest request = new OpenRequest(order, service, now);
        requests.put(request.number(), request);
        nextExpiryNanos = Math.min(nextExpiryNanos, request.deadlineNanos - RESPONSE_MARGIN_NANOS);
        if (shutdownNanos - now < Math.min(order.remaining().toNanos(), MIN_TIME_TO_SHUTDOWN_NANOS)) {
            finish(request, CallerResponse.notRun("the host is about to shut down", SHUTDOWN_RETRY_AFTER));
            return;
        }
        dispatch(request, now);
    }

    /**
     * Sets the time at which this host shuts down. From now on, requests that may not be answered by then are refused.
     */
    public void scheduleShutdown(long atNanos) {
        shutdownNanos = atNanos;
    }

    /** Answers every open request because the host shuts down now, and refuses all later requests. */
    public void shutDown(long now) {
        shutdownNanos = now;
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.assigned) {
                withdraw(request);
                finish(
                        request,
                        CallerResponse.of(CallerResponse.Kind.MAY_HAVE_RUN, "the host shut down before the job ended"));
            } else {
                finish(
                        request,
                        CallerResponse.notRun("the host shut down before a master was found", SHUTDOWN_RETRY_AFTER));
            }
        }
    }

    /** Returns the number of open requests. */
    public int openRequestCount() {
        return requests.size();
    }

    /** Returns the hosts that, as masters, have open requests of this dispatcher. */
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

    /**
     * Returns whether a host has just denied being the master under a claim. This host may learn of the claim before
     * the claiming host knows that the write of the claim has succeeded.
     */
    private static boolean isDenied(OpenRequest request, Claim master, long now) {
        return request.deniedClaim.filter(master::equals).isPresent() && now - request.deniedNanos < DENIAL_RETRY_NANOS;
    }

    private void sendOrder(OpenRequest request, PoolId pool, Claim master, long now) {
        boolean resumed = request.assigned;
        request.pool = Optional.of(pool);
        request.master = Optional.of(master);
        request.lastSentTo = Optional.of(master);
        request.openClaims.add(master);
        request.assigned = true;
        Duration remaining = Duration.ofNanos(Math.max(0, request.deadlineNanos - now));
        boolean isOwnDomain = pool.domain().equals(domain);
        boolean isOffer = request.firstRefusal.isPresent() && !resumed;
        JobOrder order = request.order.copyWith(remaining, resumed, isOwnDomain && !resumed && !isOffer);
        actions.submit(master, isOffer ? order.requiringImmediateStart() : order);
    }

    /**
     * Returns a pool of this host's domain if any has a master, otherwise the pool with the most free CPU. Within
     * the domain the id of the job determines the shard, so that a resent job reaches the shard that may still be
     * running it.
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
     * Handles the result that a master has sent. A result under a claim other than the one under which the job was last
     * sent is ignored, because the job may be running under the later claim. The exception is
     * {@link JobResult.Complete}, which holds no matter which master of the pool reports it. A result for a request of
     * an earlier process of this host is ignored as well: each process counts its requests from 1.
     *
     * @param id the request for which the result was given
     * @param claim the claim under which the master has sent the result
     */
    public void handleResult(RequestId id, Claim claim, JobResult result, long now) {
        OpenRequest request = requests.get(id.number());
        if (request == null || !request.order.request().equals(id)) {
            return;
        }
        request.openClaims.remove(claim);
        if (!request.lastSentTo.equals(Optional.of(claim))) {
            actions.recordSupersededResult(claim, id.number(), result);
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
        // A master that redirects a job hasn't started any of its tasks, so any pool may run the job.
        request.assigned = false;
        request.declinedPools.add(request.pool.orElseThrow());
        if (request.declinedPools.contains(pool)) {
            finish(
                    request,
                    CallerResponse.notRun("every pool with free capacity has declined the job", DECLINED_RETRY_AFTER));
            return;
        }
        // If that pool has no live master, the request waits for one. The pool that has redirected the job would only
        // redirect it again.
        request.redirectedTo = Optional.of(pool);
        request.unassignedSinceNanos = now;
        dispatch(request, now);
    }

    /**
     * Offers a refused job to another pool that may have free capacity, or else refuses the request. A pool that
     * refuses a job hasn't started any of its tasks. The known load of other domains is up to 2 s old, so the pool
     * itself decides whether it has the capacity.
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

    /** Withdraws the request of a caller that has disconnected. */
    public void handleCallerGone(long number) {
        OpenRequest request = requests.remove(number);
        if (request != null) {
            withdraw(request);
        }
    }

    /** Withdraws all requests for a job that its caller cancels. Returns whether there were any. */
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

    /**
     * Withdraws a request from every master that may still run its job, even if the master is currently silent or
     * was replaced: until it learns of the newer claim, it extends the leases of the targets that it reaches. The
     * master to which the request was last sent may have a repeated order, whatever its result was.
     */
    private void withdraw(OpenRequest request) {
        Set<Claim> claims = new LinkedHashSet<>(request.openClaims);
        if (request.assigned) {
            request.lastSentTo.ifPresent(claims::add);
        }
        claims.forEach(claim -> actions.withdraw(claim, request.order.request(), request.order.job()));
    }

    /**
     * Resends the jobs that were sent to a host whose connection was replaced. The host recognizes those it
     * has received.
     */
    public void resendOrders(String host, long now) {
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.master.isPresent() && request.master.get().host().equals(host)) {
                sendOrder(request, request.pool.orElseThrow(), request.master.get(), now);
            }
        }
    }

    /**
     * Returns the time by which {@link #tick} must be called: at the next deadline, or earlier while a request has no
     * master. The method is called after every event, so it doesn't iterate over the open requests.
     */
    public long nextTickNanos(long now) {
        return anyMasterMissing ? Math.min(nextExpiryNanos, now + MASTER_LOOKUP_INTERVAL_NANOS) : nextExpiryNanos;
    }

    /** Sends requests to new masters where masters have changed, and answers requests whose deadline is near. */
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
        finish(request, CallerResponse.of(CallerResponse.Kind.TIMED_OUT, "the deadline passed before the job ended"));
    }
}
