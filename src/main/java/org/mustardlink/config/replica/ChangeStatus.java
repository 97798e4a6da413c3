package org.mustardlink.config.replica;

/** Status of a change on one host. */
public enum ChangeStatus {
    /** The host is not ready, has not applied the record of the change, or no longer keeps its outcome. */
    UNKNOWN,
    /** The change is in force on the host. */
    IN_FORCE,
    /** The change was rejected. */
    REJECTED,
    /** The change was accepted, but the host's version cannot act on at least one of its entities. */
    UNSUPPORTED
}
