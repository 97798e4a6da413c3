package org.mustardlink.claims;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.http.Json;

/**
 * A record of the stream {@code claims}.
 *
 * @param schema schema version
 * @param key the key
 * @param submission the submission that the key maps to if this is the first claim of the key
 * @param atMs when the claim was made, in milliseconds since the epoch
 */
record ClaimRecord(int schema, String key, String submission, long atMs) {
    static final int SCHEMA = 1;

    /** A claim with parsed fields. */
    record Parsed(SubmissionKey key, SubmissionId submission, long atMs) {}

    static String write(SubmissionKey key, SubmissionId submission, long nowMs) {
        return Json.write(new ClaimRecord(SCHEMA, key.toString(), submission.toString(), nowMs));
    }

    /** Parses a claim, or returns empty if the record is malformed. Every reader skips the same records. */
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
