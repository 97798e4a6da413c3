package org.mustardlink.pool;

/**
 * Decides how long the lease of a target may be. A lease applies to all runs of the target, so the run whose caller was
 * last known to wait the longest time ago decides.
 */
final class LeaseGrants {
    private final LeaseLimits limits;
    private final RequestConfirmations confirmations;

    LeaseGrants(LeaseLimits limits, RequestConfirmations confirmations) {
        this.limits = limits;
        this.confirmations = confirmations;
    }

    /** Returns the longest lease that a target may get now, in milliseconds; 0 if its lease must not be extended. */
    long longestMillis(PoolTarget target, long now) {
        long millis = limits.maxLease().toMillis();
        for (Run run : target.runs()) {
            millis = Math.min(millis, longestMillis(run, now));
        }
        return millis;
    }

    private long longestMillis(Run run, long now) {
        // Nobody is known to wait for an inherited run that no entry host has handed over, or for a job that has ended.
        return run.task().isEmpty() || run.task().get().job().closed()
                ? 0
                : longestMillis(run.task().get().job(), now);
    }

    /** Returns the longest lease that a run of a job may get now, in milliseconds. */
    long longestMillis(PoolJob job, long now) {
        return limits.longestLeaseMillis(lastConfirmedNanos(job, now), now);
    }

    /** Returns whether a task of a job may be started on a target now. */
    boolean allowStart(PoolTarget target, long now) {
        return longestMillis(target, now) >= limits.minStartLease().toMillis();
    }

    /** Returns whether a task of a job may be started now. */
    boolean allowStart(PoolJob job, long now) {
        return longestMillis(job, now) >= limits.minStartLease().toMillis();
    }

    /** Returns whether a caller has been known to wait for a job recently enough for the job to go on. */
    boolean isConfirmed(PoolJob job, long now) {
        return now - lastConfirmedNanos(job, now)
                <= limits.confirmationTimeout().toNanos();
    }

    private long lastConfirmedNanos(PoolJob job, long now) {
        long latest = job.lastSubmittedNanos();
        for (RequestId request : job.requests()) {
            latest = Math.max(latest, confirmations.lastConfirmedNanos(request, now));
        }
        return latest;
    }
}
