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
public final class Front {
    /** Time that a caller is told to stay away while no pool has a master; a takeover takes well below a second. */
    private static final Duration NO_MASTER_RETRY = Duration.ofSeconds(1);
    /** Time that a caller is told to stay away when the pools pass its job on; their load figures are 0.1 s old. */
    private static final Duration DECLINED_RETRY = Duration.ofSeconds(1);
    /**
     * Other pools that are asked for room for a job which one has refused. An answer takes 3 ms between domains, a fiftieth of
     * the shortest objective for each.
     */
    private static final int MAX_OFFERS = 2;
    /** A request whose pool has lost its master is given up this long before its deadline, so that the answer arrives. */
    private static final long LAST_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Pause before a host that has denied to be the master is asked again; a write of a claim is answered within it. */
    private static final long DENIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /** Interval at which a master is looked for; half of the pause before one that denies is asked again. */
    private static final long RETRY_NANOS = DENIAL_NANOS / 2;
    /** A new request waits this long for some master before it is refused; a planned handover takes less. */
    private static final long MASTER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** A request that comes later than this before the host's end is refused; callers' usual deadline is 1.5 s. */
    private static final long LAST_TAKE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Time that a caller is told to stay away from a host that is about to end; another host takes the next try. */
    private static final Duration ENDING_RETRY = Duration.ofSeconds(1);

    private final String domain;
    private final PoolDirectory directory;
    private final FrontActions actions;
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private long endNanos = Long.MAX_VALUE;
    /** No later than any open request has to be answered; exact after a tick. */
    private long firstEndNanos = Long.MAX_VALUE;
    /** Whether a request may lack a master; exact after a tick. */
    private boolean masterMissing;

    private static final class OpenRequest {
        private final JobOrder order;
        private final String service;
        private final long deadlineNanos;
        /** When no pool has had the request since: its arrival, or its last redirection. */
        private long unboundNanos;

        private Optional<PoolId> pool = Optional.empty();
        /** The pool that a redirection has named. */
        private Optional<PoolId> pointedTo = Optional.empty();

        private Optional<Claim> master = Optional.empty();
        /** The claim to which the order went last, also while no live master is known. */
        private Optional<Claim> sentTo = Optional.empty();

        private Optional<Claim> deniedBy = Optional.empty();
        private long deniedNanos;
        private boolean bound;
        /** Pools whose masters have refused or redirected the job; they would give the same answer again. */
        private final Set<PoolId> declinedBy = new HashSet<>();
        /** The refusal of the pool that would have queued the job; the others were asked for room only. */
        private Optional<JobResult.Refused> refusal = Optional.empty();

        private int offers;

        private OpenRequest(JobOrder order, String service, long now) {
            this.order = order;
            this.service = service;
            this.unboundNanos = now;
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
    public Front(String domain, PoolDirectory directory, FrontActions actions) {
        this.domain = checkNotNull(domain, "domain");
        this.directory = checkNotNull(directory, "directory");
        this.actions = checkNotNull(actions, "actions");
    }

    /** Takes a caller's request; {@code order.remaining()} is the time to its deadline. */
    public void submit(JobOrder order, String service, long now) {
        OpenRequest request = new OpenRequest(order, service, now);
        requests.put(request.number(), request);
        firstEndNanos = Math.min(firstEndNanos, request.deadlineNanos - LAST_ANSWER_NANOS);
        if (endNanos - now < Math.min(order.remaining().toNanos(), LAST_TAKE_NANOS)) {
            end(request, Answer.notRun("the host is about to end", ENDING_RETRY));
            return;
        }
        dispatch(request, now);
    }

    /** Notes when this host ends: from then on requests that may not be answered in time are refused. */
    public void endAt(long end) {
        endNanos = end;
    }

    /** Answers every open request, because the host ends now, and refuses all that come later. */
    public void endNow(long now) {
        endNanos = now;
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.bound) {
                withdraw(request);
                end(request, Answer.of(Answer.Kind.MAY_HAVE_RUN, "the host ends"));
            } else {
                end(request, Answer.notRun("the host ends", ENDING_RETRY));
            }
        }
    }

    /** Returns the number of open requests. */
    public int openRequests() {
        return requests.size();
    }

    /** Returns the hosts whose masters have open requests of this front. */
    public Set<String> mastersInUse() {
        Set<String> hosts = new HashSet<>();
        requests.values().forEach(request -> request.master.ifPresent(claim -> hosts.add(claim.host())));
        return hosts;
    }

    private void dispatch(OpenRequest request, long now) {
        Optional<PoolId> pool = request.bound ? request.pool : request.pointedTo.or(() -> choose(request, now));
        Optional<Claim> master = pool.flatMap(known -> directory.master(known, now));
        if (master.isEmpty() || denied(request, master.get(), now)) {
            loseMaster(request);
            return;
        }
        send(request, pool.get(), master.get(), now);
    }

    /** Returns whether a host has just denied to be the master; its claim may be known here before it knows itself. */
    private static boolean denied(OpenRequest request, Claim master, long now) {
        return request.deniedBy.filter(master::equals).isPresent() && now - request.deniedNanos < DENIAL_NANOS;
    }

    private void send(OpenRequest request, PoolId pool, Claim master, long now) {
        boolean resumed = request.bound;
        request.pool = Optional.of(pool);
        request.master = Optional.of(master);
        request.sentTo = Optional.of(master);
        request.bound = true;
        Duration left = Duration.ofNanos(Math.max(0, request.deadlineNanos - now));
        boolean home = pool.domain().equals(domain);
        boolean offered = request.refusal.isPresent() && !resumed;
        JobOrder order = request.order.copyWith(left, resumed, home && !resumed && !offered);
        actions.submit(master, offered ? order.requiringImmediateStart() : order);
    }

    /**
     * Returns a shard of the own domain if any has a master, otherwise the pool with most room. A job that is sent again goes
     * to the shard that may still have it.
     */
    private Optional<PoolId> choose(OpenRequest request, long now) {
        List<PoolId> home = new ArrayList<>();
        List<PoolId> others = new ArrayList<>();
        for (PoolId pool : directory.pools(request.service)) {
            if (directory.master(pool, now).isPresent()) {
                (pool.domain().equals(domain) ? home : others).add(pool);
            }
        }
        if (!home.isEmpty()) {
            return Optional.of(home.get(Math.floorMod(request.order.job().hashCode(), home.size())));
        }
        return others.stream()
                .max(Comparator.comparingInt(pool -> directory.load(pool).freeCpuMillis()));
    }

    /**
     * Takes a master's answer. One under another claim than that to which the order went last is passed over, because the
     * job may be running under the last one; only that every task is done stays true, whichever master of the pool says it.
     *
     * @param claim the claim under which the master answers
     */
    public void answered(long number, Claim claim, JobResult result, long now) {
        OpenRequest request = requests.get(number);
        if (request == null) {
            return;
        }
        if (!request.sentTo.equals(Optional.of(claim))) {
            actions.superseded(claim, number, result);
            if (result instanceof JobResult.Complete && request.pool.equals(Optional.of(claim.pool()))) {
                withdraw(request);
                end(request, Answer.of(Answer.Kind.COMPLETE, "complete"));
            }
            return;
        }
        if (result instanceof JobResult.Complete) {
            end(request, Answer.of(Answer.Kind.COMPLETE, "complete"));
        } else if (result instanceof JobResult.Failed failed) {
            end(request, Answer.of(Answer.Kind.FAILED, failed.why()));
        } else if (result instanceof JobResult.Refused refused) {
            refused(request, refused, now);
        } else if (result instanceof JobResult.Abandoned abandoned) {
            end(request, Answer.of(Answer.Kind.TIMED_OUT, abandoned.why()));
        } else if (result instanceof JobResult.Moved) {
            request.deniedNanos = now;
            request.deniedBy = request.master.or(() -> request.deniedBy);
            loseMaster(request);
            dispatch(request, now);
        } else if (result instanceof JobResult.Redirected redirected) {
            redirect(request, redirected.pool(), now);
        }
    }

    private void redirect(OpenRequest request, PoolId pool, long now) {
        // The master that redirects has started nothing, so any pool may take the job.
        request.bound = false;
        request.declinedBy.add(request.pool.orElseThrow());
        if (request.declinedBy.contains(pool)) {
            end(request, Answer.notRun("every pool with room has declined the job", DECLINED_RETRY));
            return;
        }
        // Without a live master it waits for one: the pool that redirects would give a repeated order the same answer.
        request.pointedTo = Optional.of(pool);
        request.unboundNanos = now;
        dispatch(request, now);
    }

    /**
     * Offers the job to another pool that may have room, or tells the caller; a pool that refuses has started nothing. What is
     * known of other domains' loads is up to 2 s old, so the pool itself says whether it has room.
     */
    private void refused(OpenRequest request, JobResult.Refused refused, long now) {
        request.declinedBy.add(request.pool.orElseThrow());
        JobResult.Refused first = request.refusal.orElse(refused);
        request.refusal = Optional.of(first);
        Optional<PoolId> other = request.offers == MAX_OFFERS ? Optional.empty() : mostRoom(request, now);
        if (other.isEmpty()) {
            end(request, Answer.notRun(first.why(), first.retryAfter()));
            return;
        }
        request.offers++;
        request.bound = false;
        send(request, other.get(), directory.master(other.get(), now).orElseThrow(), now);
    }

    private Optional<PoolId> mostRoom(OpenRequest request, long now) {
        return directory.pools(request.service).stream()
                .filter(pool -> !request.declinedBy.contains(pool)
                        && directory.master(pool, now).isPresent()
                        && directory.mayHaveRoom(pool, request.order, now))
                .max(Comparator.comparingInt(pool -> directory.load(pool).freeCpuMillis()));
    }

    private void end(OpenRequest request, Answer answer) {
        requests.remove(request.number());
        actions.answer(request.number(), answer);
    }

    /** Takes the departure of a caller. */
    public void callerGone(long number) {
        OpenRequest request = requests.remove(number);
        if (request != null) {
            withdraw(request);
        }
    }

    /** Withdraws the requests for a job that its caller cancels; returns whether there is any. */
    public boolean cancel(String job) {
        boolean found = false;
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.order.job().equals(job)) {
                found = true;
                withdraw(request);
                end(request, Answer.of(Answer.Kind.MAY_HAVE_RUN, "canceled"));
            }
        }
        return found;
    }

    /** Withdraws a request from the master that got it last; one that is silent now may go on with it later. */
    private void withdraw(OpenRequest request) {
        if (request.bound) {
            request.sentTo.ifPresent(claim -> actions.withdraw(claim, request.order.request(), request.order.job()));
        }
    }

    /** Repeats the orders that went to a host whose connection was replaced; the host knows those that it got. */
    public void linkReplaced(String host, long now) {
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (request.master.isPresent() && request.master.get().host().equals(host)) {
                send(request, request.pool.orElseThrow(), request.master.get(), now);
            }
        }
    }

    /**
     * Returns when {@link #tick} has to follow at the latest: with the next deadline, and soon while a request has no master.
     * Asked after every event, so it doesn't look at the open requests.
     */
    public long nextDue(long now) {
        return masterMissing ? Math.min(firstEndNanos, now + RETRY_NANOS) : firstEndNanos;
    }

    /** Goes on with requests whose master has changed, and answers those whose time is over. */
    public void tick(long now) {
        for (OpenRequest request : new ArrayList<>(requests.values())) {
            if (now >= request.deadlineNanos - LAST_ANSWER_NANOS) {
                expire(request);
            } else if (request.bound) {
                follow(request, now);
            } else {
                dispatch(request, now);
                if (!request.bound && now - request.unboundNanos > MASTER_WAIT_NANOS) {
                    end(request, Answer.notRun("no pool of the service has a live master", NO_MASTER_RETRY));
                }
            }
        }
        firstEndNanos = Long.MAX_VALUE;
        masterMissing = false;
        for (OpenRequest request : requests.values()) {
            firstEndNanos = Math.min(firstEndNanos, request.deadlineNanos - LAST_ANSWER_NANOS);
            masterMissing |= request.master.isEmpty();
        }
    }

    private void follow(OpenRequest request, long now) {
        Optional<Claim> current = directory.master(request.pool.orElseThrow(), now);
        if (current.isEmpty()) {
            loseMaster(request);
        } else if (!current.equals(request.master) && !denied(request, current.get(), now)) {
            send(request, request.pool.get(), current.get(), now);
        }
    }

    private void loseMaster(OpenRequest request) {
        request.master = Optional.empty();
        masterMissing = true;
    }

    private void expire(OpenRequest request) {
        if (!request.bound) {
            end(request, Answer.notRun("the deadline passed before a master was found", NO_MASTER_RETRY));
            return;
        }
        withdraw(request);
        end(request, Answer.of(Answer.Kind.TIMED_OUT, "the deadline passed"));
    }
}
