package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/** How a master answers a {@link JobOrder}, and with it whether tasks of the job may have run. */
public sealed interface JobResult {
    /** Every task has ended as done. */
    record Complete() implements JobResult {}

    /**
     * The job can't be done.
     *
     * @param why the reason, for the log
     */
    record Failed(String why) implements JobResult {}

    /**
     * No task of the job has been started by this master and none will be.
     *
     * @param why the reason, for the log and the caller
     * @param retryAfter when the pool expects to have room
     */
    record Refused(String why, Duration retryAfter) implements JobResult {
        public Refused {
            checkNotNull(why, "why");
            checkNotNull(retryAfter, "retryAfter");
        }
    }

    /**
     * No task of the job has been started and none will be; another pool has room for it.
     *
     * @param pool that pool
     */
    record Redirected(PoolId pool) implements JobResult {}

    /** Tasks of the job may have run and it will not be finished in time; what ran is being stopped. */
    record Abandoned(String why) implements JobResult {}

    /** The master gave the pool up; tasks of the job may be running, and the next master can go on with them. */
    record Moved() implements JobResult {}
}
