package org.mustardlink.core;

/**
 * Learned run time of one (service, class). Uses logarithms, because errors of declared times are multiplicative.
 *
 * <p>Two predictors are combined: the declared time corrected by a learned factor, and the mean of the class. Each is
 * weighted by the inverse of its variance, so uninformative declared times lose their weight.
 */
final class ClassEstimate {
    /** Variance of declared times that are wrong by up to 4x either way, log-uniformly distributed: (ln 4)^2 / 3. */
    private static final double PRIOR_VARIANCE = 0.64;

    /** Weight of the declared times, in samples; small, so that a few tasks outweigh them. */
    private static final double PRIOR_SAMPLES = 4;

    /** Smallest weight of a new sample, so that the estimate follows a change of the class within a hundred tasks. */
    private static final double MIN_GAIN = 0.02;

    /** Number of samples from which the mean of the class is used. */
    private static final int MEAN_SAMPLES = 10;

    /** Smallest variance, so that a few equal samples do not give one predictor all the weight. */
    private static final double MIN_VARIANCE = 0.0025;

    private int samples;
    private double logFactor;
    private double factorVariance = PRIOR_VARIANCE;
    private double logMean;
    private double meanVariance = PRIOR_VARIANCE;

    int samples() {
        return samples;
    }

    /** Returns the natural logarithm of the expected work, in milliseconds at speed 1. */
    double logWork(long declaredMs) {
        double byFactor = Math.log((double) declaredMs) + logFactor;
        if (samples < MEAN_SAMPLES) {
            return byFactor;
        }
        double factorWeight = 1 / factorVariance;
        double meanWeight = 1 / meanVariance;
        return (factorWeight * byFactor + meanWeight * logMean) / (factorWeight + meanWeight);
    }

    /** Returns the standard error of {@link #logWork}. */
    double logError() {
        return Math.sqrt(samples < MEAN_SAMPLES ? factorVariance : Math.min(factorVariance, meanVariance));
    }

    /** Updates both predictors with the work of a completed task. */
    void learn(long declaredMs, double logWork) {
        samples++;
        double factorError = logWork - Math.log((double) declaredMs) - logFactor;
        double gain = Math.max(1 / (samples + PRIOR_SAMPLES), MIN_GAIN);
        logFactor += gain * factorError;
        factorVariance = variance(factorVariance, factorError, gain);
        double meanError = samples == 1 ? 0 : logWork - logMean;
        logMean = samples == 1 ? logWork : logMean + Math.max(1.0 / samples, MIN_GAIN) * meanError;
        meanVariance = variance(meanVariance, meanError, gain);
    }

    private static double variance(double before, double error, double gain) {
        return Math.max(MIN_VARIANCE, before + gain * (error * error - before));
    }
}
