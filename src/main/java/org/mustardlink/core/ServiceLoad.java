package org.mustardlink.core;

import java.util.List;

/** Recent mean of the capacity in use at the targets of a service. */
final class ServiceLoad {
    /** Shortest time between two samples, in nanoseconds; the sampled value changes with every task. */
    private static final long SAMPLE_INTERVAL_NANOS = 20_000_000;

    /** Time constant of the mean, in nanoseconds: long against a task, short against a change of load. */
    private static final double TIME_CONSTANT_NANOS = 2e9;

    private long lastSampleNanos = Long.MIN_VALUE;
    private double offeredLoad;

    /** Returns the mean, as the sum of the speeds of the busy slots, after taking a sample if one is due. */
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
