package org.mustardlink.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long tasks run compared with what callers declare, by kind of target.
 *
 * <p>The kind is a target's first label; targets of one kind have the same hardware.
 */
final class KindSlowness {
    /** Weight of one sample; the mean covers the last 50 tasks of a kind, a few seconds of a busy pool. */
    private static final double SAMPLE_WEIGHT = 0.02;
    /** Largest sample: a task that stood still says nothing about the hardware. */
    private static final double MAX_SAMPLE = 4;

    private final Map<String, Double> slownessByKind = new HashMap<>();

    /** Returns the expected running time of a task on a kind relative to its declared one. */
    double of(String kind) {
        return slownessByKind.getOrDefault(kind, 1.0);
    }

    /** Returns the mean over all kinds seen so far. */
    double mean() {
        return slownessByKind.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
    }

    /** Returns the expected running time on the slowest kind relative to the declared one. */
    double slowest() {
        return slownessByKind.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(1);
    }

    /** Returns the expected running time on the fastest kind relative to the declared one. */
    double fastest() {
        return slownessByKind.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(1);
    }

    void addSample(String kind, double ratio) {
        slownessByKind.merge(
                kind, Math.min(ratio, MAX_SAMPLE), (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }
}
