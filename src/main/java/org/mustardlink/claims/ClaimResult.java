package org.mustardlink.claims;

import java.time.Duration;
import org.mustardlink.core.SubmissionId;

/** What is known about a key. */
public sealed interface ClaimResult {
    /**
     * The first claim of the key was read.
     *
     * @param submission the submission that the key stands for
     */
    record Settled(SubmissionId submission) implements ClaimResult {}

    /**
     * No claim of the key was read in time; one may exist. Trying the same key again is safe.
     *
     * @param retryAfter when to try again
     */
    record Unsettled(Duration retryAfter) implements ClaimResult {}

    /** The key is so old that a claim for it may have left the log. */
    record Expired() implements ClaimResult {}
}
