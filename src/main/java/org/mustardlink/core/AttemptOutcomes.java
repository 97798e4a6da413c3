package org.mustardlink.core;

import java.util.function.Consumer;

/** Applies the ends of attempts to tasks, jobs and targets. */
final class AttemptOutcomes {
    /** Pause of a target that went silent; a new connection is tried after it. */
    private static final long SILENCE_PAUSE_NANOS = 1_000_000_000;

    private final Tables tables;
    private final HealthSystem health;
    private final GiveUpSystem giveUp;

    AttemptOutcomes(Tables tables, HealthSystem health, GiveUpSystem giveUp) {
        this.tables = tables;
        this.health = health;
        this.giveUp = giveUp;
    }

    void apply(Event.AttemptEnded event, long now, Consumer<Command> out) {
        tables.attempts().remove(event.task(), event.attempt()).ifPresent(attempt -> {
            attempt.target().attemptEnded(attempt);
            tables.teams().ended(attempt.task().job().request().orElseThrow().team());
            event.result().load().ifPresent(load -> attempt.target().report(load, now));
            apply(attempt, event.result(), now, out);
        });
    }

    void targetSilent(Event.TargetSilent event, long now) {
        tables.targets().find(event.target()).ifPresent(target -> target.block(now + SILENCE_PAUSE_NANOS));
    }

    /** A start that a full target refuses costs two messages, which leave the allowance of messages to be smaller. */
    private void payFor(AttemptResult.NotStarted refused) {
        if (tables.shares().borrowing() && refused.cause() == AttemptResult.NotStartedCause.BUSY) {
            tables.messages().take();
            tables.messages().take();
        }
    }

    private void apply(AttemptTable.AttemptRow attempt, AttemptResult result, long now, Consumer<Command> out) {
        TaskRow task = attempt.task();
        JobRow job = task.job();
        if (result instanceof AttemptResult.NotStarted refused) {
            tables.counters().refused(refused.cause());
            payFor(refused);
        }
        health.ended(tables, attempt, result, now);
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
            giveUp.add(tables, job);
        } else if (result instanceof AttemptResult.Lost lost) {
            task.moveTo(TaskState.LOST);
            Settlement.fail(tables, job, Verdict.failed(lost.reason()), lost.reason(), now, out);
        }
    }
}
