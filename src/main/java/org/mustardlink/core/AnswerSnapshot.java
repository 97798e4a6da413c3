package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * A kept answer as one entry host hands it over to another.
 *
 * @param id the submission
 * @param fingerprint fingerprint of the job; empty when the number was sealed without one
 * @param verdict the answer
 */
public record AnswerSnapshot(SubmissionId id, OptionalLong fingerprint, Verdict verdict) {
    public AnswerSnapshot {
        checkNotNull(id, "id");
        checkNotNull(fingerprint, "fingerprint");
        checkNotNull(verdict, "verdict");
    }
}
