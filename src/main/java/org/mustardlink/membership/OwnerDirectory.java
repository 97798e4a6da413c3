package org.mustardlink.membership;

/**
 * Where the owner of a session can be asked.
 *
 * <p>An answer is a hint for routing: it may be out of date, and it never allows the asking host to start a task of the
 * session. Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface OwnerDirectory {
    /**
     * Finds the owner of a session.
     *
     * @param host id of the entry host that the session names
     * @param incarnation incarnation that the session names
     */
    Owner findOwner(String host, long incarnation);
}
