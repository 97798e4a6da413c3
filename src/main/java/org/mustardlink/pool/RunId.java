package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names one run of a task.
 *
 * @param task the task
 * @param run number of the start, from 1
 */
public record RunId(TaskName task, int run) {
    public RunId {
        checkNotNull(task, "task");
    }
}
