package org.mustardlink.core.policy;

import java.time.Duration;
import java.util.Optional;
import org.mustardlink.core.AdmissionPolicy;
import org.mustardlink.core.JobEstimate;

/**
 * Refuses jobs that are expected to end after their deadline.
 *
 * <p>Without a backlog, the run time is assumed to be one standard error below the estimate. With a backlog, it is
 * assumed to be one standard error above, because under overload every admitted job starts as late as admission allows,
 * and the jobs that then miss their deadline waste capacity.
 */
public final class BacklogAdmission implements AdmissionPolicy {
    /** Fraction of the time to the deadline that the expected wait must exceed to count as a backlog. */
    private static final double MIN_BACKLOG_SHARE = 0.05;

    /** Factor on the expected wait that accounts for the running tasks, which the backlog does not include. */
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
