package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/**
 * Hands the sessions of this entry host over at a planned stop, and takes over the sessions of other hosts that stop.
 * Sessions are handed over closed, so the right to start their tasks never moves to another host.
 */
final class SessionHandover {
    private final Tables tables;

    SessionHandover(Tables tables) {
        this.tables = tables;
    }

    /** Settles all jobs that are still open, so that every caller gets a verdict from this entry host. */
    void endGracePeriod(long now, Consumer<Command> out) {
        tables.beginStop();
        Verdict notRun = Verdict.failed(Reason.HOST_LEAVING, tables.settings().retryAfter());
        for (JobRow job : tables.jobs().openJobs()) {
            Settlement.fail(tables, job, notRun, Reason.OWNER_GONE, now, out);
        }
    }

    /** Closes all sessions before their used sequence numbers are copied, so that the copies are complete. */
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
