package org.mustardlink.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.mustardlink.core.AnswerSnapshot;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SessionSnapshot;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.peer.thrift.HandoverPart;
import org.mustardlink.peer.thrift.KeptAnswer;
import org.mustardlink.peer.thrift.SessionUse;

/**
 * The sessions and retained answers that a stopping entry host hands over to its successor.
 *
 * @param host id of the stopping entry host
 * @param incarnation incarnation of the stopping entry host
 * @param sessions closed sessions of the entry host
 * @param answers retained answers of the entry host
 */
public record Handover(
        String host, long incarnation, ImmutableList<SessionSnapshot> sessions, ImmutableList<AnswerSnapshot> answers) {
    /**
     * Estimated size after which a part is closed. It is far below the largest frame, so that a part still fits if the
     * last answer added to it is the largest possible one.
     */
    private static final long PART_SIZE_BYTES = 512 << 10;

    public Handover {
        checkNotNull(host, "host");
        checkNotNull(sessions, "sessions");
        checkNotNull(answers, "answers");
    }

    /** Splits the handover into parts that each fit into a frame. */
    List<HandoverPart> toParts() {
        List<HandoverPart> parts = new ArrayList<>();
        HandoverPart part = newPart(0);
        long estimatedBytes = 0;
        for (SessionSnapshot session : sessions) {
            part.addToSessions(toThrift(session));
            estimatedBytes += 64 + session.used().length() * 8L;
            if (estimatedBytes > PART_SIZE_BYTES) {
                parts.add(part);
                part = newPart(parts.size());
                estimatedBytes = 0;
            }
        }
        for (AnswerSnapshot answer : answers) {
            part.addToAnswers(toThrift(answer));
            estimatedBytes += 128 + resultCharacters(answer);
            if (estimatedBytes > PART_SIZE_BYTES) {
                parts.add(part);
                part = newPart(parts.size());
                estimatedBytes = 0;
            }
        }
        part.setLast(true);
        parts.add(part);
        return parts;
    }

    /**
     * Assembles a handover from its parts.
     *
     * @throws IllegalArgumentException if a field is malformed
     */
    static Handover fromParts(List<HandoverPart> parts) {
        ImmutableList.Builder<SessionSnapshot> sessions = ImmutableList.builder();
        ImmutableList.Builder<AnswerSnapshot> answers = ImmutableList.builder();
        for (HandoverPart part : parts) {
            part.getSessions().forEach(use -> sessions.add(fromThrift(use)));
            part.getAnswers().forEach(kept -> answers.add(fromThrift(kept)));
        }
        HandoverPart first = parts.get(0);
        return new Handover(first.getHost(), first.getIncarnation(), sessions.build(), answers.build());
    }

    private HandoverPart newPart(int position) {
        return new HandoverPart(host, incarnation, position, false, new ArrayList<>(), new ArrayList<>());
    }

    private static long resultCharacters(AnswerSnapshot answer) {
        return answer.verdict().results().stream().mapToLong(String::length).sum();
    }

    private static SessionUse toThrift(SessionSnapshot session) {
        return new SessionUse(session.id().toString(), session.used().asList());
    }

    private static SessionSnapshot fromThrift(SessionUse use) {
        return new SessionSnapshot(SessionId.parse(use.getSession()), ImmutableLongArray.copyOf(use.getUsed()));
    }

    private static KeptAnswer toThrift(AnswerSnapshot answer) {
        KeptAnswer kept =
                new KeptAnswer(answer.id().toString(), answer.verdict().reason().name());
        answer.verdict().retryAfter().ifPresent(after -> kept.setRetryAfterMs(after.toMillis()));
        answer.fingerprint().ifPresent(kept::setFingerprint);
        kept.setResults(answer.verdict().results());
        return kept;
    }

    private static AnswerSnapshot fromThrift(KeptAnswer kept) {
        OptionalLong fingerprint =
                kept.isSetFingerprint() ? OptionalLong.of(kept.getFingerprint()) : OptionalLong.empty();
        return new AnswerSnapshot(
                SubmissionId.parse(kept.getSubmission()),
                fingerprint,
                PeerAnswers.toVerdict(
                        kept.getReason(),
                        kept.isSetRetryAfterMs() ? OptionalLong.of(kept.getRetryAfterMs()) : OptionalLong.empty(),
                        kept.isSetResults() ? kept.getResults() : ImmutableList.of()));
    }
}
