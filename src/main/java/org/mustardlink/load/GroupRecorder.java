package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Histograms and counts of one class or team. Not thread-safe. */
final class GroupRecorder {
    /** Ratios and milliseconds are recorded in thousandths. */
    private static final double UNIT = 1000;

    private static final int DIGITS = 3;

    private final Histogram ratio = new Histogram(DIGITS);
    private final Histogram pooled = new Histogram(DIGITS);
    private final Histogram responseMs = new Histogram(DIGITS);
    private final Map<String, Long> failed = new TreeMap<>();
    private long jobs;

    void complete(double response, double ideal, double pooledResponse) {
        jobs++;
        ratio.recordValue(Math.round(response / ideal * UNIT));
        pooled.recordValue(Math.round(pooledResponse / ideal * UNIT));
        responseMs.recordValue(Math.round(response * UNIT));
    }

    void failed(String reason) {
        jobs++;
        failed.merge(reason, 1L, Long::sum);
    }

    long failures() {
        return failed.values().stream().mapToLong(Long::longValue).sum();
    }

    long jobs() {
        return jobs;
    }

    Histogram ratio() {
        return ratio;
    }

    double ratioP99() {
        return quantile(ratio, 99);
    }

    RunReport.Group report(String name) {
        return new RunReport.Group(
                name,
                jobs,
                ratio.getTotalCount(),
                ImmutableMap.copyOf(failed),
                quantiles(ratio),
                quantiles(pooled),
                quantiles(responseMs));
    }

    private static RunReport.Quantiles quantiles(Histogram histogram) {
        return new RunReport.Quantiles(
                quantile(histogram, 50), quantile(histogram, 90), quantile(histogram, 99), quantile(histogram, 99.9));
    }

    private static double quantile(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(percentile) / UNIT;
    }
}
