package org.mustardlink.core.policy;

import java.time.Duration;
import java.util.Optional;
import org.mustardlink.core.AdmissionPolicy;
import org.mustardlink.core.JobEstimate;

/** Refuses jobs whose expected end lies beyond their deadline even if their tasks are shorter than estimated. */
public final class BacklogAdmission implements AdmissionPolicy {
    private static final double SHORTEST_RETRY_MS = 50;
    private static final double LONGEST_RETRY_MS = 30_000;

    private BacklogAdmission() {}

    /** Creates the policy. */
    public static BacklogAdmission create() {
        return new BacklogAdmission();
    }

    @Override
    public Optional<Duration> refuse(JobEstimate estimate) {
        double endMs = (estimate.waitMs() + estimate.runMs()) * Math.exp(-estimate.error());
        if (endMs <= estimate.deadlineMs()) {
            return Optional.empty();
        }
        double excessMs = estimate.waitMs() + estimate.runMs() - estimate.deadlineMs();
        double retryMs = Math.max(SHORTEST_RETRY_MS, Math.min(LONGEST_RETRY_MS, excessMs));
        return Optional.of(Duration.ofMillis(Math.round(retryMs)));
    }
}
