package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * Report of a run.
 *
 * @param policy name of the placement policy
 * @param seed seed of the run
 * @param settings description of the settings, including the sizes of the deployment
 * @param groups figures by class and by team, starting with {@code all}
 * @param messages messages per task of the run, by kind; empty if the entry hosts run in other processes
 * @param counts totals such as jobs, tasks, repeated starts and wrong answers
 * @param timeline figures of each second after the warm-up
 * @param sendDelayMs 99th percentile of the delay from the intended arrival to the submission, in milliseconds
 */
public record RunReport(
        String policy,
        long seed,
        String settings,
        ImmutableList<Group> groups,
        ImmutableMap<String, Double> messages,
        ImmutableMap<String, Long> counts,
        ImmutableList<Second> timeline,
        double sendDelayMs) {
    /**
     * Figures of one class or team.
     *
     * @param name {@code all}, {@code class NAME} or {@code team NAME}
     * @param jobs jobs that arrived after the warm-up
     * @param complete jobs that were completed
     * @param failed failed jobs by reason
     * @param ratio ratio of response time to ideal response time of the completed jobs
     * @param pooled the same ratio for the reference response times of {@link PooledQueue}
     * @param responseMs response time of the completed jobs in milliseconds
     */
    public record Group(
            String name,
            long jobs,
            long complete,
            ImmutableMap<String, Long> failed,
            Quantiles ratio,
            Quantiles pooled,
            Quantiles responseMs) {}

    /** Quantiles of a distribution; {@code NaN} if the distribution is empty. */
    public record Quantiles(double p50, double p90, double p99, double p999) {}

    /**
     * Figures of one second after the warm-up.
     *
     * @param second number of the second, from 0
     * @param arrivals jobs that arrived in the second
     * @param goodput work completed in the second as a share of the capacity
     * @param p99 99th percentile of the ratio of response time to ideal response time, over the completed jobs that
     *     arrived in the second
     * @param failed jobs that arrived in the second and failed
     */
    public record Second(int second, long arrivals, double goodput, double p99, long failed) {}
}
