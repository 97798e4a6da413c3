package org.mustardlink.membership;

import java.time.Duration;
import java.util.Optional;

/** The record of another host, and the results of this host's own calls to that host. Times are in nanoseconds. */
final class MemberRow {
    /** Number of consecutive failed calls after which the host counts as unreachable from this host. */
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

    /** Replaces the record by a newer one. Results of calls to an earlier incarnation say nothing about a later one. */
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

    /** Clears the results of this host's own calls and ends the probe, if any. */
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

    /** Returns the result of this host's last call to the host if the result is not older than the given age. */
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

    void startProbe(HostProbe newProbe) {
        probe = Optional.of(newProbe);
    }

    boolean isProbeDue(long now) {
        return probe.isEmpty() && now - nextProbeTime >= 0;
    }

    /** Ends the probe and delays the next one. */
    void endProbe(long newProbeTime) {
        probe = Optional.empty();
        nextProbeTime = newProbeTime;
    }

    void delayProbe(long newProbeTime) {
        nextProbeTime = newProbeTime;
    }

    /** Doubles the time between probes up to the maximum, starting with the initial one, and returns this time. */
    long increaseProbeBackoff(long initialBackoffNanos, long maxBackoffNanos) {
        probeBackoffNanos =
                probeBackoffNanos == 0 ? initialBackoffNanos : Math.min(probeBackoffNanos * 2, maxBackoffNanos);
        return probeBackoffNanos;
    }
}
