package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;

/**
 * A job that the load generator will submit.
 *
 * @param number position of the job in the workload
 * @param arrivalNanos intended submission time, from the start of the run
 * @param jobClass class of the job by its number of tasks
 * @param team team that submits the job
 * @param domain index of the failure domain in which the job is submitted
 * @param entryDraw random number, uniform in [0, 1), that selects the entry host within the domain
 * @param tasks tasks of the job
 * @param cancelNanos time at which the caller cancels the job, from the start of the run; empty if it does not
 */
record JobPlan(
        int number,
        long arrivalNanos,
        JobClass jobClass,
        String team,
        int domain,
        double entryDraw,
        ImmutableList<TaskPlan> tasks,
        OptionalLong cancelNanos) {
    /**
     * A task of the job.
     *
     * @param runMs actual run time at speed 1, in milliseconds
     * @param declaredMs run time that the caller declares, in milliseconds
     */
    record TaskPlan(long runMs, long declaredMs) {}

    long workMs() {
        return tasks.stream().mapToLong(TaskPlan::runMs).sum();
    }

    long longestTaskMs() {
        return tasks.stream().mapToLong(TaskPlan::runMs).max().orElse(0);
    }
}
