package org.mustardlink.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * The final answer to a caller.
 *
 * @param kind what is said
 * @param reason the reason, for the log and the caller
 * @param retryAfter when the caller should come back, if that helps
 */
public record CallerResponse(Kind kind, String reason, Optional<Duration> retryAfter) {
    public CallerResponse {
        checkNotNull(kind, "kind");
        checkNotNull(reason, "reason");
        checkNotNull(retryAfter, "retryAfter");
    }

    /** What an answer says. */
    public enum Kind {
        /** Every task of the job is done. */
        COMPLETE,
        /** The job can't be done. */
        FAILED,
        /** Nothing of the job has run or will run. */
        NOT_RUN,
        /** The job may have run. */
        MAY_HAVE_RUN,
        /** The deadline passed; the job may have run. */
        TIMED_OUT
    }

    static CallerResponse of(Kind kind, String why) {
        return new CallerResponse(kind, why, Optional.empty());
    }

    static CallerResponse notRun(String why, Duration retryAfter) {
        return new CallerResponse(Kind.NOT_RUN, why, Optional.of(retryAfter));
    }
}
