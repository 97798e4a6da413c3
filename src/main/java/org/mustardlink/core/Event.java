package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/** Input of the core. Events are applied one at a time, in the order given. */
public sealed interface Event {
    /**
     * A caller requests a new session. A {@link Command.SessionGranted} or {@link Command.SessionRefused} follows.
     *
     * @param requester handle that the answer is delivered to
     */
    record SessionRequested(long requester) implements Event {}

    /**
     * A job arrived for a session that this entry host owns. A {@link Command.DeliverVerdict} follows.
     *
     * @param requester handle that the verdict is delivered to
     * @param id id of the submission
     * @param request content of the job
     */
    record JobSubmitted(long requester, SubmissionId id, JobRequest request) implements Event {
        public JobSubmitted {
            checkNotNull(id, "id");
            checkNotNull(request, "request");
        }
    }

    /**
     * A caller requests the answer of an earlier submission without resubmitting it. A {@link Command.DeliverVerdict}
     * or {@link Command.ReportUnused} follows.
     *
     * @param requester handle that the verdict is delivered to
     * @param id id of the submission
     */
    record AnswerRequested(long requester, SubmissionId id) implements Event {}

    /**
     * A caller cancels a submission. A {@link Command.DeliverVerdict} follows.
     *
     * @param requester handle that the verdict of the submission is delivered to
     * @param id id of the submission
     */
    record JobCancelled(long requester, SubmissionId id) implements Event {}

    /**
     * A requester disconnected; no verdict is delivered to its handle from now on. The job itself continues.
     *
     * @param requester handle of the requester
     * @param id id of the submission that it waited for
     */
    record RequesterDisconnected(long requester, SubmissionId id) implements Event {}

    /**
     * An attempt to run a task ended.
     *
     * @param task id of the task
     * @param attempt number of the attempt, from 1
     * @param result result of the attempt
     */
    record AttemptEnded(TaskId task, int attempt, AttemptResult result) implements Event {
        public AttemptEnded {
            checkNotNull(task, "task");
            checkNotNull(result, "result");
        }
    }

    /**
     * The configuration declares these targets, replacing any earlier set.
     *
     * @param targets all targets of the configuration
     */
    record TargetsDeclared(ImmutableList<TargetSpec> targets) implements Event {}

    /**
     * These targets are draining and take no new tasks, replacing any earlier set.
     *
     * @param targets ids of the targets that are draining
     */
    record TargetsDraining(ImmutableSet<String> targets) implements Event {}

    /**
     * The configuration declares these quotas, replacing any earlier set. Other teams have weight 1 and no limits.
     *
     * @param teams quotas, one per team
     */
    record TeamsDeclared(ImmutableList<TeamSpec> teams) implements Event {}

    /**
     * These entry hosts are alive, replacing any earlier set; this host is one of them.
     *
     * @param ownDomain failure domain of this host
     * @param domainByHost failure domains by host id
     */
    record EntryHostsChanged(String ownDomain, ImmutableMap<String, String> domainByHost) implements Event {}

    /**
     * Another entry host requests slots for its queued tasks.
     *
     * @param from id of the requesting host
     * @param demands slots that it needs, by service
     */
    record SlotsRequested(String from, ImmutableList<SlotDemand> demands) implements Event {}

    /**
     * Another entry host lends slots.
     *
     * @param from id of the lending host
     * @param loans slots that it lends, by target
     * @param term duration of the loans, from the moment of the offer
     */
    record SlotsOffered(String from, ImmutableList<SlotLoan> loans, Duration term) implements Event {}

    /**
     * An operator page or the metrics request the state of the core. A {@link Command.DeliverSnapshot} follows.
     *
     * @param requester handle that the snapshot is delivered to
     */
    record SnapshotRequested(long requester) implements Event {}

    /** The entry host shuts down: no new session or submission is accepted from now on. */
    record StopRequested() implements Event {}

    /** The grace period of a shutdown has ended: all open jobs are settled now. */
    record GracePeriodEnded() implements Event {}

    /**
     * All sessions are to be handed over to another host. Settles all open jobs as {@link GracePeriodEnded} does and
     * closes all sessions permanently. A {@link Command.HandOver} follows.
     */
    record HandoverRequested() implements Event {}

    /**
     * A stopping entry host handed over its closed sessions. A {@link Command.HandoverAnswered} follows.
     *
     * @param requester handle that the answer is delivered to
     * @param sessions all sessions of that host
     * @param answers the kept answers of that host
     */
    record HandoverReceived(
            long requester, ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers)
            implements Event {}

    /** The process may have been suspended: no task is started until {@link StartsResumed}. */
    record StartsHeld() implements Event {}

    /** All state that may have changed during a suspension has been checked; tasks may be started again. */
    record StartsResumed() implements Event {}

    /**
     * A target did not respond for several seconds on several connections.
     *
     * @param target id of the target
     */
    record TargetUnresponsive(String target) implements Event {}
}
