package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Times and bounds of the membership.
 *
 * @param exchangePeriod time between two rounds of exchanges
 * @param fastExchangePeriod time between two rounds while there is news that few were told
 * @param callTimeout time after which a call counts as silent
 * @param suspicionTimeout time that a suspected host has to retract before silence can make it gone
 * @param pauseThreshold time between two ticks above which the process was frozen
 * @param maxBackoff longest time between two attempts at a host that does not answer
 * @param retention how long a host that is gone, or suspected without end, is remembered
 * @param fanOut exchanges started in a round
 * @param leaveFanOut exchanges started at once to announce a leave
 * @param helperCount members asked to check a host that does not answer
 * @param maxDeltas records in a message, apart from the answer to a join
 * @param maxOutstandingCalls calls under way at a time
 */
public record MembershipSettings(
        Duration exchangePeriod,
        Duration fastExchangePeriod,
        Duration callTimeout,
        Duration suspicionTimeout,
        Duration pauseThreshold,
        Duration maxBackoff,
        Duration retention,
        int fanOut,
        int leaveFanOut,
        int helperCount,
        int maxDeltas,
        int maxOutstandingCalls) {
    public MembershipSettings {
        checkArgument(pauseThreshold.compareTo(exchangePeriod) > 0, "the gap must exceed the period");
        checkArgument(fanOut > 0, "fan-out must be positive: %s", fanOut);
        checkArgument(maxDeltas > 0, "a message needs room for a record: %s", maxDeltas);
        checkArgument(maxOutstandingCalls > leaveFanOut + helperCount, "too few calls: %s", maxOutstandingCalls);
    }

    /** Returns the values of production. A silent host is suspected two call timeouts after the first call to it. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1),
                Duration.ofMillis(250),
                Duration.ofMillis(800),
                Duration.ofSeconds(3),
                Duration.ofMillis(2500),
                Duration.ofSeconds(15),
                Duration.ofHours(24),
                2,
                4,
                2,
                8,
                24);
    }
}
