package org.mustardlink.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.glassfish.grizzly.Connection;
import org.mustardlink.ownership.HostInfo;

/**
 * Tracks the newest connection from each other host. Thread-safe.
 *
 * <p>Data on a replaced connection may arrive after newer messages, because TCP retransmits it for seconds after a
 * network partition. Connections are ordered by the number in their {@link PeerMessage.Hello}, because hello messages
 * may be delayed as well.
 */
final class InboundConnections {
    private final Map<String, NavigableMap<Long, NumberedConnection>> newestByHost = new HashMap<>();

    /** The newest connection of one incarnation of a host; kept after the connection is closed. */
    private record NumberedConnection(Connection<?> connection, long number) {}

    /**
     * Returns whether a message is to be handled: whether its connection is the newest one of the sender's incarnation.
     * A hello message registers its connection first. The closing of a replaced connection doesn't suffice, because
     * data that it has delivered before may be read afterwards.
     */
    boolean accepts(Connection<?> connection, HostInfo sender, PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello && !register(connection, hello)) {
            return false;
        }
        return isNewest(connection, sender);
    }

    /**
     * Registers a connection with the hello message received on it. If it is the newest connection of the sender's
     * incarnation, the connections that it replaces are closed, including those of earlier incarnations.
     *
     * @return whether the connection is the newest one of the sender's incarnation
     */
    private boolean register(Connection<?> connection, PeerMessage.Hello hello) {
        List<Connection<?>> toClose = new ArrayList<>(1);
        synchronized (newestByHost) {
            NavigableMap<Long, NumberedConnection> newestByIncarnation =
                    newestByHost.computeIfAbsent(hello.sender().id(), _id -> new TreeMap<>());
            NumberedConnection current = newestByIncarnation.get(hello.sender().incarnation());
            if (current != null && current.number() > hello.connectionNumber()) {
                return false;
            }
            NavigableMap<Long, NumberedConnection> superseded =
                    newestByIncarnation.headMap(hello.sender().incarnation(), true);
            superseded.values().stream()
                    .map(NumberedConnection::connection)
                    .filter(earlier -> earlier != connection)
                    .forEach(toClose::add);
            superseded.clear();
            newestByIncarnation.put(
                    hello.sender().incarnation(), new NumberedConnection(connection, hello.connectionNumber()));
        }
        toClose.forEach(Connection::terminateSilently);
        return true;
    }

    /** Returns whether a connection is the newest one known of the sender's incarnation. */
    private boolean isNewest(Connection<?> connection, HostInfo sender) {
        synchronized (newestByHost) {
            NavigableMap<Long, NumberedConnection> newestByIncarnation = newestByHost.get(sender.id());
            NumberedConnection current =
                    newestByIncarnation == null ? null : newestByIncarnation.get(sender.incarnation());
            return current != null && current.connection() == connection;
        }
    }
}
