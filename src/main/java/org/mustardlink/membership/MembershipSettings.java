package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Durations and limits of the membership.
 *
 * @param exchangePeriod time between two rounds of exchanges
 * @param fastExchangePeriod time between two rounds while a record was sent to few members, or while this host tries to
 *     join
 * @param callTimeout time after which a call without an answer counts as {@link CheckResult#SILENT}
 * @param suspicionTimeout time that a suspected host has to retract the suspicion before silence can make it gone
 * @param pauseThreshold time between two ticks above which the process counts as paused
 * @param maxBackoff longest time between two attempts to reach a host that does not answer
 * @param retention how long the record of a host is kept after the host became gone or suspected
 * @param fanOut number of exchanges started per round
 * @param leaveFanOut number of exchanges started at once to announce a leave
 * @param helperCount number of members asked to check a host that does not answer
 * @param maxDeltas maximum number of records in a message other than the answer to a join
 * @param maxOutstandingCalls maximum number of outstanding calls
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
        checkArgument(pauseThreshold.compareTo(exchangePeriod) > 0, "pause threshold must exceed the exchange period");
        checkArgument(fanOut > 0, "fan-out must be positive: %s", fanOut);
        checkArgument(maxDeltas > 0, "maximum number of records per message must be positive: %s", maxDeltas);
        checkArgument(
                maxOutstandingCalls > leaveFanOut + helperCount,
                "maximum number of outstanding calls must exceed the leave fan-out plus the number of helpers: %s",
                maxOutstandingCalls);
    }

    /** Returns the production settings. A silent host is suspected two call timeouts after the first call to it. */
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
