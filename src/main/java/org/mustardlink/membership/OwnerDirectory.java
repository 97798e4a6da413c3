package org.mustardlink.membership;

/**
 * Finds where the owner of a session can be reached.
 *
 * <p>A result is a hint for routing: it may be out of date, and it never allows the requesting host to start a task of
 * the session. Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface OwnerDirectory {
    /**
     * Returns the owner of a session.
     *
     * @param host id of the entry host that the session id names
     * @param incarnation incarnation that the session id names
     */
    Owner findOwner(String host, long incarnation);
}
