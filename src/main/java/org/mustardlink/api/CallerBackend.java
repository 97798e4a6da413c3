package org.mustardlink.api;

import java.util.concurrent.CompletableFuture;
import org.mustardlink.claims.SubmissionKey;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;

/** What the caller API needs of the entry host behind it. Futures complete with a verdict, not with an exception. */
public interface CallerBackend {
    /** Opens a session. */
    CompletableFuture<SessionAnswer> openSession();

    /**
     * Submits a job or attaches to an earlier copy of it.
     *
     * @param id the submission
     * @param request the job
     * @param document the job as received, for forwarding
     */
    CompletableFuture<JobAnswer> submit(SubmissionId id, JobRequest request, String document);

    /**
     * Submits a job under a key that the caller made up, or attaches to an earlier copy of it.
     *
     * @param key the key
     * @param request the job
     * @param document the job as received, for forwarding
     */
    CompletableFuture<KeyedAnswer> submitKeyed(SubmissionKey key, JobRequest request, String document);

    /** Waits for the verdict of an earlier submission. */
    CompletableFuture<JobAnswer> lookUp(SubmissionId id);

    /** Cancels a submission. */
    CompletableFuture<JobAnswer> cancel(SubmissionId id);

    /** Returns whether this entry host takes new callers. */
    boolean isHealthy();

    /** Returns the caller address of a session's owner, or the empty string if it is not known. */
    String ownerAddress(SessionId session);
}
