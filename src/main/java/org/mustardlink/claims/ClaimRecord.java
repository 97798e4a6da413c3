package org.mustardlink.claims;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.http.Json;

/**
 * One record of the stream {@code claims}.
 *
 * @param schema schema version
 * @param key the key
 * @param submission the submission that the key stands for if this is the first claim
 * @param atMs when the claim was made, in milliseconds since the epoch
 */
record ClaimRecord(int schema, String key, String submission, long atMs) {
    static final int SCHEMA = 1;

    /** A claim whose fields are well-formed. */
    record Parsed(SubmissionKey key, SubmissionId submission, long atMs) {}

    static String write(SubmissionKey key, SubmissionId submission, long nowMs) {
        return Json.write(new ClaimRecord(SCHEMA, key.toString(), submission.toString(), nowMs));
    }

    /** Reads a claim, or nothing from a record that is not one. Every reader skips the same records. */
    static Optional<Parsed> parse(String text) {
        try {
            ClaimRecord claim = Json.read(text, ClaimRecord.class);
            return Optional.of(
                    new Parsed(SubmissionKey.parse(claim.key()), SubmissionId.parse(claim.submission()), claim.atMs()));
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }
}
