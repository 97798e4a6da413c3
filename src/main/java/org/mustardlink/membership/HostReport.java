package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One entry host as operators see it.
 *
 * @param id id of the host
 * @param domain its failure domain
 * @param incarnation its incarnation in base 36, as in session ids
 * @param state its state
 * @param reachable whether the last calls of the reporting host to it did not fail
 * @param sinceMs how long it has had that state, in milliseconds
 * @param successor the host that its answers were handed over to, empty for none
 * @param configOffset its configuration offset as it told last, -1 if it has told none
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
