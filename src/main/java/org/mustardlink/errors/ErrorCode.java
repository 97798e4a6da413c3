package org.mustardlink.errors;

/** Stable code of an error that is not a verdict. {@code docs/errors.md} lists every code. */
public enum ErrorCode {
    /** A request or record is malformed or exceeds a limit. */
    BAD_REQUEST,
    /** A request body exceeds the configured maximum size. */
    BODY_TOO_LARGE,
    /** The request line and headers exceed their maximum size. */
    HEADERS_TOO_LARGE,
    /** A request to change something was sent to an operator path without the shared secret. */
    UNAUTHORIZED,
    /** The path or method is unknown. */
    NOT_FOUND,
    /** No byte of a request was sent. */
    NOT_SENT,
    /** A request may have been sent, but no complete reply arrived. */
    NO_ANSWER,
    /** A request was sent, but no complete reply arrived in time. */
    TIMED_OUT,
    /** Too many requests, or too many bytes of request bodies, are open. */
    TOO_BUSY,
    /** A request body did not arrive completely in time. */
    BODY_TIMEOUT,
    /** The platform answered with an error. */
    PLATFORM_ERROR,
    /** The settings are malformed. */
    BAD_SETTINGS,
    /** An internal error: a condition that should never occur. */
    INTERNAL
}
