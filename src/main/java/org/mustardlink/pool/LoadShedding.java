package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides which jobs are refused on arrival while more work arrives than a pool can do.
 *
 * <p>Jobs of the route with the most work are refused first: refusing a tenth of them frees more capacity than refusing
 * a tenth of any other route's jobs, so jobs of the other routes are completed in time. Once {@link #MAX_REFUSED_SHARE}
 * of its work is refused, jobs of the route with the second most work are refused as well, and so on.
 *
 * <p>Within a route, the share applies to work rather than to jobs, because it is work that the pool can't do. A job is
 * refused once the work still to be refused covers all of its own, so small jobs yield before large ones. This makes up
 * for small jobs that are never considered for refusal, because they fit on the targets at once.
 */
final class LoadShedding {
    /** Time constant of the arrival rates: short enough to detect a burst, long enough to smooth a single large job. */
    private static final double TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /**
     * Arriving work relative to the throughput above which jobs are refused, because the queue would grow
     * without bound.
     */
    private static final double MAX_UTILIZATION = 0.95;
    /** Largest share of a route's work that is refused. */
    private static final double MAX_REFUSED_SHARE = 0.7;

    private final Map<String, Rate> ratesByRoute = new HashMap<>();

    /** Exponentially decaying rate of the work that arrives by a route. */
    private static final class Rate {
        private double milliCores;
        private long updatedNanos;
        /** Work to refuse, less the work refused, in thousandths of a core times nanoseconds. */
        private double pendingMilliCoreNanos;

        private double decayedAt(long now) {
            return milliCores * Math.exp(-(now - updatedNanos) / TIME_CONSTANT_NANOS);
        }
    }

    /** Adds the work of an arriving job, in thousandths of a core times nanoseconds, to the rate of its route. */
    void recordArrival(String route, double workMilliCoreNanos, long now) {
        Rate rate = ratesByRoute.computeIfAbsent(route, _route -> new Rate());
        rate.milliCores = rate.decayedAt(now) + workMilliCoreNanos / TIME_CONSTANT_NANOS;
        rate.updatedNanos = now;
    }

    /**
     * Returns whether an arriving job must be refused.
     *
     * @param workMilliCoreNanos work of the job, in thousandths of a core times nanoseconds
     * @param throughputMilliCores work per time that the pool can do, in thousandths of a core
     */
    boolean shouldRefuse(String route, double workMilliCoreNanos, double throughputMilliCores, long now) {
        double excessMilliCores = -MAX_UTILIZATION * throughputMilliCores;
        for (Rate rate : ratesByRoute.values()) {
            excessMilliCores += rate.decayedAt(now);
        }
        if (excessMilliCores <= 0) {
            return false;
        }
        List<Map.Entry<String, Rate>> heaviestFirst = new ArrayList<>(ratesByRoute.entrySet());
        heaviestFirst.sort(Comparator.comparingDouble(entry -> -entry.getValue().decayedAt(now)));
        for (Map.Entry<String, Rate> entry : heaviestFirst) {
            double offeredMilliCores = entry.getValue().decayedAt(now);
            double share = Math.min(MAX_REFUSED_SHARE, excessMilliCores / offeredMilliCores);
            if (entry.getKey().equals(route)) {
                return refusesNextJob(entry.getValue(), share, workMilliCoreNanos);
            }
            excessMilliCores -= share * offeredMilliCores;
            if (excessMilliCores <= 0) {
                return false;
            }
        }
        return false;
    }

    /** Returns whether to refuse the next job of a route, so that the given share of the route's work is refused. */
    private static boolean refusesNextJob(Rate rate, double share, double workMilliCoreNanos) {
        rate.pendingMilliCoreNanos += share * workMilliCoreNanos;
        if (workMilliCoreNanos <= 0 || rate.pendingMilliCoreNanos < workMilliCoreNanos) {
            return false;
        }
        rate.pendingMilliCoreNanos -= workMilliCoreNanos;
        return true;
    }
}
