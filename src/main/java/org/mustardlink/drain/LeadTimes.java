package org.mustardlink.drain;

import com.google.common.collect.Comparators;
import java.time.Duration;

/** Calculates how long before a window a target stops taking new tasks. */
public final class LeadTimes {
    /** Also applies if no run has been recorded. Most tasks end within a second, and a few take several seconds. */
    private static final Duration MIN_LEAD_TIME = Duration.ofSeconds(30);

    /** Limits the lead time, so that one stuck task cannot take a target out of service for hours every week. */
    private static final Duration MAX_LEAD_TIME = Duration.ofMinutes(15);

    /** Allows for entry hosts that start a drain at different times, also because of differing clocks. */
    private static final Duration HOST_SKEW = Duration.ofSeconds(5);

    /** A task may run longer than the longest run recorded so far. */
    private static final int RUN_TIME_FACTOR = 2;

    private LeadTimes() {}

    /** Returns the lead time for the longest recorded run. */
    public static Duration forLongestRun(Duration longestRun) {
        Duration unbounded = longestRun.multipliedBy(RUN_TIME_FACTOR).plus(HOST_SKEW);
        return Comparators.min(Comparators.max(unbounded, MIN_LEAD_TIME), MAX_LEAD_TIME);
    }
}
