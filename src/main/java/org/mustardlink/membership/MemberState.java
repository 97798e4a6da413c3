package org.mustardlink.membership;

/** State of an entry host. Of two records with the same incarnation and version, the state declared later here wins. */
public enum MemberState {
    /** The host reports that it runs. */
    ALIVE,
    /** The host reports that it is stopping as planned. */
    LEAVING,
    /** A member did not reach the host, and neither did any of the members that it asked to check the host. */
    SUSPECT,
    /** The host was replaced, or at least two members found that it does not run. */
    GONE
}
