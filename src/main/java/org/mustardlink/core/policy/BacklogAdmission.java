package org.mustardlink.core.policy;

import java.time.Duration;
import java.util.Optional;
import org.mustardlink.core.AdmissionPolicy;
import org.mustardlink.core.JobEstimate;

/**
 * Refuses jobs whose expected end lies beyond their deadline.
 *
 * <p>Without a backlog a job gets the benefit of the doubt: its tasks count as one standard error shorter than estimated.
 * With one they count as one standard error longer, because under overload every accepted job starts at the last moment
 * that admission allows, and those that then end late have wasted capacity.
 */
public final class BacklogAdmission implements AdmissionPolicy {
    /** Share of the deadline that a wait must exceed to count as a backlog. */
    private static final double MIN_BACKLOG_SHARE = 0.05;

    /** Factor on the wait for the running tasks, which the backlog leaves out. */
    private static final double WAIT_MARGIN = 1.1;

    private static final double MIN_RETRY_MS = 50;
    private static final double MAX_RETRY_MS = 30_000;

    private BacklogAdmission() {}

    /** Creates the policy. */
    public static BacklogAdmission create() {
        return new BacklogAdmission();
    }

    @Override
    public Optional<Duration> refusalRetryAfter(JobEstimate estimate) {
        boolean hasBacklog = estimate.waitMs() > MIN_BACKLOG_SHARE * estimate.deadlineMs();
        double runMs = estimate.runMs() * Math.exp(hasBacklog ? estimate.logError() : -estimate.logError());
        if (WAIT_MARGIN * estimate.waitMs() + runMs <= estimate.deadlineMs()) {
            return Optional.empty();
        }
        double excessMs = estimate.waitMs() + estimate.runMs() - estimate.deadlineMs();
        double retryMs = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, excessMs));
        return Optional.of(Duration.ofMillis(Math.round(retryMs)));
    }
}
