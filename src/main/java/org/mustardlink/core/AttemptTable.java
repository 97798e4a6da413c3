package org.mustardlink.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Attempts in flight. Kept apart from jobs, because a job may be settled and removed before its attempts end. */
final class AttemptTable {
    private final Map<TaskId, AttemptRow> rows = new HashMap<>();

    /**
     * An attempt in flight.
     *
     * @param task task that was started
     * @param attempt number of the attempt
     * @param target target that runs the task
     * @param startedNanos monotonic time of the start
     * @param expectedNanos expected run time at the target
     */
    record AttemptRow(TaskRow task, int attempt, TargetRow target, long startedNanos, long expectedNanos) {
        /**
         * Returns when the attempt is expected to end. An overdue attempt is expected to run for another quarter of its
         * age, because the longer a task exceeds its estimate, the less accurate the estimate is.
         */
        long expectedEndNanos(long now) {
            long end = startedNanos + expectedNanos;
            return end > now ? end : now + (now - startedNanos) / 4;
        }
    }

    void add(AttemptRow row) {
        rows.put(row.task().id(), row);
    }

    /** Removes and returns the attempt, or returns empty if the task has no attempt in flight with that number. */
    Optional<AttemptRow> remove(TaskId task, int attempt) {
        AttemptRow row = rows.get(task);
        if (row == null || row.attempt() != attempt) {
            return Optional.empty();
        }
        rows.remove(task);
        return Optional.of(row);
    }

    Optional<AttemptRow> find(TaskId task) {
        return Optional.ofNullable(rows.get(task));
    }

    int size() {
        return rows.size();
    }
}
