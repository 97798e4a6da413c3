package org.mustardlink.core;

import java.util.function.Consumer;

/** Applies the ends of attempts to tasks, jobs and targets. */
final class AttemptOutcomes {
    /** Pause before a target that refused a start is tried again, in nanoseconds. */
    private static final long REFUSAL_PAUSE_NANOS = 20_000_000;

    private final Tables tables;

    AttemptOutcomes(Tables tables) {
        this.tables = tables;
    }

    void apply(Event.AttemptEnded event, long now, Consumer<Command> out) {
        tables.attempts().remove(event.task(), event.attempt()).ifPresent(attempt -> {
            attempt.target().attemptEnded(attempt);
            event.result().load().ifPresent(load -> attempt.target().report(load, now));
            apply(attempt, event.result(), now, out);
        });
    }

    private void apply(AttemptTable.AttemptRow attempt, AttemptResult result, long now, Consumer<Command> out) {
        TaskRow task = attempt.task();
        JobRow job = task.job();
        if (result instanceof AttemptResult.NotStarted) {
            attempt.target().block(now + REFUSAL_PAUSE_NANOS);
        }
        if (result instanceof AttemptResult.Completed) {
            tables.estimates().learn(attempt, now);
        }
        if (!job.isOpen()) {
            return;
        }
        if (result instanceof AttemptResult.Completed completed) {
            task.complete(completed.body());
            if (job.taskDone()) {
                Settlement.complete(tables, job, now, out);
            }
        } else if (result instanceof AttemptResult.NotStarted) {
            task.moveTo(TaskState.QUEUED);
            tables.queue().addRetry(job.request().orElseThrow().service(), task);
        } else if (result instanceof AttemptResult.Lost lost) {
            task.moveTo(TaskState.LOST);
            Settlement.fail(tables, job, Verdict.failed(lost.reason()), lost.reason(), now, out);
        }
    }
}
