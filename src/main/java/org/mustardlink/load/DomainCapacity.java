package org.mustardlink.load;

import com.google.common.collect.ImmutableList;

/**
 * Targets of one failure domain.
 *
 * @param speeds speed of each target; tasks have their nominal run time at speed 1
 * @param slots number of slots of each target
 */
public record DomainCapacity(ImmutableList<Double> speeds, int slots) {
    /** Returns targets whose speeds are evenly spaced from 1 to {@code spread}. */
    public static DomainCapacity evenlySpaced(int targets, int slots, double spread) {
        ImmutableList.Builder<Double> speeds = ImmutableList.builder();
        for (int i = 0; i < targets; i++) {
            speeds.add(targets == 1 ? 1.0 : 1 + (spread - 1) * i / (targets - 1));
        }
        return new DomainCapacity(speeds.build(), slots);
    }

    /** Returns the work that all slots together do each second, in seconds of run time at speed 1. */
    double workPerSecond() {
        return slots * speeds.stream().mapToDouble(Double::doubleValue).sum();
    }

    double maxSpeed() {
        return speeds.stream().mapToDouble(Double::doubleValue).max().orElse(1);
    }

    /**
     * Returns the ideal response time of a job in milliseconds, which is the lower bound if the job had the domain to
     * itself and its work were divided perfectly.
     */
    double idealMs(JobPlan job, double networkMs) {
        return networkMs + Math.max(job.longestTaskMs() / maxSpeed(), job.workMs() / workPerSecond());
    }
}
