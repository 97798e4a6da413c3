package org.mustardlink.entry;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.directory.HostListing;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.Member;
import org.mustardlink.membership.MemberState;
import org.mustardlink.membership.Membership;
import org.mustardlink.membership.MembershipSettings;
import org.mustardlink.observe.EventLog;
import org.mustardlink.peer.ExchangeClient;

/**
 * Connects the membership of an entry host to the host's settings, the Thrift exchange and the platform's host list.
 */
final class EntryMembership implements AutoCloseable {
    private final ExchangeClient client = ExchangeClient.start();
    private final Membership membership;

    EntryMembership(EventLog log) {
        membership = Membership.create(client, MembershipSettings.defaults(), new MembershipLogger(log));
    }

    /** Returns the membership, which does not answer exchanges before {@link #start} is called. */
    Membership membership() {
        return membership;
    }

    /**
     * Starts exchanging membership with other entry hosts.
     *
     * @param peer address on which this host listens for entry hosts
     * @param caller address on which this host listens for callers
     */
    void start(EntrySettings settings, long incarnation, InetSocketAddress peer, InetSocketAddress caller) {
        Member self = Member.newlyStarted(
                settings.id(),
                settings.domain(),
                settings.region(),
                Addresses.format(peer),
                Addresses.format(caller),
                incarnation);
        membership.start(
                self, settings.peerSeeds().stream().map(Addresses::format).collect(ImmutableSet.toImmutableSet()));
    }

    /** Returns the number of entry hosts that the membership holds alive, including this one. */
    int aliveHostCount() {
        return Math.toIntExact(membership.view().hosts().values().stream()
                .filter(host -> host.member().state() == MemberState.ALIVE)
                .count());
    }

    @Override
    public void close() {
        membership.close();
        client.close();
    }

    /** Passes the platform's host list to the membership. */
    void applyHostListing(HostListing listing) {
        membership.updateListedHosts(
                entryHosts(listing, _host -> true)
                        .map(HostListing.Host::address)
                        .collect(ImmutableSet.toImmutableSet()),
                entryHosts(listing, host -> host.state() == HostListing.State.LEAVING)
                        .map(HostListing.Host::id)
                        .collect(ImmutableSet.toImmutableSet()));
    }

    private static Stream<HostListing.Host> entryHosts(HostListing listing, Predicate<HostListing.Host> filter) {
        return listing.hosts().stream().filter(host -> host.kind() == HostListing.Kind.ENTRY && filter.test(host));
    }
}
