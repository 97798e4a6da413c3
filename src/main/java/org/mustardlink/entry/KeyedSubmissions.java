package org.mustardlink.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.api.KeyedAnswer;
import org.mustardlink.claims.ClaimLog;
import org.mustardlink.claims.ClaimResult;
import org.mustardlink.claims.SubmissionKey;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;

/**
 * Submits jobs under keys: finds or claims the submission id of the key, and then submits the job under that id.
 *
 * <p>Never answers "not run", because another entry host may hold an earlier claim of the key; only the owner of the
 * submission can answer that.
 */
final class KeyedSubmissions {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimLog claimLog;
    private final SubmissionIdAllocator idAllocator;
    private final LongSupplier nanoClock;

    /** Submits a job under the submission id that its key is settled to. */
    @FunctionalInterface
    interface Submitter {
        CompletableFuture<JobAnswer> submit(SubmissionId id, JobRequest request);
    }

    KeyedSubmissions(ClaimLog claimLog, SubmissionIdAllocator idAllocator, LongSupplier nanoClock) {
        this.claimLog = claimLog;
        this.idAllocator = idAllocator;
        this.nanoClock = nanoClock;
    }

    CompletableFuture<KeyedAnswer> submit(SubmissionKey key, JobRequest request, Submitter submitter) {
        long endNanos = nanoClock.getAsLong() + request.deadline().toNanos();
        Supplier<Duration> remaining = () -> Duration.ofNanos(endNanos - nanoClock.getAsLong());
        return claimLog.find(key)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> claim(key, remaining))
                .thenCompose(result -> submitSettled(result, request, remaining.get(), submitter));
    }

    private CompletableFuture<ClaimResult> claim(SubmissionKey key, Supplier<Duration> remaining) {
        return idAllocator
                .nextId()
                .thenCompose(newId -> newId.map(id -> claimLog.claim(key, id, remaining.get()))
                        .orElseGet(() -> CompletableFuture.completedFuture(new ClaimResult.Unsettled(RETRY_AFTER))));
    }

    private static CompletableFuture<KeyedAnswer> submitSettled(
            ClaimResult result, JobRequest request, Duration remaining, Submitter submitter) {
        if (result instanceof ClaimResult.Expired) {
            return withoutSubmission(Verdict.failed(Reason.KEY_EXPIRED));
        }
        if (result instanceof ClaimResult.Unsettled unsettled) {
            return withoutSubmission(Verdict.failed(Reason.CLAIM_UNSETTLED, unsettled.retryAfter()));
        }
        SubmissionId id = ((ClaimResult.Settled) result).submission();
        if (remaining.isNegative() || remaining.isZero()) {
            return withoutSubmission(Verdict.failed(Reason.CLAIM_UNSETTLED, RETRY_AFTER));
        }
        return submitter
                .submit(id, request.withDeadline(remaining))
                .thenApply(answer -> new KeyedAnswer(Optional.of(id), answer));
    }

    private static CompletableFuture<KeyedAnswer> withoutSubmission(Verdict verdict) {
        return CompletableFuture.completedFuture(new KeyedAnswer(Optional.empty(), new JobAnswer.Final(verdict)));
    }
}
