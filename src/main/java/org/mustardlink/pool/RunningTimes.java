package org.mustardlink.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the running times that callers declare by those that tasks of the same queue have had.
 *
 * <p>Declared times are off by half either way and jobs of a queue differ by about as much, so the best guess lies, on a
 * logarithmic scale, half way between the declared time and the queue's usual one.
 */
final class RunningTimes {
    /** Weight of one sample; the mean covers the last hundred tasks of a queue. */
    private static final double WEIGHT = 0.01;
    /** Weight of the declared time against the queue's usual one. */
    private static final double DECLARED_WEIGHT = 0.5;
    /** Samples before the queue's usual time counts. */
    private static final int MIN_SAMPLES = 20;

    private final Map<String, Usual> byQueue = new HashMap<>();

    private static final class Usual {
        private double logNanos;
        private int samples;
        /** The last answer and what it depends on; placement asks for one task's time once for each target. */
        private long answeredDeclaredNanos;

        private int answeredSamples;
        private long answeredNanos;
    }

    /** Takes the running time of a task as it would have been on a target of usual speed. */
    void sample(String queue, double nanos) {
        Usual usual = byQueue.computeIfAbsent(queue, _queue -> new Usual());
        usual.samples++;
        double weight = Math.max(WEIGHT, 1.0 / usual.samples);
        usual.logNanos += weight * (Math.log(Math.max(1, nanos)) - usual.logNanos);
    }

    /** Returns the expected running time of a task on a target of usual speed. */
    long expectedNanos(String queue, Duration declared) {
        Usual usual = byQueue.get(queue);
        if (usual == null || usual.samples < MIN_SAMPLES || declared.isZero()) {
            return declared.toNanos();
        }
        long declaredNanos = declared.toNanos();
        if (usual.answeredSamples != usual.samples || usual.answeredDeclaredNanos != declaredNanos) {
            double log = DECLARED_WEIGHT * Math.log((double) declaredNanos) + (1 - DECLARED_WEIGHT) * usual.logNanos;
            usual.answeredNanos = (long) Math.exp(log);
            usual.answeredSamples = usual.samples;
            usual.answeredDeclaredNanos = declaredNanos;
        }
        return usual.answeredNanos;
    }
}
