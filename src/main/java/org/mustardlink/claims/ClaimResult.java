package org.mustardlink.claims;

import java.time.Duration;
import org.mustardlink.core.SubmissionId;

/** Result of looking up or claiming a key. */
public sealed interface ClaimResult {
    /**
     * The first claim of the key has been read from the log.
     *
     * @param submission the submission that the key maps to
     */
    record Settled(SubmissionId submission) implements ClaimResult {}

    /**
     * No claim of the key was read in time, but one may exist. Retrying with the same key is safe.
     *
     * @param retryAfter delay before the next try
     */
    record Unsettled(Duration retryAfter) implements ClaimResult {}

    /** The key is so old that a claim of the key may have been removed from the log or from memory. */
    record Expired() implements ClaimResult {}
}
