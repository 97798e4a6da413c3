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
 * The newest connection of each other host. Thread-safe.
 *
 * <p>What a replaced connection still carries may arrive after newer messages: the network sends it again for seconds after a
 * cut. The number in its introduction tells which connection is the newest, because introductions are late as well.
 */
final class InboundConnections {
    private final Map<String, NavigableMap<Long, NumberedConnection>> newestByHost = new HashMap<>();

    /** The newest connection of one life of a host; it is remembered after it was closed. */
    private record NumberedConnection(Connection<?> connection, long number) {}

    /**
     * Takes the introduction of a host; returns whether its connection is the newest one of its life. The connections that
     * it replaces, those of earlier lives included, are closed.
     */
    boolean register(Connection<?> connection, PeerMessage.Hello hello) {
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

    /** Returns whether no newer connection of a host's life is known. */
    boolean isNewest(Connection<?> connection, HostInfo sender) {
        synchronized (newestByHost) {
            NavigableMap<Long, NumberedConnection> newestByIncarnation = newestByHost.get(sender.id());
            NumberedConnection current =
                    newestByIncarnation == null ? null : newestByIncarnation.get(sender.incarnation());
            return current != null && current.connection() == connection;
        }
    }
}
