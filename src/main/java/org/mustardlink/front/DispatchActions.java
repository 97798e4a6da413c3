package org.mustardlink.front;

import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.RequestId;

/** Carries out the decisions of a {@link RequestDispatcher}. */
public interface DispatchActions {
    /** Hands a job to the master of a pool. */
    void submit(Claim master, JobOrder order);

    /** Tells a master that nobody waits for a job any more. */
    void withdraw(Claim master, RequestId request, String job);

    /** Notes a result under a claim other than the one to which the request was sent last. */
    void recordSupersededResult(Claim claim, long request, JobResult result);

    /** Gives a caller its answer. */
    void respond(long request, CallerResponse response);
}
