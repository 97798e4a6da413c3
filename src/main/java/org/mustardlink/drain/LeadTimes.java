package org.mustardlink.drain;

import com.google.common.collect.Comparators;
import java.time.Duration;

/** How long before a window new work ends. */
public final class LeadTimes {
    /** Lead time when no run was seen; most tasks end within a second, and a few take several. */
    private static final Duration MIN_LEAD_TIME = Duration.ofSeconds(30);

    /** Longest lead time, so that one stuck task cannot take a target out of service for hours every week. */
    private static final Duration MAX_LEAD_TIME = Duration.ofMinutes(15);

    /** Hosts mark a target within this time of each other, and their clocks may differ. */
    private static final Duration HOST_SKEW = Duration.ofSeconds(5);

    /** A run may be longer than the longest one seen so far. */
    private static final int RUN_TIME_FACTOR = 2;

    private LeadTimes() {}

    /** Returns the lead time for the longest run seen. */
    public static Duration forLongestRun(Duration longestRun) {
        Duration unbounded = longestRun.multipliedBy(RUN_TIME_FACTOR).plus(HOST_SKEW);
        return Comparators.min(Comparators.max(unbounded, MIN_LEAD_TIME), MAX_LEAD_TIME);
    }
}
