package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names one run of a task.
 *
 * @param task the task
 * @param attempt number of the start, from 1
 */
public record RunId(TaskName task, int attempt) {
    public RunId {
        checkNotNull(task, "task");
    }

    // A key of the tables on every job's path: generated methods of records are several times slower without the second
    // compiler.
    @Override
    public boolean equals(Object object) {
        return this == object || (object instanceof RunId other && attempt == other.attempt && task.equals(other.task));
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + attempt;
    }
}
