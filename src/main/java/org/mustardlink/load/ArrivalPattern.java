package org.mustardlink.load;

/** Pattern of arrivals over time. */
public enum ArrivalPattern {
    /** A Poisson process at a constant rate. */
    STEADY,
    /** Poisson with 1 s of three times the mean rate in every 5 s, at the same mean. */
    BURSTS,
    /** Steady arrivals, and one team that adds the whole capacity's worth of work from a quarter of the run on. */
    FLOOD,
    /** Steady arrivals, and every 5 s a wave of single-task jobs that are all cancelled at the same instant. */
    CANCELS
}
