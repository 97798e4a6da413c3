package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The id of a run of a task.
 *
 * @param task the task
 * @param attempt number of the run among those of the task, from 1
 */
public record RunId(TaskName task, int attempt) {
    public RunId {
        checkNotNull(task, "task");
    }

    // Written by hand, because this is a hash key on the path of every job, and the generated methods of records are
    // several times slower without the C2 compiler.
    @Override
    public boolean equals(Object object) {
        return this == object || (object instanceof RunId other && attempt == other.attempt && task.equals(other.task));
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + attempt;
    }
}
