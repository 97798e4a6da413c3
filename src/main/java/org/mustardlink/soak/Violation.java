package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Something that must not happen and did.
 *
 * @param atMs milliseconds since the start of the soak
 * @param rule short name of the promise that was broken
 * @param job the job, empty if it concerns none
 * @param detail targets and times
 */
public record Violation(long atMs, String rule, String job, String detail) {
    private static final double MS_PER_SECOND = 1_000;

    public Violation {
        checkNotNull(rule, "rule");
        checkNotNull(job, "job");
        checkNotNull(detail, "detail");
    }

    /** Returns the one line that reports it. */
    public String format(long seed) {
        return "VIOLATION seed=%d second=%.3f rule=%s job=%s %s"
                .formatted(seed, atMs / MS_PER_SECOND, rule, job, detail);
    }
}
