package org.mustardlink.config.records;

/** Reason why a change, or one of its entities, is not in force. The names are stored and must not change. */
public enum RejectionCode {
    /** The record is not valid JSON or does not have the expected structure. */
    MALFORMED,
    /** The record is longer than {@link Change#MAX_CHARACTERS}. */
    TOO_LARGE,
    /** The schema version is older than the versions that operators may still write. */
    SCHEMA_TOO_OLD,
    /** The current revision of an entity is not the base revision of the change. */
    CONFLICT,
    /** A body violates the rules of its kind. */
    INVALID_BODY,
    /** The change would exceed the limit on entities or on characters of the configuration. */
    LIMIT,
    /** This host's version cannot act on the new body; the last body that it supports stays in force. */
    UNSUPPORTED
}
