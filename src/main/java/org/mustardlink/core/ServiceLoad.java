package org.mustardlink.core;

import java.util.List;

/** Recent mean of the capacity in use at the targets of a service. */
final class ServiceLoad {
    /** Shortest time between two samples, in nanoseconds; the sampled value changes with every task. */
    private static final long SAMPLE_NANOS = 20_000_000;

    /** Time constant of the mean, in nanoseconds: long against a task, short against a change of load. */
    private static final double MEMORY_NANOS = 2e9;

    private long sampledNanos = Long.MIN_VALUE;
    private double offered;

    /** Returns the mean, as the sum of the speeds of the busy slots, after taking a sample if one is due. */
    double sample(List<TargetRow> targets, long now) {
        if (sampledNanos == Long.MIN_VALUE || now - sampledNanos >= SAMPLE_NANOS) {
            double busy = 0;
            for (TargetRow target : targets) {
                busy += target.outstanding() * target.speed();
            }
            double keep = sampledNanos == Long.MIN_VALUE ? 0 : Math.exp((sampledNanos - now) / MEMORY_NANOS);
            offered = keep * offered + (1 - keep) * busy;
            sampledNanos = now;
        }
        return offered;
    }
}
