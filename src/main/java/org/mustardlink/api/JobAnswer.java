package org.mustardlink.api;

import org.mustardlink.core.Verdict;

/** The answer to a submission, lookup or cancellation. */
public sealed interface JobAnswer {
    /**
     * The final answer.
     *
     * @param verdict the verdict
     */
    record Final(Verdict verdict) implements JobAnswer {}

    /** The number was looked up and was never used. */
    record Unused() implements JobAnswer {}
}
