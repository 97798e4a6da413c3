package org.mustardlink.membership;

/** The result of a call to an entry host. */
public enum CheckResult {
    /** The expected incarnation answered. */
    REACHED,
    /**
     * The connection was refused: the machine is up, but the process does not listen. Also if another process answered.
     */
    REFUSED,
    /** No answer arrived within the timeout. */
    SILENT,
    /** The check was not made, so nothing is known about the host. */
    UNKNOWN
}
