package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;

/**
 * One job that the generator will submit.
 *
 * @param number position in the workload
 * @param arrivalNanos intended arrival, from the start of the run
 * @param jobClass class by size
 * @param team the team that submits it
 * @param domain index of the failure domain
 * @param entryDraw uniform in [0, 1); selects the entry host within the domain
 * @param tasks the tasks
 * @param cancelNanos when the caller cancels it, from the start of the run
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
     * One task.
     *
     * @param runMs true run time at speed 1, in milliseconds
     * @param declaredMs run time that the caller declares
     */
    record TaskPlan(long runMs, long declaredMs) {}

    long workMs() {
        return tasks.stream().mapToLong(TaskPlan::runMs).sum();
    }

    long longestTaskMs() {
        return tasks.stream().mapToLong(TaskPlan::runMs).max().orElse(0);
    }
}
