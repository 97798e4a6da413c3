package org.mustardlink.core;

import java.util.function.Consumer;

/** Applies the results of ended attempts to tasks, jobs and targets. */
final class AttemptEndHandler {
    /** Time for which an unresponsive target is blocked before the next start opens a new connection to it. */
    private static final long SILENCE_PAUSE_NANOS = 1_000_000_000;

    private final Tables tables;
    private final HealthSystem health;
    private final UnreachableDeadlineSystem unreachableDeadlines;

    AttemptEndHandler(Tables tables, HealthSystem health, UnreachableDeadlineSystem unreachableDeadlines) {
        this.tables = tables;
        this.health = health;
        this.unreachableDeadlines = unreachableDeadlines;
    }

    void attemptEnded(Event.AttemptEnded event, long now, Consumer<Command> out) {
        tables.attempts().remove(event.task(), event.attempt()).ifPresent(attempt -> {
            attempt.target().attemptEnded(attempt);
            tables.teams()
                    .taskEnded(attempt.task().job().request().orElseThrow().team());
            event.result().load().ifPresent(load -> attempt.target().applyLoadReport(load, now));
            applyResult(attempt, event.result(), now, out);
        });
    }

    void pauseUnresponsiveTarget(Event.TargetUnresponsive event, long now) {
        tables.targets().find(event.target()).ifPresent(target -> target.blockUntil(now + SILENCE_PAUSE_NANOS));
    }

    /** Charges the message budget for a start beyond the own share that a busy target refused: it cost two messages. */
    private void chargeRefusedStart(AttemptResult.NotStarted refused) {
        if (tables.shares().usesReportedSlots() && refused.cause() == AttemptResult.NotStartedCause.BUSY) {
            tables.messageBudget().tryTake();
            tables.messageBudget().tryTake();
        }
    }

    private void applyResult(AttemptTable.AttemptRow attempt, AttemptResult result, long now, Consumer<Command> out) {
        TaskRow task = attempt.task();
        JobRow job = task.job();
        if (result instanceof AttemptResult.NotStarted refused) {
            tables.counters().countRefusedStart(refused.cause());
            chargeRefusedStart(refused);
        }
        health.attemptEnded(tables, attempt, result, now);
        if (result instanceof AttemptResult.Completed) {
            tables.runTimeEstimates().learn(attempt, now);
        }
        if (!job.isOpen()) {
            return;
        }
        if (result instanceof AttemptResult.Completed completed) {
            task.complete(completed.body());
            if (job.countFinishedTask()) {
                Settlement.complete(tables, job, now, out);
            }
        } else if (result instanceof AttemptResult.NotStarted) {
            task.transitionTo(TaskState.QUEUED);
            tables.queue().addRetry(job.request().orElseThrow().service(), task);
            unreachableDeadlines.schedule(tables, job);
        } else if (result instanceof AttemptResult.Lost lost) {
            task.transitionTo(TaskState.LOST);
            Settlement.fail(tables, job, Verdict.failed(lost.reason()), lost.reason(), now, out);
        }
    }
}
