package org.mustardlink.membership;

import java.time.Duration;
import java.util.Optional;

/** What this host holds of another one: the record as told and its own dealings with it. Times are in nanoseconds. */
final class Row {
    /** Failed calls in a row after which the host counts as unreachable from here. */
    private static final int UNREACHABLE_AFTER = 2;

    private static final long LONG_AGO = Duration.ofDays(1).toNanos();

    private Member member;
    private long since;
    private long heard;
    private long outcomeAt;
    private CheckResult outcome = CheckResult.UNKNOWN;
    private int failures;
    private long peerDigest;
    private Optional<Inquiry> inquiry = Optional.empty();
    private long nextInquiry;
    private long inquiryBackoff;

    Row(Member member, long now) {
        this.member = member;
        since = now;
        heard = now - LONG_AGO;
        outcomeAt = now - LONG_AGO;
        nextInquiry = now;
    }

    Member member() {
        return member;
    }

    long since() {
        return since;
    }

    /** Takes a newer record. What is known of calls to an earlier incarnation says nothing about a later one. */
    void replace(Member newer, long now) {
        boolean sameProcess = member.isSameProcess(newer);
        boolean retracted = !member.isRunning() && newer.isRunning();
        if (!sameProcess || member.state() != newer.state()) {
            since = now;
        }
        member = newer;
        if (!sameProcess) {
            forgetCalls();
            heard = now - LONG_AGO;
        } else if (retracted) {
            inquiry = Optional.empty();
            inquiryBackoff = 0;
        }
    }

    /** Drops every result of own calls. */
    void forgetCalls() {
        failures = 0;
        outcome = CheckResult.UNKNOWN;
        inquiry = Optional.empty();
        inquiryBackoff = 0;
    }

    void restartSince(long now) {
        since = now;
    }

    void hear(long now, long digest) {
        heard = now;
        peerDigest = digest;
    }

    boolean heardSince(long time) {
        return heard - time >= 0;
    }

    long peerDigest() {
        return peerDigest;
    }

    void called(CheckResult result, long now) {
        outcome = result;
        outcomeAt = now;
        failures = result == CheckResult.REACHED ? 0 : failures + 1;
    }

    /** Returns the result of the last own call if it is not older than the given age. */
    Optional<CheckResult> recentOutcome(long now, long maxAge) {
        return outcome != CheckResult.UNKNOWN && now - outcomeAt <= maxAge ? Optional.of(outcome) : Optional.empty();
    }

    boolean reachable() {
        return failures < UNREACHABLE_AFTER;
    }

    Optional<Inquiry> inquiry() {
        return inquiry;
    }

    void startInquiry(Inquiry started) {
        inquiry = Optional.of(started);
    }

    boolean inquiryDue(long now) {
        return inquiry.isEmpty() && now - nextInquiry >= 0;
    }

    /** Ends the inquiry and delays the next one. */
    void endInquiry(long next) {
        inquiry = Optional.empty();
        nextInquiry = next;
    }

    void delayInquiry(long next) {
        nextInquiry = next;
    }

    /** Doubles the time between inquiries and returns it. */
    long backOff(long first, long max) {
        inquiryBackoff = inquiryBackoff == 0 ? first : Math.min(inquiryBackoff * 2, max);
        return inquiryBackoff;
    }
}
