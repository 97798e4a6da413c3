package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Start orders to a target that have got no response, for tasks of one job. The target may still carry them out until it
 * has seen a higher fencing token.
 *
 * @param target id of the target
 * @param fencingToken value of the fencing token that the orders carry, 0 or more
 * @param job id of the job
 */
public record PendingStart(String target, long fencingToken, String job) {
    /** What the master of a pool knows about a pending start. */
    public enum Status {
        /** The target doesn't belong to the pool, or the order is newer than the claim of the master. */
        UNKNOWN,
        /** The target has not confirmed a higher fencing token yet. */
        POSSIBLE,
        /** The target refuses the order, or the run has been confirmed or stopped. */
        RULED_OUT
    }

    public PendingStart {
        checkNotNull(target, "target");
        checkArgument(fencingToken >= 0, "fencing token out of range: %s", fencingToken);
        checkNotNull(job, "job");
    }
}
