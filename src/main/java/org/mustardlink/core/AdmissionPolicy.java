package org.mustardlink.core;

import java.time.Duration;
import java.util.Optional;

/** Decides whether a newly submitted job can meet its deadline. */
@FunctionalInterface
public interface AdmissionPolicy {
    /**
     * Decides whether to refuse a job.
     *
     * @param estimate expected waiting and run time of the job
     * @return empty to admit the job, or the time after which an equal job is expected to be admitted
     */
    Optional<Duration> refusalRetryAfter(JobEstimate estimate);

    /** Returns a policy that admits every job. */
    static AdmissionPolicy acceptAll() {
        return _estimate -> Optional.empty();
    }
}
