package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/** An event that the membership table handles. */
sealed interface MembershipEvent {
    /**
     * The peer addresses from the settings were read.
     *
     * @param addresses peer addresses, {@code ip:port}
     */
    record SeedsConfigured(ImmutableSet<String> addresses) implements MembershipEvent {}

    /**
     * The platform's list of entry hosts was read. The list can be out of date, so it only adds addresses to call and
     * marks hosts that must not be chosen as successors. That a host is missing from the list says nothing about its
     * state.
     *
     * @param addresses peer addresses of the listed entry hosts, {@code ip:port}
     * @param leavingHosts ids of the listed entry hosts that are marked as leaving
     */
    record HostListRead(ImmutableSet<String> addresses, ImmutableSet<String> leavingHosts) implements MembershipEvent {}

    /**
     * A peer sent an exchange. A {@link MembershipAction.ReplyToExchange} follows.
     *
     * @param token handle of the request
     * @param message the message of the peer
     */
    record ExchangeReceived(long token, ExchangeMessage message) implements MembershipEvent {
        public ExchangeReceived {
            checkNotNull(message, "message");
        }
    }

    /**
     * A peer answered an exchange of this host.
     *
     * @param call id of the call
     * @param message the answer
     */
    record ExchangeAnswered(long call, ExchangeMessage message) implements MembershipEvent {
        public ExchangeAnswered {
            checkNotNull(message, "message");
        }
    }

    /**
     * An exchange or a check request failed.
     *
     * @param call id of the call
     * @param result {@link CheckResult#REFUSED} or {@link CheckResult#SILENT}
     */
    record CallFailed(long call, CheckResult result) implements MembershipEvent {}

    /**
     * Another member requests a check whether a host answers this host. A {@link MembershipAction.ReplyToCheck}
     * follows.
     *
     * @param token handle of the request
     * @param host id of the host to check
     * @param incarnation expected incarnation of the host
     * @param peer peer address of the host, {@code ip:port}
     */
    record CheckRequested(long token, String host, long incarnation, String peer) implements MembershipEvent {}

    /**
     * A member answered a check request.
     *
     * @param call id of the call
     * @param result the result that the member reported
     */
    record CheckAnswered(long call, CheckResult result) implements MembershipEvent {}

    /**
     * Another module reported the result of its call to an entry host.
     *
     * @param host id of the host
     * @param incarnation the incarnation that was called
     * @param result result of the call
     */
    record CallReported(String host, long incarnation, CheckResult result) implements MembershipEvent {}

    /**
     * This host is about to stop as planned. A {@link MembershipAction.LeaveAnnounced} follows.
     *
     * @param token handle of the request
     * @param successor id of the host that has taken over the answers, empty before the hand-over is complete
     */
    record LeaveRequested(long token, Optional<String> successor) implements MembershipEvent {}
}
