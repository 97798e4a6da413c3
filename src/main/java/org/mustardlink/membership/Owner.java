package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/** The known state of the owner of a session. */
public sealed interface Owner {
    /**
     * According to its record, the owner runs, or finishes its work before a planned stop.
     *
     * @param peer the owner's address for entry hosts
     * @param caller the owner's address for callers
     */
    record Alive(InetSocketAddress peer, InetSocketAddress caller) implements Owner {
        public Alive {
            checkNotNull(peer, "peer");
            checkNotNull(caller, "caller");
        }
    }

    /** The owner cannot be reached now or is not known. It may be running. It is safe to repeat the lookup later. */
    record Unreachable() implements Owner {}

    /**
     * The owner's incarnation was replaced or is held as dead. Only a replacement is certain: a host that was held as
     * dead can turn out to be running. So this result makes an answer final, but it never allows a start.
     */
    record Gone() implements Owner {}

    /**
     * The owner stopped as planned and handed over its answers and its used numbers.
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
