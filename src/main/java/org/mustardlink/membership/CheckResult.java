package org.mustardlink.membership;

/** What a call to an entry host showed. */
public enum CheckResult {
    /** The named incarnation answered. */
    REACHED,
    /** The address refused the connection: its machine is up and the process does not listen. */
    REFUSED,
    /** No answer in time. */
    SILENT,
    /** Nothing can be said; the check was not made. */
    UNKNOWN
}
