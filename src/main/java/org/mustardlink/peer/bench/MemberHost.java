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

/** A host that runs only the membership, over Thrift, for benchmarks and tests. */
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
        membership = Membership.create(network.apply(client), MembershipSettings.defaults(), MembershipListener.noOp());
        server =
                PeerServer.startExchangeOnly(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), membership);
    }

    /**
     * The options of a host.
     *
     * @param id id of the host
     * @param domain failure domain of the host
     * @param incarnation incarnation of the host
     * @param port port to listen on, 0 for a free one
     * @param advertisedAddress address that peers call, empty for the address that the host listens on
     * @param network wraps the transport of the host, such as to lose calls
     */
    public record HostOptions(
            String id,
            String domain,
            long incarnation,
            int port,
            String advertisedAddress,
            UnaryOperator<ExchangeTransport> network) {
        /** Returns the options of a host that listens on a free port and is called there directly. */
        public static HostOptions onFreePort(String id, String domain, long incarnation) {
            return new HostOptions(id, domain, incarnation, 0, "", UnaryOperator.identity());
        }
    }

    /**
     * Starts a host on loopback.
     *
     * @param options options of the host
     * @param seeds peer addresses of hosts to join
     */
    public static MemberHost start(HostOptions options, ImmutableSet<String> seeds) {
        MemberHost host = new MemberHost(options.id(), options.incarnation(), options.port(), options.network());
        String address = options.advertisedAddress().isEmpty() ? host.address() : options.advertisedAddress();
        host.membership.start(
                Member.newlyStarted(options.id(), options.domain(), "bench", address, address, options.incarnation()),
                seeds);
        return host;
    }

    /** Returns the id of the host. */
    public String id() {
        return id;
    }

    /** Returns the incarnation of the host. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the address that the host listens on, {@code ip:port}. */
    public String address() {
        return Addresses.format(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
    }

    /** Returns the membership of the host. */
    public Membership membership() {
        return membership;
    }

    /** Returns the client, which counts calls and bytes. */
    ExchangeClient client() {
        return client;
    }

    /** Returns whether the membership of this host has the incarnation of another host in a state. */
    public boolean sees(MemberHost other, MemberState state) {
        return Optional.ofNullable(membership.view().hosts().get(other.id))
                .filter(host -> host.member().incarnation() == other.incarnation)
                .filter(host -> host.member().state() == state)
                .isPresent();
    }

    /** Stops the host at once, as a crash would. Its address refuses connections afterwards. */
    @Override
    public void close() {
        server.close();
        membership.close();
        client.close();
    }
}
