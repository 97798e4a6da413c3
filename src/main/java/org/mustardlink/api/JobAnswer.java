package org.mustardlink.api;

import org.mustardlink.core.Verdict;

/** The answer to a submission, lookup or cancellation. */
public sealed interface JobAnswer {
    /**
     * The submission has a verdict.
     *
     * @param verdict verdict of the submission
     */
    record Final(Verdict verdict) implements JobAnswer {}

    /** No job was ever submitted under the id that was looked up. */
    record Unused() implements JobAnswer {}
}
