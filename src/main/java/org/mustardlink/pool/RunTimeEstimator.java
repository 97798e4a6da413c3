package org.mustardlink.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates running times of tasks from the declared ones and those of earlier tasks of the same route.
 *
 * <p>Declared times are wrong by up to half in either direction, and the jobs of a route differ by about as much. The
 * best estimate is therefore, on a logarithmic scale, halfway between the declared time and the mean of the route.
 */
final class RunTimeEstimator {
    /** Weight of one sample in the moving average, which covers about the last hundred tasks of a route. */
    private static final double SAMPLE_WEIGHT = 0.01;
    /** Weight of the declared time; the mean of the route has the remaining weight. */
    private static final double DECLARED_WEIGHT = 0.5;
    /** Number of samples from which the mean of a route is used. */
    private static final int MIN_SAMPLES = 20;

    private final Map<String, RouteAverage> averagesByRoute = new HashMap<>();

    /** Moving average of the logarithms of a route's running times. */
    private static final class RouteAverage {
        private double meanLogNanos;
        private int sampleCount;
        /**
         * Input of the cached estimate, with {@code cachedSampleCount}; task placement asks for the same estimate once
         * for each target.
         */
        private long cachedDeclaredNanos;

        private int cachedSampleCount;
        private long cachedExpectedNanos;
    }

    /** Adds the running time of a completed task, converted to the reference speed. */
    void addSample(String route, double nanos) {
        RouteAverage average = averagesByRoute.computeIfAbsent(route, _route -> new RouteAverage());
        average.sampleCount++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / average.sampleCount);
        average.meanLogNanos += weight * (Math.log(Math.max(1, nanos)) - average.meanLogNanos);
    }

    /** Returns the expected running time of a task at the reference speed. */
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
