package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

/** Stable reason code of a verdict. Each code belongs to exactly one {@link Outcome}. */
public enum Reason {
    /** All tasks completed. */
    OK(Outcome.COMPLETE),
    /** The queue or a limit of the entry host is full. */
    OVERLOADED(Outcome.NOT_RUN),
    /** The deadline cannot be met, so the job was refused before any start. */
    DEADLINE_UNREACHABLE(Outcome.NOT_RUN),
    /** The service has no target that may take the job. */
    NO_TARGET(Outcome.NOT_RUN),
    /** The team's quota is used up. */
    QUOTA_EXCEEDED(Outcome.NOT_RUN),
    /** The caller cancelled the job before any start. */
    CANCELLED(Outcome.NOT_RUN),
    /** The entry host is stopping and takes no new submissions. */
    HOST_LEAVING(Outcome.NOT_RUN),
    /** The session was closed by a planned stop before this number was used; open a new session. */
    SESSION_CLOSED(Outcome.NOT_RUN),
    /** A task asks for more than any target of the service can hold. */
    TASK_TOO_LARGE(Outcome.NOT_RUN),
    /** The request is malformed. */
    BAD_REQUEST(Outcome.NOT_RUN),
    /** The entry host has no configuration yet. */
    NOT_READY(Outcome.NOT_RUN),
    /** The target or its connection failed while a task was in flight. */
    TARGET_LOST(Outcome.MAY_HAVE_RUN),
    /** The target stayed silent past the task's lease. */
    TARGET_TIMEOUT(Outcome.MAY_HAVE_RUN),
    /** A task ran and reported an error. */
    TASK_FAILED(Outcome.MAY_HAVE_RUN),
    /** A target's answer was cut, foreign or did not match its digest. */
    ANSWER_DAMAGED(Outcome.MAY_HAVE_RUN),
    /** The caller cancelled the job after a start. */
    CANCELLED_RUNNING(Outcome.MAY_HAVE_RUN),
    /** The deadline passed after a start. */
    DEADLINE_PASSED(Outcome.MAY_HAVE_RUN),
    /** The owning incarnation is gone for good. */
    OWNER_GONE(Outcome.MAY_HAVE_RUN),
    /** The owning entry host cannot be reached now; resubmitting under the same id is safe. */
    OWNER_UNREACHABLE(Outcome.MAY_HAVE_RUN),
    /** The submission was answered, and the answer is no longer kept. */
    ANSWER_EXPIRED(Outcome.MAY_HAVE_RUN),
    /** The session expired or was never opened here. */
    SESSION_UNKNOWN(Outcome.MAY_HAVE_RUN),
    /** The key is older than the claims that the log still keeps. */
    KEY_EXPIRED(Outcome.MAY_HAVE_RUN),
    /** The claim for the key could not be read back; resubmitting the same key is safe. */
    CLAIM_UNSETTLED(Outcome.MAY_HAVE_RUN),
    /** The submission id was used before with another content. */
    SUBMISSION_MISMATCH(Outcome.MAY_HAVE_RUN);

    private final Outcome outcome;

    Reason(Outcome outcome) {
        this.outcome = checkNotNull(outcome, "outcome");
    }

    /** Returns the outcome that this reason belongs to. */
    public Outcome outcome() {
        return outcome;
    }
}
