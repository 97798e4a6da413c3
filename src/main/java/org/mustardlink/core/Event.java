package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/** Something that happened outside the core. Events are handled one at a time, in the order given. */
public sealed interface Event {
    /**
     * A caller asks for a new session. A {@link Command.SessionGranted} or {@link Command.SessionRefused} follows.
     *
     * @param requester handle that the answer is delivered to
     */
    record SessionRequested(long requester) implements Event {}

    /**
     * A job arrived for a session that this entry host owns. A {@link Command.DeliverVerdict} follows.
     *
     * @param requester handle that the verdict is delivered to
     * @param id the submission
     * @param request the job
     */
    record JobSubmitted(long requester, SubmissionId id, JobRequest request) implements Event {
        public JobSubmitted {
            checkNotNull(id, "id");
            checkNotNull(request, "request");
        }
    }

    /**
     * A caller asks for the answer of an earlier submission without submitting it. A {@link Command.DeliverVerdict}
     * or {@link Command.ReportUnused} follows.
     *
     * @param requester handle that the verdict is delivered to
     * @param id the submission
     */
    record AnswerRequested(long requester, SubmissionId id) implements Event {}

    /**
     * A caller cancels a submission. A {@link Command.DeliverVerdict} follows.
     *
     * @param requester handle that the resulting verdict is delivered to
     * @param id the submission
     */
    record JobCancelled(long requester, SubmissionId id) implements Event {}

    /**
     * A requester went away; no verdict is delivered to its handle from now on. The job itself goes on.
     *
     * @param requester the handle
     * @param id the submission it waited for
     */
    record RequesterDisconnected(long requester, SubmissionId id) implements Event {}

    /**
     * A start ended.
     *
     * @param task the task
     * @param attempt number of the attempt, from 1
     * @param result how it ended
     */
    record AttemptEnded(TaskId task, int attempt, AttemptResult result) implements Event {
        public AttemptEnded {
            checkNotNull(task, "task");
            checkNotNull(result, "result");
        }
    }

    /**
     * Configuration now declares these targets, in place of any earlier set.
     *
     * @param targets every target that this entry host may use
     */
    record TargetsDeclared(ImmutableList<TargetSpec> targets) implements Event {}

    /**
     * These targets take no new work, in place of any earlier set.
     *
     * @param targets ids of the targets that are draining
     */
    record TargetsDraining(ImmutableSet<String> targets) implements Event {}

    /**
     * Configuration now declares these quotas, in place of any earlier set. Other teams have weight 1 and no limits.
     *
     * @param teams quotas of teams, one a team
     */
    record TeamsDeclared(ImmutableList<TeamSpec> teams) implements Event {}

    /**
     * These entry hosts are alive, in place of any earlier set; this host is one of them.
     *
     * @param ownDomain failure domain of this host
     * @param domainByHost failure domain of each host, by host id
     */
    record EntryHostsChanged(String ownDomain, ImmutableMap<String, String> domainByHost) implements Event {}

    /**
     * Another entry host asks for slots that its waiting tasks could use.
     *
     * @param from id of that host
     * @param demands what it lacks
     */
    record SlotsRequested(String from, ImmutableList<SlotDemand> demands) implements Event {}

    /**
     * Another entry host lends slots.
     *
     * @param from id of that host
     * @param loans what it lends
     * @param term how long, from the moment of the offer
     */
    record SlotsOffered(String from, ImmutableList<SlotLoan> loans, Duration term) implements Event {}

    /**
     * An operator's page or a metric asks for the state of the core. A {@link Command.DeliverSnapshot} follows.
     *
     * @param requester handle that the snapshot is delivered to
     */
    record SnapshotRequested(long requester) implements Event {}

    /** The entry host was asked to stop: no new session or submission is accepted from now on. */
    record StopRequested() implements Event {}

    /** The time to finish is over: every open job is settled now. */
    record GracePeriodEnded() implements Event {}

    /**
     * Settles every open job as {@link GracePeriodEnded} does and closes every session for good. A {@link Command.HandOver}
     * follows.
     */
    record HandoverRequested() implements Event {}

    /**
     * A stopping entry host handed its closed sessions over. A {@link Command.HandoverAnswered} follows.
     *
     * @param requester handle that the answer is delivered to
     * @param sessions every session of that host
     * @param answers the answers that it kept
     */
    record HandoverReceived(
            long requester, ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers)
            implements Event {}

    /** The process may have been paused: nothing is started until {@link StartsResumed}. */
    record StartsHeld() implements Event {}

    /** Everything that may have changed during a pause was checked again. */
    record StartsResumed() implements Event {}

    /**
     * A target was silent for seconds on several connections.
     *
     * @param target id of the target
     */
    record TargetUnresponsive(String target) implements Event {}
}
