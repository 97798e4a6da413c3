package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Action that the core requests from the I/O layer. */
public sealed interface Command {
    /**
     * Sends a task to a target. Exactly one {@link Event.AttemptEnded} follows.
     *
     * @param task id of the task
     * @param attempt number of the attempt, from 1
     * @param target target that is to run the task
     * @param spec payload and declared run time of the task
     * @param idempotent whether the job was declared idempotent
     * @param lease time after which the target stops the task and the attempt is considered lost
     */
    record StartTask(TaskId task, int attempt, TargetSpec target, TaskSpec spec, boolean idempotent, Duration lease)
            implements Command {
        public StartTask {
            checkNotNull(task, "task");
            checkNotNull(target, "target");
            checkNotNull(spec, "spec");
            checkNotNull(lease, "lease");
        }
    }

    /**
     * Stops a running task at its target. No response is expected.
     *
     * @param task id of the task
     * @param target target that runs the task
     */
    record StopTask(TaskId task, TargetSpec target) implements Command {}

    /**
     * Delivers a verdict to one requester.
     *
     * @param requester handle of the request that is answered
     * @param id id of the submission
     * @param verdict verdict of the submission
     */
    record DeliverVerdict(long requester, SubmissionId id, Verdict verdict) implements Command {}

    /**
     * Tells a requester that the sequence number was never used; the caller may still submit a job with it.
     *
     * @param requester handle of the request that is answered
     * @param id id of the submission
     */
    record ReportUnused(long requester, SubmissionId id) implements Command {}

    /**
     * Hands all sessions over to another entry host. The sessions are closed, so none of their jobs starts or changes.
     *
     * @param sessions the closed sessions
     * @param answers kept answers of the sessions
     */
    record HandOver(ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers)
            implements Command {}

    /**
     * Tells a stopping entry host whether this host took over its sessions.
     *
     * @param requester handle of the request that is answered
     * @param accepted whether this entry host answers requests for these sessions from now on
     */
    record HandoverAnswered(long requester, boolean accepted) implements Command {}

    /**
     * Delivers the id of a new session.
     *
     * @param requester handle of the request that is answered
     * @param session id of the session
     */
    record SessionGranted(long requester, SessionId session) implements Command {}

    /**
     * Tells a requester that its session cannot be opened.
     *
     * @param requester handle of the request that is answered
     * @param reason why the session was refused
     */
    record SessionRefused(long requester, Reason reason) implements Command {}

    /**
     * Requests slots from another entry host, for tasks that are queued. If the message is lost, no slots are lent.
     *
     * @param to id of the receiving host, which handles an {@link Event.SlotsRequested}
     * @param demands slots needed, by service
     */
    record RequestSlots(String to, ImmutableList<SlotDemand> demands) implements Command {}

    /**
     * Lends slots to another entry host. If the message is lost, the slots stay unused for the term.
     *
     * @param to id of the receiving host, which handles an {@link Event.SlotsOffered}
     * @param loans slots lent, by target
     * @param term duration of the loans
     */
    record OfferSlots(String to, ImmutableList<SlotLoan> loans, Duration term) implements Command {}

    /**
     * Delivers a snapshot of the core.
     *
     * @param requester handle of the request that is answered
     * @param snapshot state after the events that precede the request in the tick
     */
    record DeliverSnapshot(long requester, CoreSnapshot snapshot) implements Command {}
}
