package org.mustardlink.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Attempts in flight, kept apart from jobs because a job may be settled and forgotten before its attempts end. */
final class AttemptTable {
    private final Map<TaskId, AttemptRow> rows = new HashMap<>();

    /**
     * One attempt in flight.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param target the target
     * @param startedNanos when it was started
     * @param expectedNanos expected run time
     */
    record AttemptRow(TaskRow task, int attempt, TargetRow target, long startedNanos, long expectedNanos) {
        /**
         * Returns when the attempt is expected to end. An overdue attempt is expected to need a quarter of its age
         * more, because the longer a task runs past its estimate, the worse the estimate was.
         */
        long expectedEndNanos(long now) {
            long end = startedNanos + expectedNanos;
            return end > now ? end : now + (now - startedNanos) / 4;
        }
    }

    void add(AttemptRow row) {
        rows.put(row.task().id(), row);
    }

    /** Removes and returns the attempt, unless it is unknown or has another number. */
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
