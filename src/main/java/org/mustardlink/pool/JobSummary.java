package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What the master of a pool knows about a job that it ends, for the log.
 *
 * @param id id of the job
 * @param workMilliCoreNanos declared processor time of the whole job, in thousandths of a core times nanoseconds
 * @param starts the starts of the job's tasks; empty if the master has ordered none
 */
public record JobSummary(String id, double workMilliCoreNanos, Optional<Starts> starts) {
    public JobSummary {
        checkNotNull(id, "id");
        checkNotNull(starts, "starts");
    }

    /**
     * The starts of a job's tasks that the master has ordered.
     *
     * @param firstNanos time from the arrival of the job to the first start
     * @param lastNanos time from the arrival of the job to the last start
     * @param leastLeftPercent smallest time left until the caller's deadline at any start, in percent of the expected
     *     running time of the task
     */
    public record Starts(long firstNanos, long lastNanos, long leastLeftPercent) {
        static Starts first(StartTiming timing) {
            return new Starts(timing.waitedNanos(), timing.waitedNanos(), timing.leftPercent());
        }

        Starts plus(StartTiming timing) {
            return new Starts(firstNanos, timing.waitedNanos(), Math.min(leastLeftPercent, timing.leftPercent()));
        }
    }
}
