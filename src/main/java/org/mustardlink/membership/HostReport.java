package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The state of one entry host, as shown to operators.
 *
 * @param id id of the host
 * @param domain failure domain of the host
 * @param incarnation incarnation of the host in base 36, as in session ids
 * @param state state of the host
 * @param reachable whether the most recent calls of the reporting host to this host did not fail
 * @param sinceMs time since the host entered this state, in milliseconds
 * @param successor id of the host that took over its answers, empty for none
 * @param configOffset the last configuration offset that the host sent, -1 if it has sent none
 */
public record HostReport(
        String id,
        String domain,
        String incarnation,
        MemberState state,
        boolean reachable,
        long sinceMs,
        String successor,
        long configOffset) {
    private static final int RADIX = 36;

    public HostReport {
        checkNotNull(id, "id");
        checkNotNull(domain, "domain");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(state, "state");
        checkNotNull(successor, "successor");
    }

    static HostReport of(MembershipView.Host host, long nowNanos, long configOffset) {
        Member member = host.member();
        return new HostReport(
                member.id(),
                member.domain(),
                Long.toString(member.incarnation(), RADIX),
                member.state(),
                host.reachable(),
                Math.max(0, (nowNanos - host.sinceNanos()) / 1_000_000),
                member.successor().orElse(""),
                configOffset);
    }
}
