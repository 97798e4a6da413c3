package org.mustardlink.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.mustardlink.membership.CheckResult;
import org.mustardlink.membership.ExchangeEnvelope;
import org.mustardlink.membership.ExchangeHandler;

/** Tests how a server for other entry hosts ends. */
class PeerServerTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** A handler that gets no calls. */
    private static final class UnusedHandler implements ExchangeHandler {
        @Override
        public CompletableFuture<ExchangeEnvelope> exchange(ExchangeEnvelope _received) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<CheckResult> check(String _host, long _incarnation, String _peer) {
            throw new UnsupportedOperationException();
        }
    }

    private static ImmutableSet<Thread> serverThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("peer-server"))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Guards against a server whose own thread closes the socket at the same time as the one that has stopped it. */
    @Test
    void the_thread_of_a_server_has_ended_when_the_server_is_closed() {
        ImmutableSet<Thread> threadsOfOtherServers = serverThreads();
        PeerServer server = PeerServer.startExchangeOnly(ANY_PORT, new UnusedHandler());
        Set<Thread> threads = Sets.difference(serverThreads(), threadsOfOtherServers);
        assertThat(threads).hasSize(1);

        server.close();

        assertThat(Sets.difference(serverThreads(), threadsOfOtherServers)).isEmpty();
        assertThat(server.port()).isEqualTo(-1);
    }
}
