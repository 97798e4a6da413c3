package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/** Something that the membership table is told. */
sealed interface MembershipEvent {
    /**
     * The settings name these peer addresses.
     *
     * @param addresses {@code ip:port} of each
     */
    record SeedsConfigured(ImmutableSet<String> addresses) implements MembershipEvent {}

    /**
     * The platform's list of entry hosts was read. It lags, so it only adds addresses to try and marks hosts that are
     * poor successors; a host missing from it is no evidence.
     *
     * @param addresses peer addresses of the entry hosts in it
     * @param leavingHosts ids of the entry hosts marked as leaving
     */
    record HostListRead(ImmutableSet<String> addresses, ImmutableSet<String> leavingHosts) implements MembershipEvent {}

    /**
     * An exchange arrived. A {@link MembershipAction.ReplyToExchange} follows.
     *
     * @param token handle of the request
     * @param message what the peer sent
     */
    record ExchangeReceived(long token, ExchangeMessage message) implements MembershipEvent {
        public ExchangeReceived {
            checkNotNull(message, "message");
        }
    }

    /**
     * An exchange was answered.
     *
     * @param call the call
     * @param message the answer
     */
    record ExchangeAnswered(long call, ExchangeMessage message) implements MembershipEvent {
        public ExchangeAnswered {
            checkNotNull(message, "message");
        }
    }

    /**
     * An exchange or a check failed.
     *
     * @param call the call
     * @param result {@link CheckResult#REFUSED} or {@link CheckResult#SILENT}
     */
    record CallFailed(long call, CheckResult result) implements MembershipEvent {}

    /**
     * Another member asks whether a host answers here. A {@link MembershipAction.ReplyToCheck} follows.
     *
     * @param token handle of the request
     * @param host the host
     * @param incarnation its incarnation
     * @param peer its peer address
     */
    record CheckRequested(long token, String host, long incarnation, String peer) implements MembershipEvent {}

    /**
     * A member answered a check.
     *
     * @param call the call
     * @param result what it found
     */
    record CheckAnswered(long call, CheckResult result) implements MembershipEvent {}

    /**
     * Another module's call to a peer ended.
     *
     * @param host the host
     * @param incarnation the incarnation that was meant
     * @param result how the call ended
     */
    record CallReported(String host, long incarnation, CheckResult result) implements MembershipEvent {}

    /**
     * This host stops as planned. A {@link MembershipAction.LeaveAnnounced} follows.
     *
     * @param token handle of the request
     * @param successor the host that has taken over the answers, once it has
     */
    record LeaveRequested(long token, Optional<String> successor) implements MembershipEvent {}
}
