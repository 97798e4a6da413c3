package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkNotNull;

/** A change cannot take effect. */
public final class RejectedChangeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final RejectionCode code;

    /** Creates an exception with the code and what was wrong. */
    public RejectedChangeException(RejectionCode code, String message) {
        super(message);
        this.code = checkNotNull(code, "code");
    }

    /** Creates an exception with a cause. */
    public RejectedChangeException(RejectionCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = checkNotNull(code, "code");
    }

    /** Returns the stable code. */
    public RejectionCode code() {
        return code;
    }
}
