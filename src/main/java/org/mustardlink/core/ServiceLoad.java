package org.mustardlink.core;

import java.util.List;

/** Exponential moving average of the capacity in use at the targets of a service. */
final class ServiceLoad {
    /** Minimum interval between two samples, in nanoseconds; the sampled value changes with every task. */
    private static final long SAMPLE_INTERVAL_NANOS = 20_000_000;

    /** Time constant of the average, in nanoseconds: long compared to a task, short compared to changes of the load. */
    private static final double TIME_CONSTANT_NANOS = 2e9;

    private long lastSampleNanos = Long.MIN_VALUE;
    private double offeredLoad;

    /** Takes a sample if one is due, and returns the average as the sum of the speeds of the busy slots. */
    double sample(List<TargetRow> targets, long now) {
        if (lastSampleNanos == Long.MIN_VALUE || now - lastSampleNanos >= SAMPLE_INTERVAL_NANOS) {
            double busyCapacity = 0;
            for (TargetRow target : targets) {
                busyCapacity += target.outstanding() * target.speed();
            }
            double decay =
                    lastSampleNanos == Long.MIN_VALUE ? 0 : Math.exp((lastSampleNanos - now) / TIME_CONSTANT_NANOS);
            offeredLoad = decay * offeredLoad + (1 - decay) * busyCapacity;
            lastSampleNanos = now;
        }
        return offeredLoad;
    }
}
