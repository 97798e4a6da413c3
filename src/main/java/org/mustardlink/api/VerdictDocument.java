package org.mustardlink.api;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.List;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.Reason;
import org.mustardlink.core.Verdict;

/**
 * The JSON document of a verdict, as callers receive it.
 *
 * @param submission id of the submission
 * @param outcome whether the job is complete, may have run or has not run
 * @param reason reason code of the verdict
 * @param retryAfterMs time after which to retry, in milliseconds; absent if a retry does not help
 * @param results one result per task, in the order of the tasks; empty unless the job is complete
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record VerdictDocument(
        String submission, Outcome outcome, Reason reason, Long retryAfterMs, List<String> results) {
    /** Returns the document of the verdict of a submission. */
    public static VerdictDocument of(String submission, Verdict verdict) {
        return new VerdictDocument(
                submission,
                verdict.outcome(),
                verdict.reason(),
                verdict.retryAfter().map(Duration::toMillis).orElse(null),
                verdict.results());
    }
}
