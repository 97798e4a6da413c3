package org.mustardlink.api;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.mustardlink.core.SubmissionId;

/**
 * The answer to a submission that is identified by a key.
 *
 * @param submission id of the submission that the key identifies, empty if it has not been determined
 * @param answer answer to the submission
 */
public record KeyedAnswer(Optional<SubmissionId> submission, JobAnswer answer) {
    public KeyedAnswer {
        checkNotNull(submission, "submission");
        checkNotNull(answer, "answer");
    }
}
