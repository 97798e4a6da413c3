package org.mustardlink.pool;

/**
 * Executes the orders of a {@link PoolMaster}. Every order is asynchronous; its response is passed to the master as
 * an event.
 */
public interface PoolActions {
    /**
     * Orders a target to start a run.
     *
     * @param target the target
     * @param run the run
     * @param payload data passed to the task
     * @param deadlineMs end of the target's lease on the target's clock
     * @param fencingToken the master's fencing token for the target
     */
    void startRun(TargetEntry target, RunId run, String payload, long deadlineMs, long fencingToken);

    /** Orders a target to stop a run, or never to start it if it isn't present yet. */
    void stopRun(TargetEntry target, RunId run, long fencingToken);

    /** Extends the lease of a target and requests a report of the runs that are present and those that have ended. */
    void extendLease(TargetEntry target, LeaseExtension extension);

    /** Sends the result of a job to the entry host of a request. */
    void sendResult(RequestId request, JobSummary job, JobResult result);

    /**
     * Reports that this master's tokens no longer suffice for a target: another host may be the master, or a claim's
     * tokens are used up.
     */
    void reportFenced(TargetEntry target);

    /** Records that the start of waiting tasks was planned, for the given number of jobs. */
    void recordPlacement(int plannedJobs);

    /** Logs the start of a run. */
    void logStart(TargetEntry target, RunId run, StartTiming timing);

    /** Logs a decision about a job. */
    void logJobChange(String job, String change, String reason);

    /** Logs a change of a target. */
    void logTargetChange(TargetEntry target, String change, String reason);
}
