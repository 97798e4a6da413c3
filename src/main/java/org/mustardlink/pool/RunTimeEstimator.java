package org.mustardlink.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the running times that callers declare by those that tasks of the same queue have had.
 *
 * <p>Declared times are off by half either way and jobs of a queue differ by about as much, so the best guess lies, on a
 * logarithmic scale, half way between the declared time and the queue's usual one.
 */
final class RunTimeEstimator {
    /** Weight of one sample; the mean covers the last hundred tasks of a queue. */
    private static final double SAMPLE_WEIGHT = 0.01;
    /** Weight of the declared time against the queue's usual one. */
    private static final double DECLARED_WEIGHT = 0.5;
    /** Samples before the queue's usual time counts. */
    private static final int MIN_SAMPLES = 20;

    private final Map<String, RouteAverage> averagesByRoute = new HashMap<>();

    private static final class RouteAverage {
        private double meanLogNanos;
        private int sampleCount;
        /** The last answer and what it depends on; placement asks for one task's time once for each target. */
        private long cachedDeclaredNanos;

        private int cachedSampleCount;
        private long cachedExpectedNanos;
    }

    /** Takes the running time of a task as it would have been on a target of usual speed. */
    void addSample(String route, double nanos) {
        RouteAverage average = averagesByRoute.computeIfAbsent(route, _queue -> new RouteAverage());
        average.sampleCount++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / average.sampleCount);
        average.meanLogNanos += weight * (Math.log(Math.max(1, nanos)) - average.meanLogNanos);
    }

    /** Returns the expected running time of a task on a target of usual speed. */
    long expectedNanos(String route, Duration declared) {
        RouteAverage average = averagesByRoute.get(route);
        if (average == null || average.sampleCount < MIN_SAMPLES || declared.isZero()) {
            return declared.toNanos();
        }
        long declaredNanos = declared.toNanos();
        if (average.cachedSampleCount != average.sampleCount || average.cachedDeclaredNanos != declaredNanos) {
            double logExpectedNanos =
                    DECLARED_WEIGHT * Math.log((double) declaredNanos) + (1 - DECLARED_WEIGHT) * average.meanLogNanos;
            average.cachedExpectedNanos = (long) Math.exp(logExpectedNanos);
            average.cachedSampleCount = average.sampleCount;
            average.cachedDeclaredNanos = declaredNanos;
        }
        return average.cachedExpectedNanos;
    }
}
