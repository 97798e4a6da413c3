package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/** A master's result for a {@link JobOrder}, which also tells whether tasks of the job may have run. */
public sealed interface JobResult {
    /** Every task of the job is done. */
    record Complete() implements JobResult {}

    /**
     * The job has failed: a task failed too often, or no target can hold a task.
     *
     * @param why the reason, for the log
     */
    record Failed(String why) implements JobResult {}

    /**
     * This master has started no task of the job and will start none.
     *
     * @param why the reason, for the log and the caller
     * @param retryAfter time after which the pool expects to have free capacity
     */
    record Refused(String why, Duration retryAfter) implements JobResult {
        public Refused {
            checkNotNull(why, "why");
            checkNotNull(retryAfter, "retryAfter");
        }
    }

    /**
     * This master has started no task of the job and will start none; another pool has free capacity for it.
     *
     * @param pool the other pool
     */
    record Redirected(PoolId pool) implements JobResult {}

    /**
     * The job was ended before it was complete. Tasks of it may have run; present runs are being stopped.
     *
     * @param why the reason, for the log
     */
    record Abandoned(String why) implements JobResult {}

    /** The master has released the pool. Tasks of the job may be running, and the next master can adopt their runs. */
    record Moved() implements JobResult {}
}
