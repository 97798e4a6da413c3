package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * The final answer to a submission: either complete with all results, or failed with a statement on whether any task
 * may have run.
 *
 * @param reason reason code, which determines the {@link Outcome}
 * @param retryAfter time after which the caller may retry, if a retry may succeed
 * @param results one result per task in task order if complete, otherwise empty
 */
public record Verdict(Reason reason, Optional<Duration> retryAfter, ImmutableList<String> results) {
    public Verdict {
        checkNotNull(reason, "reason");
        checkNotNull(retryAfter, "retryAfter");
        checkNotNull(results, "results");
        checkArgument(
                reason.outcome() == Outcome.COMPLETE || results.isEmpty(),
                "failed verdict must not have results: %s",
                reason);
    }

    /** Returns a complete verdict with one result per task, in task order. */
    public static Verdict complete(ImmutableList<String> results) {
        return new Verdict(Reason.OK, Optional.empty(), results);
    }

    /** Returns a failed verdict without a retry-after time. */
    public static Verdict failed(Reason reason) {
        return new Verdict(reason, Optional.empty(), ImmutableList.of());
    }

    /** Returns a failed verdict with a retry-after time. */
    public static Verdict failed(Reason reason, Duration retryAfter) {
        return new Verdict(reason, Optional.of(retryAfter), ImmutableList.of());
    }

    /** Returns whether all, none or possibly some of the tasks have run. */
    public Outcome outcome() {
        return reason.outcome();
    }
}
