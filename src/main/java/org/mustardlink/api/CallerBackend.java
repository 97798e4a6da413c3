package org.mustardlink.api;

import java.util.concurrent.CompletableFuture;
import org.mustardlink.claims.SubmissionKey;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;

/** Handles the requests of the caller API. Futures never complete exceptionally; a failure is reported as a verdict. */
public interface CallerBackend {
    /** Opens a session. */
    CompletableFuture<SessionAnswer> openSession();

    /**
     * Submits a job, or waits for the verdict of an earlier submission with the same id.
     *
     * @param id id of the submission
     * @param request the job
     * @param document the JSON document of the job as received, to forward to the owner
     */
    CompletableFuture<JobAnswer> submit(SubmissionId id, JobRequest request, String document);

    /**
     * Submits a job under a key that the caller chose, or waits for the verdict of an earlier submission with the same
     * key.
     *
     * @param key key that identifies the submission
     * @param request the job
     * @param document the JSON document of the job as received, to forward to the owner
     */
    CompletableFuture<KeyedAnswer> submitKeyed(SubmissionKey key, JobRequest request, String document);

    /** Waits for the verdict of an earlier submission. */
    CompletableFuture<JobAnswer> lookUp(SubmissionId id);

    /** Cancels a submission. */
    CompletableFuture<JobAnswer> cancel(SubmissionId id);

    /** Returns whether this entry host accepts new callers. */
    boolean isHealthy();

    /** Returns the caller address of the owner of a session, empty if it is unknown. */
    String ownerAddress(SessionId session);
}
