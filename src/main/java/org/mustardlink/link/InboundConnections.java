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
    private final Map<String, NavigableMap<Long, Newest>> newest = new HashMap<>();

    /** The newest connection of one life of a host; it is remembered after it was closed. */
    private record Newest(Connection<?> connection, long number) {}

    /**
     * Takes the introduction of a host; returns whether its connection is the newest one of its life. The connections that
     * it replaces, those of earlier lives included, are closed.
     */
    boolean introduced(Connection<?> connection, PeerMessage.Hello hello) {
        List<Connection<?>> replaced = new ArrayList<>(1);
        synchronized (newest) {
            NavigableMap<Long, Newest> lives =
                    newest.computeIfAbsent(hello.sender().id(), _id -> new TreeMap<>());
            Newest known = lives.get(hello.sender().incarnation());
            if (known != null && known.number() > hello.number()) {
                return false;
            }
            NavigableMap<Long, Newest> upToThis = lives.headMap(hello.sender().incarnation(), true);
            upToThis.values().stream()
                    .map(Newest::connection)
                    .filter(earlier -> earlier != connection)
                    .forEach(replaced::add);
            upToThis.clear();
            lives.put(hello.sender().incarnation(), new Newest(connection, hello.number()));
        }
        replaced.forEach(Connection::terminateSilently);
        return true;
    }

    /** Returns whether no newer connection of a host's life is known. */
    boolean isNewest(Connection<?> connection, HostInfo sender) {
        synchronized (newest) {
            NavigableMap<Long, Newest> lives = newest.get(sender.id());
            Newest known = lives == null ? null : lives.get(sender.incarnation());
            return known != null && known.connection() == connection;
        }
    }
}
