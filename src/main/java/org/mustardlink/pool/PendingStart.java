package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Start orders to a target that have got no response, for tasks of one job. The target may still carry them out until its
 * process has seen a higher fencing token.
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
        /** The target may carry the order out, or has done so without a job that the run belongs to. */
        POSSIBLE,
        /**
         * The current process of the target refuses the order, because it knows a higher fencing token or has stopped
         * the run, or it has carried the order out. The next process of the target knows nothing of this.
         */
        REFUSED
    }

    public PendingStart {
        checkNotNull(target, "target");
        checkArgument(fencingToken >= 0, "fencing token out of range: %s", fencingToken);
        checkNotNull(job, "job");
    }
}
