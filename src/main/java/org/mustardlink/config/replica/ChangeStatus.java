package org.mustardlink.config.replica;

/** Where a change stands at a host. */
public enum ChangeStatus {
    /** The host has not seen the change, or no longer remembers it. */
    UNKNOWN,
    /** The change is in force. */
    IN_FORCE,
    /** The change was rejected. */
    REJECTED,
    /** The change was accepted, and the host's version cannot act on all of it. */
    UNSUPPORTED
}
