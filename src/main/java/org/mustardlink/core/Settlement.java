package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/** Settles jobs: sets the verdict, delivers it to all waiting requesters, and drops or stops unfinished tasks. */
final class Settlement {
    private Settlement() {}

    /** Settles a job whose tasks have all completed. */
    static void complete(Tables tables, JobRow job, long now, Consumer<Command> out) {
        ImmutableList<String> results =
                job.tasks().stream().map(TaskRow::result).collect(ImmutableList.toImmutableList());
        settle(tables, job, Verdict.complete(results), now, out);
    }

    /**
     * Settles an open job as failed.
     *
     * @param notRun verdict if certainly no task of the job has run
     * @param mayHaveRun reason of the verdict otherwise
     */
    static void fail(Tables tables, JobRow job, Verdict notRun, Reason mayHaveRun, long now, Consumer<Command> out) {
        settle(tables, job, job.mayHaveRun() ? Verdict.failed(mayHaveRun) : notRun, now, out);
    }

    private static void settle(Tables tables, JobRow job, Verdict verdict, long now, Consumer<Command> out) {
        job.settle(verdict, now);
        tables.counters().countVerdict(verdict.reason());
        for (TaskRow task : job.tasks()) {
            if (task.state() == TaskState.QUEUED) {
                task.transitionTo(TaskState.DROPPED);
            } else if (task.state() == TaskState.RUNNING) {
                tables.attempts().find(task.id()).ifPresent(tables.stops()::add);
            }
        }
        tables.queue().remove(job.request().orElseThrow().service(), job);
        tables.jobs().addSettled(job, true);
        tables.sessions().find(job.id().session()).ifPresent(SessionRow::jobClosed);
        job.waiters().forEach(waiter -> out.accept(new Command.DeliverVerdict(waiter, job.id(), verdict)));
        job.waiters().clear();
    }

    /** Settles a sequence number with a verdict without opening a job. The number must already be marked as used. */
    static void settleUnopened(Tables tables, SubmissionId id, Verdict verdict, long now) {
        JobRow row = new JobRow(id, now);
        row.settle(verdict, now);
        tables.counters().countVerdict(verdict.reason());
        tables.jobs().addSettled(row, false);
    }
}
