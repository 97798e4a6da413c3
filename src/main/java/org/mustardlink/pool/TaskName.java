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
}
