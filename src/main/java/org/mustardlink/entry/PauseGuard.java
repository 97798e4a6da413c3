package org.mustardlink.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Runs every {@link PauseCheck} after a pause and then lets starts go on. Thread-safe. */
final class PauseGuard {
    /** Starts go on after this time even when neither the log nor a peer answers. */
    private static final Duration LONGEST_HOLD = Duration.ofMillis(500);

    private final List<PauseCheck> checks = new CopyOnWriteArrayList<>();
    private final AtomicLong pauses = new AtomicLong();
    private final Runnable resume;

    PauseGuard(Runnable resume) {
        this.resume = resume;
    }

    void add(PauseCheck check) {
        checks.add(check);
    }

    long pauses() {
        return pauses.get();
    }

    void paused() {
        long pause = pauses.incrementAndGet();
        CompletableFuture<?>[] running = checks.stream().map(PauseGuard::run).toArray(CompletableFuture<?>[]::new);
        CompletableFuture<Void> _resumed = CompletableFuture.allOf(running)
                .orTimeout(LONGEST_HOLD.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_done, _failure) -> {
                    // After another pause only the checks that began after it count.
                    if (pauses.get() == pause) {
                        resume.run();
                    }
                });
    }

    private static CompletableFuture<?> run(PauseCheck check) {
        try {
            return check.recheck();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
