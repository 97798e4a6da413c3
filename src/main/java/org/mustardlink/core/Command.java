package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Something that the core asks the I/O layer to do. */
public sealed interface Command {
    /**
     * Sends a task to a target. Exactly one {@link Event.AttemptEnded} follows.
     *
     * @param task the task
     * @param attempt number of the attempt, from 1
     * @param target the target
     * @param spec what to run
     * @param idempotent whether the job was declared idempotent
     * @param lease time after which the target stops the task and the attempt counts as lost
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
     * Stops a running task at its target. Nothing is awaited.
     *
     * @param task the task
     * @param target the target that runs it
     */
    record StopTask(TaskId task, TargetSpec target) implements Command {}

    /**
     * Delivers a verdict to one requester.
     *
     * @param requester the handle of the request
     * @param id the submission
     * @param verdict the final answer
     */
    record DeliverVerdict(long requester, SubmissionId id, Verdict verdict) implements Command {}

    /**
     * Tells a requester that the number was never used; the caller may still submit under it.
     *
     * @param requester the handle of the request
     * @param id the submission
     */
    record ReportUnused(long requester, SubmissionId id) implements Command {}

    /**
     * Hands every closed session over to another entry host. Nothing of them starts or changes any more.
     *
     * @param sessions the sessions
     * @param answers the kept answers
     */
    record HandOver(ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers)
            implements Command {}

    /**
     * Tells a stopping entry host whether its sessions were taken over.
     *
     * @param requester the handle of the request
     * @param accepted whether this entry host answers for them from now on
     */
    record HandoverAnswered(long requester, boolean accepted) implements Command {}

    /**
     * Tells a requester its new session.
     *
     * @param requester the handle of the request
     * @param session the session
     */
    record SessionGranted(long requester, SessionId session) implements Command {}

    /**
     * Tells a requester that no session can be opened now.
     *
     * @param requester the handle of the request
     * @param reason why
     */
    record SessionRefused(long requester, Reason reason) implements Command {}

    /**
     * Tells another entry host which slots waiting tasks lack. A lost message costs nothing but the slots.
     *
     * @param to id of that host; it gets an {@link Event.SlotsRequested}
     * @param demands what is lacking
     */
    record RequestSlots(String to, ImmutableList<SlotDemand> demands) implements Command {}

    /**
     * Lends slots to another entry host. A lost message leaves the slots unused for the term.
     *
     * @param to id of that host; it gets an {@link Event.SlotsOffered}
     * @param loans what is lent
     * @param term how long
     */
    record OfferSlots(String to, ImmutableList<SlotLoan> loans, Duration term) implements Command {}

    /**
     * Delivers the state of the core.
     *
     * @param requester the handle of the request
     * @param snapshot the state after the events of the tick that came before the request
     */
    record DeliverSnapshot(long requester, CoreSnapshot snapshot) implements Command {}
}
