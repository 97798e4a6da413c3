package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Response time histograms and counts of a group of jobs: a class, a team, or the arrivals of one second. Not
 * thread-safe.
 */
final class GroupRecorder {
    /** Ratios and milliseconds are recorded in thousandths, because histograms hold integers. */
    private static final double SCALE = 1000;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram ratios = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram pooledRatios = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram responsesMs = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> failuresByReason = new TreeMap<>();
    private long jobCount;

    void recordComplete(double responseMs, double idealMs, double pooledResponseMs) {
        jobCount++;
        ratios.recordValue(Math.round(responseMs / idealMs * SCALE));
        pooledRatios.recordValue(Math.round(pooledResponseMs / idealMs * SCALE));
        responsesMs.recordValue(Math.round(responseMs * SCALE));
    }

    void failuresByReason(String reason) {
        jobCount++;
        failuresByReason.merge(reason, 1L, Long::sum);
    }

    long failureCount() {
        return failuresByReason.values().stream().mapToLong(Long::longValue).sum();
    }

    long jobCount() {
        return jobCount;
    }

    Histogram ratios() {
        return ratios;
    }

    double ratioP99() {
        return quantile(ratios, 99);
    }

    RunReport.Group toReport(String name) {
        return new RunReport.Group(
                name,
                jobCount,
                ratios.getTotalCount(),
                ImmutableMap.copyOf(failuresByReason),
                quantiles(ratios),
                quantiles(pooledRatios),
                quantiles(responsesMs));
    }

    private static RunReport.Quantiles quantiles(Histogram histogram) {
        return new RunReport.Quantiles(
                quantile(histogram, 50), quantile(histogram, 90), quantile(histogram, 99), quantile(histogram, 99.9));
    }

    private static double quantile(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(percentile) / SCALE;
    }
}
