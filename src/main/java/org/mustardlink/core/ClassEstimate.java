package org.mustardlink.core;

/**
 * Learned run time of one (service, class), in logarithms because errors of declared times are factors.
 *
 * <p>Two predictors are kept: the declared time corrected by a learned factor, and the mean of the class. Each counts
 * by the inverse of its squared error, so declared times that say nothing lose their weight by themselves.
 */
final class ClassEstimate {
    /** Spread of declared times that are wrong by up to 4x either way, evenly in the logarithm: (ln 4)^2 / 3. */
    private static final double PRIOR_VARIANCE = 0.64;

    /** Samples that the declared times count for; a few tasks outweigh them. */
    private static final double PRIOR_SAMPLES = 4;

    /** Smallest weight of a new sample, so that a class that changes is followed within a hundred tasks. */
    private static final double MIN_GAIN = 0.02;

    /** Samples before the mean of the class is used at all. */
    private static final int MEAN_SAMPLES = 10;

    /** Smallest variance, so that a few equal samples do not make one predictor certain. */
    private static final double MIN_VARIANCE = 0.0025;

    private int samples;
    private double logFactor;
    private double factorVariance = PRIOR_VARIANCE;
    private double logMean;
    private double meanVariance = PRIOR_VARIANCE;

    int samples() {
        return samples;
    }

    /** Returns the logarithm of the expected work in milliseconds at speed 1. */
    double logWork(long declaredMs) {
        double byFactor = Math.log((double) declaredMs) + logFactor;
        if (samples < MEAN_SAMPLES) {
            return byFactor;
        }
        double factorWeight = 1 / factorVariance;
        double meanWeight = 1 / meanVariance;
        return (factorWeight * byFactor + meanWeight * logMean) / (factorWeight + meanWeight);
    }

    /** Returns the expected error of {@link #logWork}, as a standard deviation of the logarithm. */
    double logError() {
        return Math.sqrt(samples < MEAN_SAMPLES ? factorVariance : Math.min(factorVariance, meanVariance));
    }

    /** Learns from a task whose work is known from its run time and its target's speed. */
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
