package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import org.mustardlink.http.Addresses;

/**
 * An immutable snapshot of the records that one entry host holds of all entry hosts.
 *
 * @param self id of the host that holds the records
 * @param replaced whether a later incarnation runs under the id of the holding host
 * @param hosts every known host by id, including the holding host
 * @param handovers for each process that stopped as planned, the process that took over its answers
 * @param listedLeaving ids of the hosts that the platform's list marks as leaving
 */
public record MembershipView(
        String self,
        boolean replaced,
        ImmutableMap<String, Host> hosts,
        ImmutableMap<HostProcess, HostProcess> handovers,
        ImmutableSet<String> listedLeaving)
        implements OwnerDirectory {
    /** Maximum number of consecutive hand-overs that a search for the owner follows. */
    private static final int MAX_HOPS = 8;

    public MembershipView {
        checkArgument(hosts.containsKey(self), "membership view does not contain its own host");
        checkNotNull(handovers, "handovers");
        checkNotNull(listedLeaving, "listedLeaving");
    }

    /**
     * A known host.
     *
     * @param member record of the host
     * @param reachable whether the most recent calls from the holding host did not fail
     * @param sinceNanos when the host entered its state, on the monotonic clock of the holding host
     */
    public record Host(Member member, boolean reachable, long sinceNanos) {
        public Host {
            checkNotNull(member, "member");
        }
    }

    /**
     * A process of a host.
     *
     * @param host id of the host
     * @param incarnation incarnation of the process
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

    /**
     * Returns the id of the host to which this host should hand over its answers: a reachable, running host of the same
     * domain that the platform's list does not mark as leaving. Prefers the first such id after that of this host.
     */
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
