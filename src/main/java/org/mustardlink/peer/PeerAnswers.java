package org.mustardlink.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.core.Reason;
import org.mustardlink.core.Verdict;
import org.mustardlink.peer.thrift.AnswerKind;
import org.mustardlink.peer.thrift.PeerAnswer;

/** Converts answers to and from Thrift messages. */
final class PeerAnswers {
    private PeerAnswers() {}

    static PeerAnswer toThrift(JobAnswer answer) {
        if (answer instanceof JobAnswer.Final result) {
            Verdict verdict = result.verdict();
            PeerAnswer converted = new PeerAnswer(AnswerKind.VERDICT);
            converted.setReason(verdict.reason().name());
            verdict.retryAfter().ifPresent(after -> converted.setRetryAfterMs(after.toMillis()));
            converted.setResults(verdict.results());
            return converted;
        }
        return new PeerAnswer(AnswerKind.UNUSED);
    }

    static JobAnswer fromThrift(PeerAnswer answer) {
        return switch (answer.getKind()) {
            case VERDICT -> new JobAnswer.Final(toVerdict(answer));
            case UNUSED -> new JobAnswer.Unused();
            case OTHER_INCARNATION -> new JobAnswer.Final(Verdict.failed(Reason.OWNER_GONE));
            case NOT_OWNER -> PeerClient.unreachableAnswer();
        };
    }

    private static Verdict toVerdict(PeerAnswer answer) {
        return toVerdict(
                answer.getReason(),
                answer.isSetRetryAfterMs() ? OptionalLong.of(answer.getRetryAfterMs()) : OptionalLong.empty(),
                answer.isSetResults() ? answer.getResults() : ImmutableList.of());
    }

    /**
     * Creates a verdict from the fields of a Thrift message.
     *
     * @throws IllegalArgumentException if the reason is unknown
     */
    static Verdict toVerdict(String reason, OptionalLong retryAfterMs, List<String> results) {
        Optional<Duration> retryAfter =
                retryAfterMs.isPresent() ? Optional.of(Duration.ofMillis(retryAfterMs.getAsLong())) : Optional.empty();
        return new Verdict(Reason.valueOf(reason), retryAfter, ImmutableList.copyOf(results));
    }
}
