package org.mustardlink.membership;

/** State of an entry host. Of two records with the same incarnation and version, the later state takes precedence. */
public enum MemberState {
    /** The host says that it runs. */
    ALIVE,
    /** The host says that it is stopping as planned. */
    LEAVING,
    /** Another host does not reach it, and no other member that was asked does. */
    SUSPECT,
    /** Replaced, or at least two members found that it is not running. */
    GONE
}
