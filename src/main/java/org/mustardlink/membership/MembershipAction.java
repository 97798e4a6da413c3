package org.mustardlink.membership;

/** Something that the membership table asks the I/O layer to do. */
sealed interface MembershipAction {
    /**
     * Sends an exchange. One {@link MembershipEvent.ExchangeAnswered} or {@link MembershipEvent.CallFailed} follows.
     *
     * @param call the call
     * @param address {@code ip:port} of the peer
     * @param message what to send
     */
    record SendExchange(long call, String address, ExchangeMessage message) implements MembershipAction {}

    /**
     * Asks a member to check a host. One {@link MembershipEvent.CheckAnswered} or {@link MembershipEvent.CallFailed}
     * follows.
     *
     * @param call the call
     * @param address {@code ip:port} of the member that is asked
     * @param subject the host to check
     */
    record SendCheck(long call, String address, Member subject) implements MembershipAction {}

    /**
     * Answers an exchange.
     *
     * @param token handle of the request
     * @param message the answer
     */
    record ReplyToExchange(long token, ExchangeMessage message) implements MembershipAction {}

    /**
     * Answers a check.
     *
     * @param token handle of the request
     * @param result what was found
     */
    record ReplyToCheck(long token, CheckResult result) implements MembershipAction {}

    /**
     * A leave has been sent to as many members as are told at once.
     *
     * @param token handle of the request
     */
    record LeaveAnnounced(long token) implements MembershipAction {}

    /**
     * A record changed its state or incarnation.
     *
     * @param member the new record
     * @param cause what the change relies on
     */
    record MemberChanged(Member member, String cause) implements MembershipAction {}

    /**
     * Another process runs under this host's id with a later incarnation.
     *
     * @param newer its record
     */
    record SelfReplaced(Member newer) implements MembershipAction {}

    /** The process was frozen; calls that were under way say nothing about their peers. */
    record ProcessPauseDetected() implements MembershipAction {}
}
