package org.mustardlink.config.records;

/** Stable code that says why a change, or one entity of it, is not in force. */
public enum RejectionCode {
    /** The record is not JSON of the expected shape. */
    MALFORMED,
    /** The record is larger than a record may be. */
    TOO_LARGE,
    /** The schema version is older than the versions that are still read. */
    SCHEMA_TOO_OLD,
    /** An entity was changed since the revision that the change is based on. */
    CONFLICT,
    /** A body breaks a rule of its kind. */
    INVALID_BODY,
    /** The configuration holds as many entities as it may. */
    LIMIT,
    /** Accepted, but this host's version cannot act on it safely; the last body it understands stays in force. */
    UNSUPPORTED
}
