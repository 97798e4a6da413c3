package org.mustardlink.load;

import com.google.common.collect.ImmutableList;

/**
 * Targets of one failure domain.
 *
 * @param speeds speed of each target, relative to 1
 * @param slots slots of each target
 */
public record DomainCapacity(ImmutableList<Double> speeds, int slots) {
    /** Returns targets whose speeds are evenly spaced from 1 to the spread. */
    public static DomainCapacity evenlySpaced(int targets, int slots, double spread) {
        ImmutableList.Builder<Double> speeds = ImmutableList.builder();
        for (int i = 0; i < targets; i++) {
            speeds.add(targets == 1 ? 1.0 : 1 + (spread - 1) * i / (targets - 1));
        }
        return new DomainCapacity(speeds.build(), slots);
    }

    /** Returns the work done per second with every slot busy, in seconds at speed 1. */
    double workPerSecond() {
        return slots * speeds.stream().mapToDouble(Double::doubleValue).sum();
    }

    double maxSpeed() {
        return speeds.stream().mapToDouble(Double::doubleValue).max().orElse(1);
    }

    /** Returns the shortest possible response in milliseconds: the job alone in the domain, perfectly divided. */
    double idealMs(JobPlan job, double networkMs) {
        return networkMs + Math.max(job.longestTaskMs() / maxSpeed(), job.workMs() / workPerSecond());
    }
}
