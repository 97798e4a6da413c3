package org.mustardlink.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * The final response to a caller's request.
 *
 * @param kind the outcome of the job
 * @param reason the reason for the outcome, for the log and the caller
 * @param retryAfter time after which the caller should retry, if a retry can help
 */
public record CallerResponse(Kind kind, String reason, Optional<Duration> retryAfter) {
    public CallerResponse {
        checkNotNull(kind, "kind");
        checkNotNull(reason, "reason");
        checkNotNull(retryAfter, "retryAfter");
    }

    /** Outcome of a job as reported to its caller. */
    public enum Kind {
        /** Every task of the job has completed. */
        COMPLETE,
        /** The job has failed. */
        FAILED,
        /** No task of the job has run or will run. */
        NOT_RUN,
        /** Tasks of the job may have run. */
        MAY_HAVE_RUN,
        /** The deadline passed; tasks of the job may have run. */
        TIMED_OUT
    }

    /** Returns a response without a retry delay. */
    public static CallerResponse of(Kind kind, String reason) {
        return new CallerResponse(kind, reason, Optional.empty());
    }

    static CallerResponse notRun(String reason, Duration retryAfter) {
        return new CallerResponse(Kind.NOT_RUN, reason, Optional.of(retryAfter));
    }
}
