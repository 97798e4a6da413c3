package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import org.mustardlink.http.Addresses;

/**
 * What one entry host knew of all entry hosts at one moment.
 *
 * @param self id of the host that this is the view of
 * @param replaced whether a later incarnation runs under that host's id
 * @param hosts every known host by id, itself included
 * @param handovers the process that took over the answers of each process that stopped as planned
 * @param listedLeaving hosts that the platform's list marks as leaving
 */
public record MembershipView(
        String self,
        boolean replaced,
        ImmutableMap<String, Host> hosts,
        ImmutableMap<HostProcess, HostProcess> handovers,
        ImmutableSet<String> listedLeaving)
        implements OwnerDirectory {
    /** Hand-overs followed in a row before the owner counts as unreachable. */
    private static final int MAX_HOPS = 8;

    public MembershipView {
        checkArgument(hosts.containsKey(self), "the view lacks its own host");
        checkNotNull(handovers, "handovers");
        checkNotNull(listedLeaving, "listedLeaving");
    }

    /**
     * One host.
     *
     * @param member its record
     * @param reachable whether the last calls from here did not fail
     * @param sinceNanos when it took its state, on the clock of the view
     */
    public record Host(Member member, boolean reachable, long sinceNanos) {
        public Host {
            checkNotNull(member, "member");
        }
    }

    /**
     * One process of a host.
     *
     * @param host id of the host
     * @param incarnation its incarnation
     */
    public record HostProcess(String host, long incarnation) {
        public HostProcess {
            checkNotNull(host, "host");
        }
    }

    @Override
    public Owner findOwner(String host, long incarnation) {
        HostProcess process = new HostProcess(host, incarnation);
        for (int hop = 0; hop < MAX_HOPS && handovers.containsKey(process); hop++) {
            process = handovers.get(process);
        }
        boolean handedOver = !process.host().equals(host) || process.incarnation() != incarnation;
        Host known = hosts.get(process.host());
        if (known == null || known.member().incarnation() < process.incarnation()) {
            return new Owner.Unreachable();
        }
        Member member = known.member();
        if (member.incarnation() > process.incarnation() || member.state() == MemberState.GONE) {
            return new Owner.Gone();
        }
        if (!member.isRunning() || !known.reachable()) {
            return new Owner.Unreachable();
        }
        return handedOver
                ? new Owner.HandedOver(member.id(), Addresses.parse(member.peer()))
                : new Owner.Alive(Addresses.parse(member.peer()), Addresses.parse(member.caller()));
    }

    /** Returns the host that this one should hand its answers over to: a running one of the same domain. */
    public Optional<String> preferredSuccessor() {
        String domain = hosts.get(self).member().domain();
        Comparator<String> afterSelf = Comparator.<String, Boolean>comparing(id -> id.compareTo(self) < 0)
                .thenComparing(id -> id);
        return hosts.values().stream()
                .filter(Host::reachable)
                .map(Host::member)
                .filter(member -> member.state() == MemberState.ALIVE
                        && member.domain().equals(domain)
                        && !member.id().equals(self)
                        && !listedLeaving.contains(member.id()))
                .map(Member::id)
                .min(afterSelf);
    }
}
