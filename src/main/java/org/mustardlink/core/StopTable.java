package org.mustardlink.core;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Running tasks of settled jobs that are to be stopped. A limited number is sent per tick, after the starts. */
final class StopTable implements DispatchSystem {
    /** Stops sent in one tick; limited because each is a request on a connection that starts also need. */
    private static final int MAX_PER_TICK = 32;

    private final Queue<AttemptTable.AttemptRow> pending = new ArrayDeque<>();

    void add(AttemptTable.AttemptRow attempt) {
        pending.add(attempt);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    @Override
    public void run(Tables tables, long _now, Consumer<Command> out) {
        int sent = 0;
        while (!pending.isEmpty() && sent < MAX_PER_TICK) {
            AttemptTable.AttemptRow attempt = pending.remove();
            TaskId task = attempt.task().id();
            // The attempt may have ended since the job was settled, and then needs no stop.
            if (tables.attempts()
                    .find(task)
                    .filter(row -> row.attempt() == attempt.attempt())
                    .isPresent()) {
                out.accept(new Command.StopTask(task, attempt.target().spec()));
                sent++;
            }
        }
    }
}
