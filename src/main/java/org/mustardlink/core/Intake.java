package org.mustardlink.core;

import java.util.Optional;
import java.util.function.Consumer;

/** Applies events that come from callers: sessions, submissions, lookups and cancellations. */
final class Intake {
    private final Tables tables;

    Intake(Tables tables) {
        this.tables = tables;
    }

    void openSession(Event.SessionRequested event, long now, Consumer<Command> out) {
        if (tables.stopping()) {
            out.accept(new Command.SessionRefused(event.requester(), Reason.HOST_LEAVING));
            return;
        }
        if (tables.sessions().isFull()) {
            out.accept(new Command.SessionRefused(event.requester(), Reason.OVERLOADED));
            return;
        }
        out.accept(new Command.SessionGranted(
                event.requester(), tables.sessions().open(now).id()));
    }

    void submit(Event.JobSubmitted event, long now, Consumer<Command> out) {
        Optional<SessionRow> session = tables.sessions().find(event.id().session());
        if (session.isEmpty()) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SESSION_UNKNOWN), out);
            return;
        }
        session.get().touch(now);
        if (session.get().used().add(event.id().sequence())) {
            accept(session.get(), event, now, out);
        } else {
            resubmit(event, out);
        }
    }

    private void accept(SessionRow session, Event.JobSubmitted event, long now, Consumer<Command> out) {
        Optional<Reason> refusal = refusal(event.request());
        if (refusal.isPresent()) {
            Verdict verdict = Verdict.failed(refusal.get(), tables.settings().retryAfter());
            Settlement.seal(tables, event.id(), verdict, now);
            deliver(event.requester(), event.id(), verdict, out);
            return;
        }
        JobRow job = new JobRow(event.id(), event.request(), now);
        job.waiters().add(event.requester());
        tables.jobs().addOpen(job);
        session.jobOpened();
        double fastest = tables.targets().of(event.request().service()).stream()
                .mapToDouble(TargetRow::speed)
                .max()
                .orElse(1);
        tables.estimates().expect(job, fastest, now);
        tables.queue().add(event.request().service(), job);
    }

    private Optional<Reason> refusal(JobRequest request) {
        if (tables.stopping()) {
            return Optional.of(Reason.HOST_LEAVING);
        }
        if (!tables.targets().serves(request.service())) {
            return Optional.of(Reason.NO_TARGET);
        }
        boolean full = tables.jobs().open() >= tables.settings().maxOpenJobs()
                || tables.queue().size() + request.tasks().size()
                        > tables.settings().maxQueuedTasks();
        return full ? Optional.of(Reason.OVERLOADED) : Optional.empty();
    }

    private void resubmit(Event.JobSubmitted event, Consumer<Command> out) {
        Optional<JobRow> known = tables.jobs().find(event.id());
        if (known.isPresent() && !known.get().matches(event.request())) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SUBMISSION_MISMATCH), out);
            return;
        }
        attach(event.requester(), event.id(), known, out);
    }

    void lookUp(Event.AnswerRequested event, Consumer<Command> out) {
        Optional<SessionRow> session = tables.sessions().find(event.id().session());
        if (session.isEmpty()) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SESSION_UNKNOWN), out);
            return;
        }
        if (!session.get().used().contains(event.id().sequence())) {
            out.accept(new Command.ReportUnused(event.requester(), event.id()));
            return;
        }
        attach(event.requester(), event.id(), tables.jobs().find(event.id()), out);
    }

    void cancel(Event.JobCancelled event, long now, Consumer<Command> out) {
        Optional<SessionRow> session = tables.sessions().find(event.id().session());
        if (session.isEmpty()) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SESSION_UNKNOWN), out);
            return;
        }
        if (session.get().used().add(event.id().sequence())) {
            // Cancelling a number that has not arrived yet seals it, so a late copy of the submission never starts.
            Settlement.seal(tables, event.id(), Verdict.failed(Reason.CANCELLED), now);
        }
        Optional<JobRow> known = tables.jobs().find(event.id());
        known.filter(JobRow::isOpen)
                .ifPresent(job -> Settlement.fail(
                        tables, job, Verdict.failed(Reason.CANCELLED), Reason.CANCELLED_RUNNING, now, out));
        attach(event.requester(), event.id(), known, out);
    }

    void forget(Event.RequesterGone event) {
        tables.jobs().find(event.id()).ifPresent(job -> job.waiters().remove(event.requester()));
    }

    private static void attach(long requester, SubmissionId id, Optional<JobRow> known, Consumer<Command> out) {
        if (known.isEmpty()) {
            deliver(requester, id, Verdict.failed(Reason.ANSWER_EXPIRED), out);
            return;
        }
        JobRow job = known.get();
        job.verdict()
                .ifPresentOrElse(
                        verdict -> deliver(requester, id, verdict, out),
                        () -> job.waiters().add(requester));
    }

    private static void deliver(long requester, SubmissionId id, Verdict verdict, Consumer<Command> out) {
        out.accept(new Command.DeliverVerdict(requester, id, verdict));
    }
}
