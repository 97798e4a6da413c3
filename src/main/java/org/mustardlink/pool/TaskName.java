package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The name of a task of a job.
 *
 * @param job id of the job
 * @param occurrence number of the occurrence of a recurring job, 0 for a job that runs once
 * @param step number of the step, from 0
 * @param index number of the task within the step, from 0
 */
public record TaskName(String job, int occurrence, int step, int index) {
    public TaskName {
        checkNotNull(job, "job");
    }

    // Written by hand, because this is a hash key on the path of every job, and the generated methods of records are
    // several times slower without the C2 compiler.
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
