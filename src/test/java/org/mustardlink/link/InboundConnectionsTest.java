package org.mustardlink.link;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.junit.jupiter.api.Test;
import org.mustardlink.ownership.HostInfo;

/** Tests which messages are accepted of connections whose data is still read after they were closed. */
final class InboundConnectionsTest {
    private static final PeerMessage MESSAGE = new PeerMessage.Cancel("job");

    private final List<Connection<?>> closed = new ArrayList<>();
    private final InboundConnections connections = new InboundConnections();

    /** Returns a connection that is recorded when it is closed, and whose data can be read nevertheless. */
    private Connection<?> newConnection() {
        return (Connection<?>) Proxy.newProxyInstance(
                InboundConnectionsTest.class.getClassLoader(),
                new Class<?>[] {Connection.class},
                (proxy, method, _arguments) -> {
                    if (!method.getName().equals("terminateSilently")) {
                        throw new UnsupportedOperationException(method.getName());
                    }
                    closed.add((Connection<?>) proxy);
                    return null;
                });
    }

    private static HostInfo sender(long incarnation) {
        return new HostInfo("west-1", "west", incarnation, "127.0.0.1:1", 750);
    }

    private boolean acceptsHello(Connection<?> connection, long incarnation, long number) {
        HostInfo sender = sender(incarnation);
        return connections.accepts(connection, sender, new PeerMessage.Hello(sender, number));
    }

    private boolean accepts(Connection<?> connection, long incarnation) {
        return connections.accepts(connection, sender(incarnation), MESSAGE);
    }

    /**
     * Guards against two runs of a task: an order that was delivered on a replaced connection is read after the request
     * has been withdrawn on the newer one.
     */
    @Test
    void a_message_that_is_read_of_a_replaced_connection_after_its_closing_is_not_accepted() {
        Connection<?> first = newConnection();
        Connection<?> second = newConnection();
        assertThat(acceptsHello(first, 2, 1)).isTrue();
        assertThat(accepts(first, 2)).isTrue();
        assertThat(acceptsHello(second, 2, 2)).isTrue();

        assertThat(accepts(first, 2)).isFalse();
        assertThat(accepts(second, 2)).isTrue();
        assertThat(closed.size()).isEqualTo(1);
        assertThat(closed.get(0) == first).isTrue();
    }

    /** Guards against an order of an ended process that is read after the hello message of the next process. */
    @Test
    void a_message_that_is_read_of_a_connection_of_an_earlier_incarnation_after_its_closing_is_not_accepted() {
        Connection<?> earlier = newConnection();
        Connection<?> later = newConnection();
        assertThat(acceptsHello(earlier, 2, 7)).isTrue();
        assertThat(acceptsHello(later, 3, 1)).isTrue();

        assertThat(accepts(earlier, 2)).isFalse();
        assertThat(accepts(later, 3)).isTrue();
    }
}
