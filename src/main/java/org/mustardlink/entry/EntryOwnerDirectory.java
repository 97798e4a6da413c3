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
 * Finds the owner of a session, first by the leaves that were announced to this entry host and then by the membership.
 * Prefers the addresses in the platform's host list.
 */
final class EntryOwnerDirectory implements OwnerDirectory {
    /** Covers several days of planned restarts in the largest supported deployment. */
    private static final int MAX_RECORDED_LEAVES = 4096;

    private final String ownId;
    private final InetSocketAddress ownAddress;
    private final OwnerDirectory membership;
    private final Map<Incarnation, String> successors = new LinkedHashMap<>();
    private volatile ImmutableMap<String, HostListing.Host> hosts = ImmutableMap.of();

    private record Incarnation(String host, long number) {}

    EntryOwnerDirectory(String ownId, InetSocketAddress ownAddress, OwnerDirectory membership) {
        this.membership = membership;
        this.ownId = ownId;
        this.ownAddress = ownAddress;
    }

    void applyHostListing(HostListing listing) {
        hosts = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .collect(ImmutableMap.toImmutableMap(HostListing.Host::id, host -> host, (_older, newer) -> newer));
    }

    synchronized void recordLeave(String host, long incarnation, String successor) {
        successors.put(new Incarnation(host, incarnation), successor);
        if (successors.size() > MAX_RECORDED_LEAVES) {
            successors.remove(successors.keySet().iterator().next());
        }
    }

    /** Returns the other entry hosts on the platform's host list. */
    ImmutableList<HostListing.Host> otherHosts() {
        return hosts.values().stream()
                .filter(host -> !host.id().equals(ownId))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public Owner findOwner(String host, long incarnation) {
        Optional<String> successor = successorOf(host, incarnation);
        if (successor.isPresent()) {
            String id = successor.get();
            return addressOf(id)
                    .<Owner>map(address -> new Owner.HandedOver(id, address))
                    .orElseGet(Owner.Unreachable::new);
        }
        Owner member = membership.findOwner(host, incarnation);
        if (member instanceof Owner.Gone || member instanceof Owner.HandedOver) {
            return member;
        }
        // The platform's host list has no caller address; forwarding needs only the peer address.
        return addressOf(host)
                .<Owner>map(address -> new Owner.Alive(address, address))
                .orElse(member);
    }

    private synchronized Optional<String> successorOf(String host, long incarnation) {
        return Optional.ofNullable(successors.get(new Incarnation(host, incarnation)));
    }

    private Optional<InetSocketAddress> addressOf(String host) {
        if (host.equals(ownId)) {
            return Optional.of(ownAddress);
        }
        return Optional.ofNullable(hosts.get(host)).map(listed -> Addresses.parse(listed.address()));
    }
}
