package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Every bound of the core.
 *
 * @param host id of this entry host
 * @param incarnation incarnation of this process, positive
 * @param maxSessions sessions kept at once
 * @param sessionTtl idle time after which a session expires
 * @param maxOpenJobs jobs without a verdict at once
 * @param maxQueuedTasks tasks waiting for a slot at once
 * @param maxKeptAnswers answers kept for resubmissions
 * @param maxKeptBytes result characters kept for resubmissions
 * @param answerTtl time that an answer is kept
 * @param retryAfter time to come back that refusals name by default
 */
public record CoreSettings(
        String host,
        long incarnation,
        int maxSessions,
        Duration sessionTtl,
        int maxOpenJobs,
        int maxQueuedTasks,
        int maxKeptAnswers,
        long maxKeptBytes,
        Duration answerTtl,
        Duration retryAfter) {
    public CoreSettings {
        checkNotNull(host, "host");
        checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
        checkArgument(maxSessions > 0, "maxSessions must be positive: %s", maxSessions);
        checkArgument(sessionTtl.toNanos() > 0, "sessionTtl must be positive: %s", sessionTtl);
        checkArgument(maxOpenJobs > 0, "maxOpenJobs must be positive: %s", maxOpenJobs);
        checkArgument(maxQueuedTasks > 0, "maxQueuedTasks must be positive: %s", maxQueuedTasks);
        checkArgument(maxKeptAnswers > 0, "maxKeptAnswers must be positive: %s", maxKeptAnswers);
        checkArgument(maxKeptBytes > 0, "maxKeptBytes must be positive: %s", maxKeptBytes);
        checkArgument(answerTtl.toNanos() > 0, "answerTtl must be positive: %s", answerTtl);
        checkArgument(retryAfter.toNanos() > 0, "retryAfter must be positive: %s", retryAfter);
    }

    /**
     * Returns settings with the default bounds, which fit a heap of 96 MB.
     *
     * @param host id of this entry host
     * @param incarnation incarnation of this process
     */
    public static CoreSettings defaults(String host, long incarnation) {
        return new CoreSettings(
                host,
                incarnation,
                20_000,
                Duration.ofMinutes(30),
                20_000,
                100_000,
                20_000,
                16L << 20,
                Duration.ofMinutes(5),
                Duration.ofSeconds(1));
    }
}
