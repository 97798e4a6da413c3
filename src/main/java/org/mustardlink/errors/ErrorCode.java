package org.mustardlink.errors;

/** Stable code of an error that is not a verdict. {@code docs/errors.md} lists every code. */
public enum ErrorCode {
    /** A request or record is malformed or breaks a bound. */
    BAD_REQUEST,
    /** A body is larger than the configured bound. */
    BODY_TOO_LARGE,
    /** A change was sent to an operators' path without the shared secret. */
    UNAUTHORIZED,
    /** The path or method is unknown. */
    NOT_FOUND,
    /** No byte of a request was sent. */
    NOT_SENT,
    /** A request may have been sent, and no whole answer arrived. */
    NO_ANSWER,
    /** The platform answered with an error. */
    PLATFORM_ERROR,
    /** The settings are malformed. */
    BAD_SETTINGS,
    /** Something that must not happen happened. */
    INTERNAL
}
