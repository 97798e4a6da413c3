package org.mustardlink.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of actual to expected running time, by kind of target.
 *
 * <p>The kind of a target is its first label; targets of one kind have the same hardware. A slowness of 1 is the
 * reference speed.
 */
final class KindSlowness {
    /** Weight of one sample; an average covers about the last 50 tasks of a kind, a few seconds of a busy pool. */
    private static final double SAMPLE_WEIGHT = 0.02;
    /** Upper bound on a sample, because the running time of a stalled task says nothing about the hardware. */
    private static final double MAX_SAMPLE = 4;

    private final Map<String, Double> slownessByKind = new HashMap<>();

    /** Returns the slowness of a kind, 1 if no task has run on it yet. */
    double of(String kind) {
        return slownessByKind.getOrDefault(kind, 1.0);
    }

    /** Returns the mean slowness of all kinds on which tasks have run. */
    double mean() {
        return slownessByKind.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
    }

    /** Returns the slowness of the slowest kind. */
    double slowest() {
        return slownessByKind.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(1);
    }

    /** Returns the slowness of the fastest kind. */
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
