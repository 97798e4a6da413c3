package org.mustardlink.load;

/** Patterns of job arrivals over time. */
public enum ArrivalPattern {
    /** A Poisson process at a constant rate. */
    STEADY,
    /**
     * A Poisson process that has three times the mean rate for 1 s in every 5 s, with the same mean rate as {@link
     * #STEADY}.
     */
    BURSTS,
    /**
     * Steady arrivals, and one team that adds as much work as all slots can run, starting a quarter into the measured
     * time.
     */
    FLOOD,
    /** Steady arrivals, and every 5 s a wave of single-task jobs that are all cancelled at the same time. */
    CANCELS
}
