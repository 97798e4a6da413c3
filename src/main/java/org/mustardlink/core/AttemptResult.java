package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/** Result of one attempt to run a task at a target. */
public sealed interface AttemptResult {
    /** Returns the load report of the target, if its answer carried one. */
    Optional<LoadReport> load();

    /**
     * The task ran and its complete answer arrived.
     *
     * @param body body of the answer
     * @param load load report of the target, if its answer carried one
     */
    record Completed(String body, Optional<LoadReport> load) implements AttemptResult {
        public Completed {
            checkNotNull(body, "body");
            checkNotNull(load, "load");
        }
    }

    /**
     * The task certainly did not start and may be started at another target.
     *
     * @param cause why the task did not start
     * @param load load report of the target, if its answer carried one
     */
    record NotStarted(NotStartedCause cause, Optional<LoadReport> load) implements AttemptResult {
        public NotStarted {
            checkNotNull(cause, "cause");
            checkNotNull(load, "load");
        }
    }

    /**
     * The task may have started, but there is no usable answer.
     *
     * @param reason why the attempt failed; its outcome is {@link Outcome#MAY_HAVE_RUN}
     * @param load load report of the target, if its answer carried one
     */
    record Lost(Reason reason, Optional<LoadReport> load) implements AttemptResult {
        public Lost {
            checkArgument(
                    reason.outcome() == Outcome.MAY_HAVE_RUN, "reason must have the outcome MAY_HAVE_RUN: %s", reason);
            checkNotNull(load, "load");
        }
    }

    /** Cause for which a task certainly did not start. */
    enum NotStartedCause {
        /** The target had no free slot. */
        BUSY,
        /** The target is draining. */
        DRAINING,
        /** No connection could be opened, so nothing was sent. */
        NO_CONNECTION,
        /** This entry host was paused after it decided to start the task and before it sent the request. */
        HOST_PAUSED
    }
}
