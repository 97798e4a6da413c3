package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/** Ends a planned stop of this entry host and takes over from others that stop. The right to start never moves. */
final class SessionHandover {
    private final Tables tables;

    SessionHandover(Tables tables) {
        this.tables = tables;
    }

    /** Settles what did not finish in time, so that every caller gets a verdict from this entry host. */
    void endGracePeriod(long now, Consumer<Command> out) {
        tables.beginStop();
        Verdict notRun = Verdict.failed(Reason.HOST_LEAVING, tables.settings().retryAfter());
        for (JobRow job : tables.jobs().openJobs()) {
            Settlement.fail(tables, job, notRun, Reason.OWNER_GONE, now, out);
        }
    }

    /** Closes every session before its used numbers are copied, so that the copy is complete. */
    void handOver(long now, Consumer<Command> out) {
        endGracePeriod(now, out);
        ImmutableList<SessionSnapshot> sessions = tables.sessions().closeAll();
        ImmutableList<AnswerSnapshot> answers = tables.jobs().keptAnswers().stream()
                .map(job -> new AnswerSnapshot(
                        job.id(), job.fingerprint(), job.verdict().orElseThrow()))
                .collect(ImmutableList.toImmutableList());
        out.accept(new Command.HandOver(sessions, answers));
    }

    void acceptHandover(Event.HandoverReceived event, long now, Consumer<Command> out) {
        boolean accepted = !tables.isStopping() && tables.sessions().addHandedOver(event.sessions(), now);
        if (accepted) {
            event.answers().forEach(answer -> keepAnswer(answer, now));
        }
        out.accept(new Command.HandoverAnswered(event.requester(), accepted));
    }

    private void keepAnswer(AnswerSnapshot answer, long now) {
        JobRow row = new JobRow(answer.id(), answer.fingerprint(), now);
        row.settle(answer.verdict(), now);
        tables.jobs().addSettled(row, false);
    }
}
