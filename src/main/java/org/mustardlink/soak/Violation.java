package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A violation of one of the rules that the checkers of a soak enforce.
 *
 * @param atMs time of the violation, in milliseconds since the start of the soak
 * @param rule name of the violated rule
 * @param job id of the affected job, empty if no single job is affected
 * @param detail the affected targets, runs and times, in words
 */
public record Violation(long atMs, String rule, String job, String detail) {
    private static final double MS_PER_SECOND = 1_000;

    public Violation {
        checkNotNull(rule, "rule");
        checkNotNull(job, "job");
        checkNotNull(detail, "detail");
    }

    /** Returns the line that reports this violation. */
    public String format(long seed) {
        return "VIOLATION seed=%d second=%.3f rule=%s job=%s %s"
                .formatted(seed, atMs / MS_PER_SECOND, rule, job, detail);
    }
}
