package org.mustardlink.front;

import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.RequestId;

/** Carries out the decisions of a {@link RequestDispatcher}. */
public interface DispatchActions {
    /** Sends a job to the master of a pool. */
    void submit(Claim master, JobOrder order);

    /** Notifies a master that no caller waits for a job any longer. */
    void withdraw(Claim master, RequestId request, String job);

    /** Records a result that was sent under a claim other than the one to which the job was sent last. */
    void recordSupersededResult(Claim claim, long request, JobResult result);

    /** Sends the final response to a caller. */
    void respond(long request, CallerResponse response);
}
