package org.mustardlink.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * Says where the owner of a session can be found. Thread-safe; answers at once.
 *
 * <p>A hint for routing only: a wrong answer costs a message or a less final verdict and never leads to a start.
 */
@FunctionalInterface
public interface OwnerDirectory {
    /**
     * Finds an incarnation of an entry host.
     *
     * @param host id of the entry host
     * @param incarnation its incarnation
     */
    OwnerStatus find(String host, long incarnation);

    /** What is known about an incarnation. */
    sealed interface OwnerStatus {
        /**
         * The incarnation, or another one of the same entry host, is expected at an address.
         *
         * @param address its Thrift address
         */
        record Reachable(InetSocketAddress address) implements OwnerStatus {
            public Reachable {
                checkNotNull(address, "address");
            }
        }

        /**
         * The incarnation stopped as planned, and another entry host answers for its sessions.
         *
         * @param successor id of that entry host
         * @param address its Thrift address
         */
        record HandedOver(String successor, InetSocketAddress address) implements OwnerStatus {
            public HandedOver {
                checkNotNull(successor, "successor");
                checkNotNull(address, "address");
            }
        }

        /** The incarnation is gone for good and handed nothing over. */
        record Gone() implements OwnerStatus {}

        /** Nothing is known; the incarnation may be alive. */
        record Unknown() implements OwnerStatus {}
    }
}
