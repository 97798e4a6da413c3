package org.mustardlink.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.mustardlink.api.SessionAnswer;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;

/** Hands out new submission ids under sessions that this entry host opens for itself. Thread-safe. */
final class OwnNumbers {
    /** A session is replaced long before it could expire, because a claim may stand for a number that starts late. */
    private static final long MAX_AGE_NANOS = Duration.ofMinutes(5).toNanos();

    private final Supplier<CompletableFuture<SessionAnswer>> opener;
    private final LongSupplier nanos;
    private CompletableFuture<Optional<SessionId>> session = CompletableFuture.completedFuture(Optional.empty());
    private long openedNanos;
    private long next;

    OwnNumbers(Supplier<CompletableFuture<SessionAnswer>> opener, LongSupplier nanos) {
        this.opener = opener;
        this.nanos = nanos;
    }

    /** Returns an id that was never returned before, or nothing when no session can be opened. */
    synchronized CompletableFuture<Optional<SubmissionId>> next() {
        long now = nanos.getAsLong();
        boolean refused = session.isDone() && session.join().isEmpty();
        if (refused || next > SubmissionId.MAX_SEQUENCE || now - openedNanos > MAX_AGE_NANOS) {
            session = opener.get()
                    .thenApply(answer -> answer instanceof SessionAnswer.Granted granted
                            ? Optional.of(granted.session())
                            : Optional.empty());
            openedNanos = now;
            next = 0;
        }
        long sequence = next++;
        return session.thenApply(opened -> opened.map(id -> new SubmissionId(id, sequence)));
    }
}
