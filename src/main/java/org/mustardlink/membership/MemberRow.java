package org.mustardlink.membership;

import java.time.Duration;
import java.util.Optional;

/** What this host holds of another one: the record as told and its own dealings with it. Times are in nanoseconds. */
final class MemberRow {
    /** Failed calls in a row after which the host counts as unreachable from here. */
    private static final int UNREACHABLE_AFTER_FAILURES = 2;

    private static final long INITIAL_AGE_NANOS = Duration.ofDays(1).toNanos();

    private Member member;
    private long stateSince;
    private long lastHeardTime;
    private long lastOutcomeTime;
    private CheckResult lastOutcome = CheckResult.UNKNOWN;
    private int consecutiveFailures;
    private long peerDigest;
    private Optional<HostProbe> probe = Optional.empty();
    private long nextProbeTime;
    private long probeBackoffNanos;

    MemberRow(Member member, long now) {
        this.member = member;
        stateSince = now;
        lastHeardTime = now - INITIAL_AGE_NANOS;
        lastOutcomeTime = now - INITIAL_AGE_NANOS;
        nextProbeTime = now;
    }

    Member member() {
        return member;
    }

    long stateSince() {
        return stateSince;
    }

    /** Takes a newer record. What is known of calls to an earlier incarnation says nothing about a later one. */
    void replace(Member newer, long now) {
        boolean sameProcess = member.isSameProcess(newer);
        boolean retracted = !member.isRunning() && newer.isRunning();
        if (!sameProcess || member.state() != newer.state()) {
            stateSince = now;
        }
        member = newer;
        if (!sameProcess) {
            clearCallResults();
            lastHeardTime = now - INITIAL_AGE_NANOS;
        } else if (retracted) {
            probe = Optional.empty();
            probeBackoffNanos = 0;
        }
    }

    /** Drops every result of own calls. */
    void clearCallResults() {
        consecutiveFailures = 0;
        lastOutcome = CheckResult.UNKNOWN;
        probe = Optional.empty();
        probeBackoffNanos = 0;
    }

    void restartStateTimer(long now) {
        stateSince = now;
    }

    void recordMessage(long now, long digest) {
        lastHeardTime = now;
        peerDigest = digest;
    }

    boolean wasHeardSince(long time) {
        return lastHeardTime - time >= 0;
    }

    long peerDigest() {
        return peerDigest;
    }

    void recordCallResult(CheckResult result, long now) {
        lastOutcome = result;
        lastOutcomeTime = now;
        consecutiveFailures = result == CheckResult.REACHED ? 0 : consecutiveFailures + 1;
    }

    /** Returns the result of the last own call if it is not older than the given age. */
    Optional<CheckResult> recentOutcome(long now, long maxAgeNanos) {
        return lastOutcome != CheckResult.UNKNOWN && now - lastOutcomeTime <= maxAgeNanos
                ? Optional.of(lastOutcome)
                : Optional.empty();
    }

    boolean isReachable() {
        return consecutiveFailures < UNREACHABLE_AFTER_FAILURES;
    }

    Optional<HostProbe> probe() {
        return probe;
    }

    void startProbe(HostProbe started) {
        probe = Optional.of(started);
    }

    boolean isProbeDue(long now) {
        return probe.isEmpty() && now - nextProbeTime >= 0;
    }

    /** Ends the inquiry and delays the next one. */
    void endProbe(long nextProbe) {
        probe = Optional.empty();
        nextProbeTime = nextProbe;
    }

    void delayProbe(long nextProbe) {
        nextProbeTime = nextProbe;
    }

    /** Doubles the time between inquiries and returns it. */
    long increaseProbeBackoff(long initialBackoffNanos, long maxBackoffNanos) {
        probeBackoffNanos =
                probeBackoffNanos == 0 ? initialBackoffNanos : Math.min(probeBackoffNanos * 2, maxBackoffNanos);
        return probeBackoffNanos;
    }
}
