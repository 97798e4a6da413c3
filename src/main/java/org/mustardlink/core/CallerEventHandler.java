package org.mustardlink.core;

import java.util.Optional;
import java.util.function.Consumer;

/** Handles events that originate from callers: session requests, submissions, answer lookups and cancellations. */
final class CallerEventHandler {
    private final Tables tables;
    private final AdmissionPolicy admission;
    private final UnreachableDeadlineSystem unreachableDeadlines;

    CallerEventHandler(Tables tables, AdmissionPolicy admission, UnreachableDeadlineSystem unreachableDeadlines) {
        this.tables = tables;
        this.admission = admission;
        this.unreachableDeadlines = unreachableDeadlines;
    }

    void openSession(Event.SessionRequested event, long now, Consumer<Command> out) {
        if (tables.isStopping()) {
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
        if (session.get().isClosed()
                && !session.get().usedNumbers().contains(event.id().sequence())) {
            deliver(event.requester(), event.id(), sessionClosed(), out);
        } else if (session.get().usedNumbers().add(event.id().sequence())) {
            accept(session.get(), event, now, out);
        } else {
            answerResubmission(event, out);
        }
    }

    private void accept(SessionRow session, Event.JobSubmitted event, long now, Consumer<Command> out) {
        JobRow job = new JobRow(event.id(), event.request(), now);
        tables.runTimeEstimates()
                .applyTo(job, tables.targets().fastestSpeed(event.request().service()), now);
        Optional<Verdict> refusal = refusal(job, event.request(), now);
        if (refusal.isPresent()) {
            Settlement.settleUnopened(tables, event.id(), refusal.get(), now);
            deliver(event.requester(), event.id(), refusal.get(), out);
            return;
        }
        job.waiters().add(event.requester());
        tables.jobs().addOpen(job);
        session.jobOpened();
        tables.queue().add(event.request().service(), job);
        unreachableDeadlines.schedule(tables, job);
    }

    private Optional<Verdict> refusal(JobRow job, JobRequest request, long now) {
        return unavailability(request)
                .map(reason -> Verdict.failed(reason, tables.settings().retryAfter()))
                .or(() -> exceededLimit(request)
                        .map(reason ->
                                Verdict.failed(reason, tables.backlogEstimator().retryAfter(request, job.id()))))
                .or(() -> admission
                        .refusalRetryAfter(tables.backlogEstimator().estimate(job, now))
                        .map(time -> Verdict.failed(
                                Reason.DEADLINE_UNREACHABLE, BacklogEstimator.jitterRetryAfter(time, job.id()))));
    }

    private Optional<Reason> unavailability(JobRequest request) {
        if (tables.isStopping()) {
            return Optional.of(Reason.HOST_LEAVING);
        }
        return tables.targets().takesNewTasks(request.service()) ? Optional.empty() : Optional.of(Reason.NO_TARGET);
    }

    private Optional<Reason> exceededLimit(JobRequest request) {
        int tasks = request.tasks().size();
        int teamTasks = tables.queue().queuedTasks(request.service(), request.team()) + tasks;
        if (teamTasks > tables.teams().quotaOf(request.team()).maxQueued()) {
            return Optional.of(Reason.QUOTA_EXCEEDED);
        }
        // A team may queue at most as many tasks as the queue has free, so that one team cannot crowd out the others.
        int freeCapacity = tables.settings().maxQueuedTasks() - tables.queue().size();
        boolean full = tables.jobs().openCount() >= tables.settings().maxOpenJobs() || teamTasks > freeCapacity;
        return full ? Optional.of(Reason.OVERLOADED) : Optional.empty();
    }

    private void answerResubmission(Event.JobSubmitted event, Consumer<Command> out) {
        Optional<JobRow> knownJob = tables.jobs().find(event.id());
        if (knownJob.isPresent() && !knownJob.get().matches(event.request())) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SUBMISSION_MISMATCH), out);
            return;
        }
        deliverOrWait(event.requester(), event.id(), knownJob, out);
    }

    void lookUpAnswer(Event.AnswerRequested event, Consumer<Command> out) {
        Optional<SessionRow> session = tables.sessions().find(event.id().session());
        if (session.isEmpty()) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SESSION_UNKNOWN), out);
            return;
        }
        boolean unused = !session.get().usedNumbers().contains(event.id().sequence());
        if (unused && session.get().isClosed()) {
            deliver(event.requester(), event.id(), sessionClosed(), out);
            return;
        }
        if (unused) {
            out.accept(new Command.ReportUnused(event.requester(), event.id()));
            return;
        }
        deliverOrWait(event.requester(), event.id(), tables.jobs().find(event.id()), out);
    }

    void cancel(Event.JobCancelled event, long now, Consumer<Command> out) {
        Optional<SessionRow> session = tables.sessions().find(event.id().session());
        if (session.isEmpty()) {
            deliver(event.requester(), event.id(), Verdict.failed(Reason.SESSION_UNKNOWN), out);
            return;
        }
        if (session.get().isClosed()
                && !session.get().usedNumbers().contains(event.id().sequence())) {
            deliver(event.requester(), event.id(), sessionClosed(), out);
            return;
        }
        if (session.get().usedNumbers().add(event.id().sequence())) {
            // Marks the sequence number as cancelled, so that a copy of the submission that arrives later never starts.
            Settlement.settleUnopened(tables, event.id(), Verdict.failed(Reason.CANCELLED), now);
        }
        Optional<JobRow> knownJob = tables.jobs().find(event.id());
        knownJob.filter(JobRow::isOpen)
                .ifPresent(job -> Settlement.fail(
                        tables, job, Verdict.failed(Reason.CANCELLED), Reason.CANCELLED_RUNNING, now, out));
        deliverOrWait(event.requester(), event.id(), knownJob, out);
    }

    private static Verdict sessionClosed() {
        return Verdict.failed(Reason.SESSION_CLOSED);
    }

    void detachRequester(Event.RequesterDisconnected event) {
        tables.jobs().find(event.id()).ifPresent(job -> job.waiters().remove(event.requester()));
    }

    private static void deliverOrWait(
            long requester, SubmissionId id, Optional<JobRow> knownJob, Consumer<Command> out) {
        if (knownJob.isEmpty()) {
            deliver(requester, id, Verdict.failed(Reason.ANSWER_EXPIRED), out);
            return;
        }
        JobRow job = knownJob.get();
        job.verdict()
                .ifPresentOrElse(
                        verdict -> deliver(requester, id, verdict, out),
                        () -> job.waiters().add(requester));
    }

    private static void deliver(long requester, SubmissionId id, Verdict verdict, Consumer<Command> out) {
        out.accept(new Command.DeliverVerdict(requester, id, verdict));
    }
}
