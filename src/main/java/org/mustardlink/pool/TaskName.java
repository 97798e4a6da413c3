package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a task of a job.
 *
 * @param job the job
 * @param occurrence number of the occurrence, 0 for a job that runs once
 * @param step number of the step, from 0
 * @param index number of the task within the step, from 0
 */
public record TaskName(String job, int occurrence, int step, int index) {
    public TaskName {
        checkNotNull(job, "job");
    }

    // A key of the tables on every job's path: generated methods of records are several times slower without the second
    // compiler.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof TaskName other
                        && index == other.index
                        && step == other.step
                        && occurrence == other.occurrence
                        && job.equals(other.job));
    }

    @Override
    public int hashCode() {
        return ((31 * job.hashCode() + occurrence) * 31 + step) * 31 + index;
    }
}
