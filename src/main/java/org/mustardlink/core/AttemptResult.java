package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/** How one start of a task at a target ended. */
public sealed interface AttemptResult {
    /** Returns the target's load report, if its answer carried one. */
    Optional<LoadReport> load();

    /**
     * The task ran and its whole answer arrived.
     *
     * @param body the answer
     * @param load the load report
     */
    record Completed(String body, Optional<LoadReport> load) implements AttemptResult {
        public Completed {
            checkNotNull(body, "body");
            checkNotNull(load, "load");
        }
    }

    /**
     * The task certainly did not start and may go to another target.
     *
     * @param cause why it did not start
     * @param load the load report
     */
    record NotStarted(NotStartedCause cause, Optional<LoadReport> load) implements AttemptResult {
        public NotStarted {
            checkNotNull(cause, "cause");
            checkNotNull(load, "load");
        }
    }

    /**
     * The task may have started, and there is no usable answer.
     *
     * @param reason why; its outcome is {@link Outcome#MAY_HAVE_RUN}
     * @param load the load report
     */
    record Lost(Reason reason, Optional<LoadReport> load) implements AttemptResult {
        public Lost {
            checkArgument(reason.outcome() == Outcome.MAY_HAVE_RUN, "not a may-have-run reason: %s", reason);
            checkNotNull(load, "load");
        }
    }

    /** Why a task certainly did not start. */
    enum NotStartedCause {
        /** The target had no free slot. */
        BUSY,
        /** The target is draining. */
        DRAINING,
        /** No connection could be opened, so no byte was sent. */
        NO_CONNECTION,
        /** This entry host was paused between the decision and the sending. */
        HOST_PAUSED
    }
}
