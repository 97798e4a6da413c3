package org.mustardlink.api;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.mustardlink.core.SubmissionId;

/**
 * The answer to a submission under a key.
 *
 * @param submission the submission that the key stands for, if that is settled
 * @param answer the answer
 */
public record KeyedAnswer(Optional<SubmissionId> submission, JobAnswer answer) {
    public KeyedAnswer {
        checkNotNull(submission, "submission");
        checkNotNull(answer, "answer");
    }
}
