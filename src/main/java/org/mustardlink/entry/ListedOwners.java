package org.mustardlink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.directory.HostListing;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.Owner;
import org.mustardlink.membership.OwnerDirectory;

/**
 * Finds owners by the leaves that were announced to this entry host, then by membership, with addresses from the
 * platform's list where it has them.
 */
final class ListedOwners implements OwnerDirectory {
    /** Leaves remembered; several days of planned restarts at the largest deployment planned for. */
    private static final int MAX_LEAVES = 4096;

    private final String self;
    private final InetSocketAddress selfAddress;
    private final OwnerDirectory membership;
    private final Map<Incarnation, String> successors = new LinkedHashMap<>();
    private volatile ImmutableMap<String, HostListing.Host> hosts = ImmutableMap.of();

    private record Incarnation(String host, long number) {}

    ListedOwners(String self, InetSocketAddress selfAddress, OwnerDirectory membership) {
        this.membership = membership;
        this.self = self;
        this.selfAddress = selfAddress;
    }

    void update(HostListing listing) {
        hosts = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .collect(ImmutableMap.toImmutableMap(HostListing.Host::id, host -> host, (_older, newer) -> newer));
    }

    synchronized void left(String host, long incarnation, String successor) {
        successors.put(new Incarnation(host, incarnation), successor);
        if (successors.size() > MAX_LEAVES) {
            successors.remove(successors.keySet().iterator().next());
        }
    }

    /** Returns the other entry hosts on the list. */
    ImmutableList<HostListing.Host> others() {
        return hosts.values().stream().filter(host -> !host.id().equals(self)).collect(ImmutableList.toImmutableList());
    }

    @Override
    public Owner findOwner(String host, long incarnation) {
        Optional<String> successor = successorOf(host, incarnation);
        if (successor.isPresent()) {
            String id = successor.get();
            return address(id)
                    .<Owner>map(address -> new Owner.HandedOver(id, address))
                    .orElseGet(Owner.Unreachable::new);
        }
        Owner member = membership.findOwner(host, incarnation);
        if (member instanceof Owner.Gone || member instanceof Owner.HandedOver) {
            return member;
        }
        // The list names no address for callers; forwarding does not need one.
        return address(host)
                .<Owner>map(address -> new Owner.Alive(address, address))
                .orElse(member);
    }

    private synchronized Optional<String> successorOf(String host, long incarnation) {
        return Optional.ofNullable(successors.get(new Incarnation(host, incarnation)));
    }

    private Optional<InetSocketAddress> address(String host) {
        if (host.equals(self)) {
            return Optional.of(selfAddress);
        }
        return Optional.ofNullable(hosts.get(host)).map(listed -> Addresses.parse(listed.address()));
    }
}
