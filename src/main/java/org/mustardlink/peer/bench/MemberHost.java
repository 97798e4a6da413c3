package org.mustardlink.peer.bench;

import com.google.common.collect.ImmutableSet;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.ExchangeTransport;
import org.mustardlink.membership.Member;
import org.mustardlink.membership.MemberState;
import org.mustardlink.membership.Membership;
import org.mustardlink.membership.MembershipListener;
import org.mustardlink.membership.MembershipSettings;
import org.mustardlink.peer.ExchangeClient;
import org.mustardlink.peer.PeerServer;

/** A host that runs the membership over Thrift and nothing else. */
public final class MemberHost implements AutoCloseable {
    private final String id;
    private final long incarnation;
    private final ExchangeClient client;
    private final Membership membership;
    private final PeerServer server;

    private MemberHost(String id, long incarnation, int port, UnaryOperator<ExchangeTransport> network) {
        this.id = id;
        this.incarnation = incarnation;
        client = ExchangeClient.start();
        membership = Membership.create(network.apply(client), MembershipSettings.defaults(), MembershipListener.none());
        server =
                PeerServer.startExchangeOnly(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), membership);
    }

    /**
     * Where and how a host runs.
     *
     * @param id its id
     * @param domain its failure domain
     * @param incarnation its incarnation
     * @param port port to listen on, 0 for a free one
     * @param advertisedAddress address that peers call, empty for the one that it listens on
     * @param network what its calls go through
     */
    public record HostOptions(
            String id,
            String domain,
            long incarnation,
            int port,
            String advertisedAddress,
            UnaryOperator<ExchangeTransport> network) {
        /** Returns a place on a free port that its peers reach directly. */
        public static HostOptions onFreePort(String id, String domain, long incarnation) {
            return new HostOptions(id, domain, incarnation, 0, "", UnaryOperator.identity());
        }
    }

    /**
     * Starts a host on loopback.
     *
     * @param options where and how it runs
     * @param seeds peer addresses to join through
     */
    public static MemberHost start(HostOptions options, ImmutableSet<String> seeds) {
        MemberHost host = new MemberHost(options.id(), options.incarnation(), options.port(), options.network());
        String address = options.advertisedAddress().isEmpty() ? host.address() : options.advertisedAddress();
        host.membership.start(
                Member.started(options.id(), options.domain(), "bench", address, address, options.incarnation()),
                seeds);
        return host;
    }

    /** Returns the id. */
    public String id() {
        return id;
    }

    /** Returns the incarnation. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the address that it listens on, {@code ip:port}. */
    public String address() {
        return Addresses.format(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
    }

    /** Returns its membership. */
    public Membership membership() {
        return membership;
    }

    /** Returns the client, for its counters. */
    ExchangeClient client() {
        return client;
    }

    /** Returns whether this host sees another one's incarnation in a state. */
    public boolean sees(MemberHost other, MemberState state) {
        return Optional.ofNullable(membership.view().hosts().get(other.id))
                .filter(host -> host.member().incarnation() == other.incarnation)
                .filter(host -> host.member().state() == state)
                .isPresent();
    }

    /** Ends the host at once, as a crash would; its address refuses connections from now on. */
    @Override
    public void close() {
        server.close();
        membership.close();
        client.close();
    }
}
