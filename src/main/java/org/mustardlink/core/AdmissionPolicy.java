package org.mustardlink.core;

import java.time.Duration;
import java.util.Optional;

/** Decides whether a job that just arrived can meet its deadline. */
@FunctionalInterface
public interface AdmissionPolicy {
    /**
     * Decides about one job.
     *
     * @param estimate what is expected of the job
     * @return empty to accept it, or the time after which an equal job is expected to be accepted
     */
    Optional<Duration> refusalRetryAfter(JobEstimate estimate);

    /** Returns a policy that accepts every job. */
    static AdmissionPolicy acceptAll() {
        return _estimate -> Optional.empty();
    }
}
