package org.mustardlink.core;

import java.util.LinkedHashMap;
import java.util.Map;

/** Learned run times by (service, class). Not persisted: they are learned again after a restart. */
final class RunTimeEstimates {
    /** Maximum number of classes; needed because callers choose the class names. */
    private static final int MAX_CLASSES = 1000;

    /** Samples of a class at which its tasks contribute to target speeds with half of their weight. */
    private static final double TRUSTED_SAMPLES = 4;

    /** Lower bound of observed run times, in milliseconds; shorter ones consist mostly of the network round trip. */
    private static final double MIN_RUN_MS = 0.2;

    private record Key(String service, String jobClass) {}

    private final Map<Key, ClassEstimate> classes = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, ClassEstimate> _eldest) {
            return size() > MAX_CLASSES;
        }
    };

    ClassEstimate estimateFor(JobRequest request) {
        return classes.computeIfAbsent(new Key(request.service(), request.jobClass()), _unused -> new ClassEstimate());
    }

    /** Sets the expected work of all tasks of a job. */
    void applyTo(JobRow job, double fastestSpeed, long now) {
        ClassEstimate estimate = estimateFor(job.request().orElseThrow());
        // The mean of a log-normal distribution is its median times exp(variance / 2).
        double meanCorrection = estimate.logError() * estimate.logError() / 2;
        double longestWorkMs = 0;
        for (TaskRow task : job.tasks()) {
            task.setExpectedWorkMs(Math.exp(estimate.logWork(task.spec().declaredMs()) + meanCorrection));
            longestWorkMs = Math.max(longestWorkMs, task.expectedWorkMs());
        }
        job.applyEstimate(estimate.logError(), longestWorkMs, fastestSpeed, now);
    }

    /** Updates the run time of the class and the speed of the target from a completed attempt. */
    void learn(AttemptTable.AttemptRow attempt, long now) {
        ClassEstimate estimate = estimateFor(attempt.task().job().request().orElseThrow());
        long declaredMs = attempt.task().spec().declaredMs();
        double logRun = Math.log(Math.max(MIN_RUN_MS, (now - attempt.startedNanos()) / 1e6));
        double logSpeed = Math.log(attempt.target().speed());
        double trust = estimate.samples() / (estimate.samples() + TRUSTED_SAMPLES);
        attempt.target().learnSpeed(estimate.logWork(declaredMs) - logRun, trust);
        estimate.learn(declaredMs, logRun + logSpeed);
    }
}
