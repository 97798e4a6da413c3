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
 * ten of any other queue, so the others are served in time. It never loses more than {@link #MAX_SHARE} of its jobs to
 * this rule before the next queue yields too.
 */
final class LoadShedding {
    /** Time constant of the rates; a burst shows within it, and a single large job doesn't. */
    private static final double TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Offered work relative to the throughput from which jobs are refused; beyond it the queue grows without end. */
    private static final double LIMIT = 0.95;
    /** Largest share of a queue's jobs that is refused. */
    private static final double MAX_SHARE = 0.7;

    private final Map<String, Rate> rates = new HashMap<>();

    private static final class Rate {
        private double perNano;
        private long updatedNanos;
        private double unrefusedShare;

        private double at(long now) {
            return perNano * Math.exp(-(now - updatedNanos) / TIME_CONSTANT_NANOS);
        }
    }

    /** Counts the work of an arriving job, in thousandths of a core times nanoseconds. */
    void offered(String queue, double work, long now) {
        Rate rate = rates.computeIfAbsent(queue, _queue -> new Rate());
        rate.perNano = rate.at(now) + work / TIME_CONSTANT_NANOS;
        rate.updatedNanos = now;
    }

    /**
     * Returns whether an arriving job is to be refused.
     *
     * @param throughput work that the pool does, in thousandths of a core
     */
    boolean shed(String queue, double throughput, long now) {
        double excess = -LIMIT * throughput;
        for (Rate rate : rates.values()) {
            excess += rate.at(now);
        }
        if (excess <= 0) {
            return false;
        }
        List<Map.Entry<String, Rate>> heaviestFirst = new ArrayList<>(rates.entrySet());
        heaviestFirst.sort(Comparator.comparingDouble(entry -> -entry.getValue().at(now)));
        for (Map.Entry<String, Rate> entry : heaviestFirst) {
            double offered = entry.getValue().at(now);
            double share = Math.min(MAX_SHARE, excess / offered);
            if (entry.getKey().equals(queue)) {
                return refusesNext(entry.getValue(), share);
            }
            excess -= share * offered;
            if (excess <= 0) {
                return false;
            }
        }
        return false;
    }

    /** Spreads the refusals evenly over the jobs of a queue. */
    private static boolean refusesNext(Rate rate, double share) {
        rate.unrefusedShare += share;
        if (rate.unrefusedShare < 1) {
            return false;
        }
        rate.unrefusedShare -= 1;
        return true;
    }
}
