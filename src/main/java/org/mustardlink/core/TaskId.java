package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifier of a task: its submission and its position in the job.
 *
 * @param submission id of the submission
 * @param index position in the job, from 0
 */
public record TaskId(SubmissionId submission, int index) {
    public TaskId {
        checkNotNull(submission, "submission");
        checkArgument(index >= 0, "index must not be negative: %s", index);
    }

    /**
     * Parses the text form {@code session/sequence/index}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        checkArgument(slash > 0, "task id must have the form session/sequence/index: %s", text);
        return new TaskId(SubmissionId.parse(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
    }

    /** Returns the text form {@code session/sequence/index}. */
    @Override
    public String toString() {
        return submission + "/" + index;
    }
}
