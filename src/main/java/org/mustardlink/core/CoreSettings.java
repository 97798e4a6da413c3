package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Identity of the entry host and limits of the core.
 *
 * @param host id of this entry host
 * @param incarnation incarnation of this process, positive
 * @param maxSessions maximum number of sessions
 * @param sessionTtl idle time after which a session expires
 * @param maxOpenJobs maximum number of jobs without a verdict
 * @param maxQueuedTasks maximum number of tasks waiting for a slot
 * @param maxKeptAnswers maximum number of answers kept for resubmissions
 * @param maxKeptBytes maximum total length of the results kept for resubmissions, in characters
 * @param answerTtl time for which an answer is kept
 * @param retryAfter default retry-after time of refusals
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
     * Returns settings with the default limits, which fit into a heap of 96 MB.
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
