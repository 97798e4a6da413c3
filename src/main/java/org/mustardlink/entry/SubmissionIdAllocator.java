package org.mustardlink.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.mustardlink.api.SessionAnswer;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;

/** Allocates new submission ids in sessions that this entry host opens for itself. Thread-safe. */
final class SubmissionIdAllocator {
    /**
     * A session is replaced long before it can expire, because a job may be submitted long after its sequence number
     * was claimed.
     */
    private static final long MAX_SESSION_AGE_NANOS = Duration.ofMinutes(5).toNanos();

    private final Supplier<CompletableFuture<SessionAnswer>> sessionOpener;
    private final LongSupplier nanoClock;
    private CompletableFuture<Optional<SessionId>> session = CompletableFuture.completedFuture(Optional.empty());
    private long openedNanos;
    private long nextSequence;

    SubmissionIdAllocator(Supplier<CompletableFuture<SessionAnswer>> sessionOpener, LongSupplier nanoClock) {
        this.sessionOpener = sessionOpener;
        this.nanoClock = nanoClock;
    }

    /** Returns an id that has never been returned before, or empty if no session can be opened. */
    synchronized CompletableFuture<Optional<SubmissionId>> nextId() {
        long nowNanos = nanoClock.getAsLong();
        boolean refused = session.isDone() && session.join().isEmpty();
        if (refused || nextSequence > SubmissionId.MAX_SEQUENCE || nowNanos - openedNanos > MAX_SESSION_AGE_NANOS) {
            session = sessionOpener
                    .get()
                    .thenApply(answer -> answer instanceof SessionAnswer.Granted granted
                            ? Optional.of(granted.session())
                            : Optional.empty());
            openedNanos = nowNanos;
            nextSequence = 0;
        }
        long sequence = nextSequence++;
        return session.thenApply(opened -> opened.map(id -> new SubmissionId(id, sequence)));
    }
}
