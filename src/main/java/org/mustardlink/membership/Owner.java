package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/** What is known of the owner of a session. */
public sealed interface Owner {
    /**
     * The owner is believed to be running, or to be finishing its work before a planned stop.
     *
     * @param peer its address for entry hosts
     * @param caller its address for callers
     */
    record Alive(InetSocketAddress peer, InetSocketAddress caller) implements Owner {
        public Alive {
            checkNotNull(peer, "peer");
            checkNotNull(caller, "caller");
        }
    }

    /** The owner cannot be reached now or is not known; it may be running. Asking again later is safe. */
    record Unreachable() implements Owner {}

    /**
     * The owner's incarnation is replaced or dead. Only a replacement is certain; a host that was taken for dead can
     * come back, so this makes an answer final but never allows a start.
     */
    record Gone() implements Owner {}

    /**
     * The owner stopped as planned and handed its answers and used numbers over.
     *
     * @param successor id of the entry host that answers for its sessions
     * @param peer the successor's address for entry hosts
     */
    record HandedOver(String successor, InetSocketAddress peer) implements Owner {
        public HandedOver {
            checkNotNull(successor, "successor");
            checkNotNull(peer, "peer");
        }
    }
}
