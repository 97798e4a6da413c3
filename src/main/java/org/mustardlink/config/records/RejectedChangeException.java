package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown if a change is rejected. */
public final class RejectedChangeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final RejectionCode code;

    /** Creates an exception with a code and a description of the error. */
    public RejectedChangeException(RejectionCode code, String message) {
        super(message);
        this.code = checkNotNull(code, "code");
    }

    /** Creates an exception with a code, a description of the error and a cause. */
    public RejectedChangeException(RejectionCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = checkNotNull(code, "code");
    }

    /** Returns the reason of the rejection. */
    public RejectionCode code() {
        return code;
    }
}
