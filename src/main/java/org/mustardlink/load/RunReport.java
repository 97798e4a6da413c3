package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * Result of one run.
 *
 * @param policy name of the placement policy
 * @param seed seed of the run
 * @param settings the settings in words, sizes included
 * @param groups figures by class and by team, {@code all} first
 * @param messages messages by kind for each task of the run, empty when the entry hosts run elsewhere
 * @param counts totals: jobs, tasks, starts, wrong answers
 * @param timeline one row for each second of the measured stretch
 * @param sendDelayMs p99 of the generator's own delay behind the intended arrivals, in milliseconds
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
     * Response over ideal of one class or team.
     *
     * @param name {@code all}, {@code class NAME} or {@code team NAME}
     * @param jobs jobs that arrived in the measured stretch
     * @param complete jobs complete
     * @param failed jobs failed by reason
     * @param ratio response over ideal of the complete jobs
     * @param pooled the same for the pooled queue
     * @param responseMs response of the complete jobs in milliseconds
     */
    public record Group(
            String name,
            long jobs,
            long complete,
            ImmutableMap<String, Long> failed,
            Quantiles ratio,
            Quantiles pooled,
            Quantiles responseMs) {}

    /** Quantiles of a distribution; {@code NaN} for an empty one. */
    public record Quantiles(double p50, double p90, double p99, double p999) {}

    /**
     * One second of the measured stretch.
     *
     * @param second from its start
     * @param arrivals jobs that arrived
     * @param goodput work completed in the second as a share of the capacity
     * @param p99 response over ideal at p99 of the complete jobs that arrived in the second
     * @param failed jobs that arrived in the second and failed
     */
    public record Second(int second, long arrivals, double goodput, double p99, long failed) {}
}
