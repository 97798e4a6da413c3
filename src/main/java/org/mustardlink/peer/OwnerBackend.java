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
 * What an entry host answers to others. Nothing is forwarded again, so a request crosses one other entry host at most.
 */
public interface OwnerBackend {
    /** How this process stands to a session. */
    enum SessionRelation {
        /** It owns the session, or the owner handed the session over to it. */
        RESPONSIBLE,
        /** It is a later incarnation of the owner's host, so the owner is gone. */
        LATER_INCARNATION,
        /** It cannot tell anything about the owner. */
        NOT_OWNER
    }

    /** Returns how this process stands to a session. */
    SessionRelation relationTo(SessionId session);

    /** Submits a job of a session that this process answers for. */
    CompletableFuture<JobAnswer> submitLocally(SubmissionId id, JobRequest request);

    /** Waits for the verdict of a submission that this process answers for. */
    CompletableFuture<JobAnswer> lookUpLocally(SubmissionId id);

    /** Cancels a submission that this process answers for. */
    CompletableFuture<JobAnswer> cancelLocally(SubmissionId id);

    /**
     * Takes closed sessions over.
     *
     * @return whether this process answers for them from now on
     */
    CompletableFuture<Boolean> takeOverSessions(
            String host,
            long incarnation,
            ImmutableList<SessionSnapshot> sessions,
            ImmutableList<AnswerSnapshot> answers);

    /** Learns that an incarnation stopped and who answers for its sessions. */
    void recordOwnerLeft(String host, long incarnation, String successor);
}
