package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides which jobs are refused at once while more work arrives than a pool can do.
 *
 * <p>The queue that brings most work yields first: refusing one of its jobs in ten frees more room than refusing one in
 * ten of any other queue, so the others are served in time. It never loses more than {@link #MAX_REFUSED_SHARE} of its jobs to
 * this rule before the next queue yields too.
 */
final class LoadShedding {
    /** Time constant of the rates; a burst shows within it, and a single large job doesn't. */
    private static final double TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Offered work relative to the throughput from which jobs are refused; beyond it the queue grows without end. */
    private static final double MAX_UTILIZATION = 0.95;
    /** Largest share of a queue's jobs that is refused. */
    private static final double MAX_REFUSED_SHARE = 0.7;

    private final Map<String, Rate> ratesByRoute = new HashMap<>();

    private static final class Rate {
        private double perNano;
        private long updatedNanos;
        private double accumulatedShare;

        private double decayedAt(long now) {
            return perNano * Math.exp(-(now - updatedNanos) / TIME_CONSTANT_NANOS);
        }
    }

    /** Counts the work of an arriving job, in thousandths of a core times nanoseconds. */
    void recordArrival(String route, double workMilliCoreNanos, long now) {
        Rate rate = ratesByRoute.computeIfAbsent(route, _queue -> new Rate());
        rate.perNano = rate.decayedAt(now) + workMilliCoreNanos / TIME_CONSTANT_NANOS;
        rate.updatedNanos = now;
    }

    /**
     * Returns whether an arriving job is to be refused.
     *
     * @param throughputMilliCores work that the pool does, in thousandths of a core
     */
    boolean shouldRefuse(String route, double throughputMilliCores, long now) {
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
                return refusesNextJob(entry.getValue(), share);
            }
            excessMilliCores -= share * offeredMilliCores;
            if (excessMilliCores <= 0) {
                return false;
            }
        }
        return false;
    }

    /** Spreads the refusals evenly over the jobs of a queue. */
    private static boolean refusesNextJob(Rate rate, double share) {
        rate.accumulatedShare += share;
        if (rate.accumulatedShare < 1) {
            return false;
        }
        rate.accumulatedShare -= 1;
        return true;
    }
}
