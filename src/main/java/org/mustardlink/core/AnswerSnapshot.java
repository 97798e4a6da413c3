package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * A kept answer in the form in which one entry host hands it over to another.
 *
 * @param id id of the submission
 * @param fingerprint fingerprint of the job; empty if the sequence number was settled without a job
 * @param verdict verdict of the submission
 */
public record AnswerSnapshot(SubmissionId id, OptionalLong fingerprint, Verdict verdict) {
    public AnswerSnapshot {
        checkNotNull(id, "id");
        checkNotNull(fingerprint, "fingerprint");
        checkNotNull(verdict, "verdict");
    }
}
