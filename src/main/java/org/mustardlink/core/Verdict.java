package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * The final answer to a submission: either complete with every result, or failed with a truthful statement whether
 * anything may have run.
 *
 * @param reason why; it fixes the {@link Outcome}
 * @param retryAfter when the caller should come back, if that helps
 * @param results one result per task in task order when complete, otherwise empty
 */
public record Verdict(Reason reason, Optional<Duration> retryAfter, ImmutableList<String> results) {
    public Verdict {
        checkNotNull(reason, "reason");
        checkNotNull(retryAfter, "retryAfter");
        checkNotNull(results, "results");
        checkArgument(
                reason.outcome() == Outcome.COMPLETE || results.isEmpty(),
                "a failed verdict carries no results: %s",
                reason);
    }

    /** Returns a complete verdict with one result per task, in task order. */
    public static Verdict complete(ImmutableList<String> results) {
        return new Verdict(Reason.OK, Optional.empty(), results);
    }

    /** Returns a failed verdict without a time to come back. */
    public static Verdict failed(Reason reason) {
        return new Verdict(reason, Optional.empty(), ImmutableList.of());
    }

    /** Returns a failed verdict that tells the caller when to come back. */
    public static Verdict failed(Reason reason, Duration retryAfter) {
        return new Verdict(reason, Optional.of(retryAfter), ImmutableList.of());
    }

    /** Returns what this verdict says about tasks having run. */
    public Outcome outcome() {
        return reason.outcome();
    }
}
