package org.mustardlink.peer;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.core.AnswerSnapshot;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SessionSnapshot;
import org.mustardlink.core.SubmissionId;

/**
 * Handles requests that other entry hosts forward to this one. Requests are never forwarded again, so a request passes
 * through at most one entry host besides the one that received it.
 */
public interface OwnerBackend {
    /** The relation of this process to a session. */
    enum SessionRelation {
        /** The process owns the session, or the owner has handed the session over to it. */
        RESPONSIBLE,
        /** The process is a later incarnation of the owner, so the owner has ended. */
        LATER_INCARNATION,
        /** The process is not responsible for the session and knows nothing about the state of its owner. */
        NOT_OWNER
    }

    /** Returns the relation of this process to a session. */
    SessionRelation relationTo(SessionId session);

    /** Submits a job of a session that this process is responsible for. */
    CompletableFuture<JobAnswer> submitLocally(SubmissionId id, JobRequest request);

    /** Waits for the verdict of a submission that this process is responsible for. */
    CompletableFuture<JobAnswer> lookUpLocally(SubmissionId id);

    /** Cancels a submission that this process is responsible for. */
    CompletableFuture<JobAnswer> cancelLocally(SubmissionId id);

    /**
     * Takes over closed sessions and retained answers from a stopping entry host.
     *
     * @return whether this process is responsible for the sessions from now on
     */
    CompletableFuture<Boolean> takeOverSessions(
            String host,
            long incarnation,
            ImmutableList<SessionSnapshot> sessions,
            ImmutableList<AnswerSnapshot> answers);

    /** Records that an incarnation of an entry host has stopped and which entry host took over its sessions. */
    void recordOwnerLeft(String host, long incarnation, String successor);
}
