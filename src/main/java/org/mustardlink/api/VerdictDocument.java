package org.mustardlink.api;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.List;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.Reason;
import org.mustardlink.core.Verdict;

/**
 * A verdict as callers receive it.
 *
 * @param submission the submission
 * @param outcome whether anything may have run
 * @param reason the reason code
 * @param retryAfterMs when to come back, in milliseconds; absent when coming back does not help
 * @param results one result per task in task order; empty unless complete
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record VerdictDocument(
        String submission, Outcome outcome, Reason reason, Long retryAfterMs, List<String> results) {
    /** Returns the document of a verdict. */
    public static VerdictDocument of(String submission, Verdict verdict) {
        return new VerdictDocument(
                submission,
                verdict.outcome(),
                verdict.reason(),
                verdict.retryAfter().map(Duration::toMillis).orElse(null),
                verdict.results());
    }
}
