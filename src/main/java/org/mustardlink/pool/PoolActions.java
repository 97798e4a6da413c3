package org.mustardlink.pool;

/** Carries out the orders of a {@link PoolMaster}; every order is asynchronous and reports back as an event. */
public interface PoolActions {
    /**
     * Orders a start.
     *
     * @param target the target
     * @param run the run
     * @param payload what the task receives
     * @param deadlineMs end of the lease on the target's clock
     * @param fencingToken the fencing token
     */
    void startRun(TargetEntry target, RunId run, String payload, long deadlineMs, long fencingToken);

    /** Orders that a run ends, or that it never begins if it isn't there yet. */
    void stopRun(TargetEntry target, RunId run, long fencingToken);

    /** Extends the lease of a target and asks for what runs and has ended there. */
    void extendLease(TargetEntry target, LeaseExtension extension);

    /** Reports the end of a job to the front that ordered it. */
    void sendResult(RequestId request, String job, JobResult result);

    /** Reports that a target knows a higher fencing token, so that another host may be the master. */
    void reportFenced(TargetEntry target);

    /** Records a decision about an open job in the log. */
    void logJobChange(String job, String change, String reason);

    /** Records a decision about a target in the log. */
    void logTargetChange(TargetEntry target, String change, String reason);
}
