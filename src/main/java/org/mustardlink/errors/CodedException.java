package org.mustardlink.errors;

import static com.google.common.base.Preconditions.checkNotNull;

/** An unchecked exception with a stable error code. */
public final class CodedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code the stable code
     * @param message what was wrong, and what was expected
     */
    public CodedException(ErrorCode code, String message) {
        super(message);
        this.code = checkNotNull(code, "code");
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code
     * @param message what was wrong, and what was expected
     * @param cause the cause
     */
    public CodedException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = checkNotNull(code, "code");
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return code;
    }
}
