package org.mustardlink.membership;

/** An action that the membership table requests from the I/O layer. */
sealed interface MembershipAction {
    /**
     * Sends an exchange message. One {@link MembershipEvent.ExchangeAnswered} or {@link MembershipEvent.CallFailed}
     * follows.
     *
     * @param call id of the call
     * @param address address of the peer, {@code ip:port}
     * @param message the message to send
     */
    record SendExchange(long call, String address, ExchangeMessage message) implements MembershipAction {}

    /**
     * Asks a member to check a host. One {@link MembershipEvent.CheckAnswered} or {@link MembershipEvent.CallFailed}
     * follows.
     *
     * @param call id of the call
     * @param address address of the asked member, {@code ip:port}
     * @param subject the host to check
     */
    record SendCheck(long call, String address, Member subject) implements MembershipAction {}

    /**
     * Answers an exchange of a peer.
     *
     * @param token handle of the request
     * @param message the answer
     */
    record ReplyToExchange(long token, ExchangeMessage message) implements MembershipAction {}

    /**
     * Answers a peer's request to check a host.
     *
     * @param token handle of the request
     * @param result result of the check
     */
    record ReplyToCheck(long token, CheckResult result) implements MembershipAction {}

    /**
     * Reports that the calls that announced a leave have ended.
     *
     * @param token handle of the request
     */
    record LeaveAnnounced(long token) implements MembershipAction {}

    /**
     * Reports that a record was added, or changed its incarnation, version or state.
     *
     * @param member the new record
     * @param cause why the record changed
     */
    record MemberChanged(Member member, String cause) implements MembershipAction {}

    /**
     * Reports that another process runs under the id of this host with a later incarnation.
     *
     * @param newer the record of the other process
     */
    record SelfReplaced(Member newer) implements MembershipAction {}

    /**
     * Reports that this process was paused. The results of calls outstanding at that time say nothing about the peers.
     */
    record ProcessPauseDetected() implements MembershipAction {}
}
