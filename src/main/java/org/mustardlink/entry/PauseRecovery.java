package org.mustardlink.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Runs every {@link PauseCheck} after a pause of the process and then resumes task starts. Thread-safe. */
final class PauseRecovery {
    /** Task starts resume after this time even if neither the log nor a peer answers. */
    private static final Duration MAX_HOLD = Duration.ofMillis(500);

    private final List<PauseCheck> checks = new CopyOnWriteArrayList<>();
    private final AtomicLong pauseCount = new AtomicLong();
    private final Runnable resumeStarts;

    PauseRecovery(Runnable resumeStarts) {
        this.resumeStarts = resumeStarts;
    }

    void addCheck(PauseCheck check) {
        checks.add(check);
    }

    long pauseCount() {
        return pauseCount.get();
    }

    void recheckAfterPause() {
        long pauseNumber = pauseCount.incrementAndGet();
        CompletableFuture<?>[] runningChecks =
                checks.stream().map(PauseRecovery::runCheck).toArray(CompletableFuture<?>[]::new);
        CompletableFuture<Void> _resumed = CompletableFuture.allOf(runningChecks)
                .orTimeout(MAX_HOLD.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_done, _failure) -> {
                    // If another pause followed, only the checks started after that pause resume task starts.
                    if (pauseCount.get() == pauseNumber) {
                        resumeStarts.run();
                    }
                });
    }

    private static CompletableFuture<?> runCheck(PauseCheck check) {
        try {
            return check.recheck();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
