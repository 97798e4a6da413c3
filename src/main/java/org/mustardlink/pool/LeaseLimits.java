package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Limits on how long runs may go on, derived from what the platform guarantees.
 *
 * <p>A caller that loses its connection sends its job again after {@code resendDelay}, to any host, and that host may
 * start the tasks in another pool. By then every run of the first request has to be over. The only means that ends runs
 * whatever fails is the lease of their target, so a lease never outlasts the last confirmation of a waiting caller by
 * more than that delay. Whoever extends the lease, the master that started the runs or one that has inherited them,
 * needs such a confirmation. The other periods only make runs end earlier, by a stop that spares the other runs of the
 * target:
 *
 * <pre>
 * confirmed                     stopped by the master     lease ends    caller sends the job again
 *     |---- confirmationTimeout --------|-- STOP_TIME ---|-- TRANSIT --|
 *     |------------------------- resendDelay --------------------------|
 * </pre>
 *
 * @param maxLease longest duration of a lease that a target accepts
 * @param resendDelay shortest time after which a caller that has lost its connection sends its job again
 */
public record LeaseLimits(Duration maxLease, Duration resendDelay) {
    /** Longest time on a host's clock per unit of time on a target's clock, which may be 2% slow. */
    static final double CLOCK_DRIFT = 1.0205;
    /** Time for which the confirmation of an entry host may have been in transit when it arrived. */
    private static final Duration TRANSIT = Duration.ofMillis(50);
    /** Time until a stop has taken effect: the next check, the order, 50 ms at the target, and its report. */
    private static final Duration STOP_TIME = Duration.ofMillis(250);

    public LeaseLimits {
        checkArgument(maxLease.toMillis() > 0, "maxLease must be at least 1 ms: %s", maxLease);
        checkArgument(
                resendDelay.compareTo(TRANSIT) > 0, "resendDelay must be longer than %s: %s", TRANSIT, resendDelay);
    }

    /**
     * Returns the time without a confirmation of an open request after which its job is stopped. It is the time without
     * a message after which an entry host counts as lost.
     */
    public Duration confirmationTimeout() {
        Duration timeout = resendDelay.minus(TRANSIT).minus(STOP_TIME);
        Duration shortest = resendDelay.dividedBy(2);
        return timeout.compareTo(shortest) < 0 ? shortest : timeout;
    }

    /**
     * Returns the time after a claim during which entry hosts can hand over the jobs of an earlier master. The lease of
     * a target isn't extended while it has an inherited run without a job, so the period leaves most of the lease for
     * the other runs there.
     */
    Duration adoptionPeriod() {
        return maxLease.dividedBy(4);
    }

    /** Returns the shortest lease with which a task is started; a shorter one may expire before it is extended. */
    Duration minStartLease() {
        return maxLease.dividedBy(4);
    }

    /**
     * Returns the duration of the longest lease that may be granted now to a run, in milliseconds of its target's
     * clock; 0 if the lease must not be extended.
     *
     * @param confirmedNanos when a caller was last known to wait for the run
     */
    long longestLeaseMillis(long confirmedNanos, long now) {
        long remainingNanos = confirmedNanos + resendDelay.minus(TRANSIT).toNanos() - now;
        long millis = TimeUnit.NANOSECONDS.toMillis((long) (remainingNanos / CLOCK_DRIFT));
        return Math.max(0, Math.min(maxLease.toMillis(), millis));
    }
}
