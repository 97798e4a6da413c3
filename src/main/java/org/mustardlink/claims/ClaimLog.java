package org.mustardlink.claims;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.directory.LogPage;
import org.mustardlink.directory.LogService;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Claims keys in the stream {@code claims} of the platform's log. Thread-safe.
 *
 * <p>The first claim of a key in log order wins. A claim is settled only once it has been read back together with all
 * records before it, regardless of the answer to the append, so that a lost answer needs no special handling. Claims
 * that are queued at the same time share one append.
 */
public final class ClaimLog implements AutoCloseable {
    /** The stream to which claims are appended. */
    public static final String STREAM = "claims";

    private static final int PAGE_SIZE = 1000;
    private static final Duration READ_WAIT = Duration.ofSeconds(5);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

    private final LogService log;
    private final ClaimSettings settings;
    private final LongSupplier wallClockMs;
    private final ClaimTable table;
    private final Map<SubmissionKey, CompletableFuture<ClaimResult>> pending = new HashMap<>();
    private final Queue<QueuedClaim> appendQueue = new ArrayDeque<>();
    private boolean appendInFlight;
    private volatile boolean closed;

    private record QueuedClaim(SubmissionKey key, String record) {}

    private ClaimLog(LogService log, ClaimSettings settings, LongSupplier wallClockMs) {
        this.log = log;
        this.settings = settings;
        this.wallClockMs = wallClockMs;
        this.table = new ClaimTable(settings);
    }

    /**
     * Starts following the log from its earliest record.
     *
     * @param wallClockMs the wall clock in milliseconds since the epoch
     */
    public static ClaimLog start(LogService log, ClaimSettings settings, LongSupplier wallClockMs) {
        ClaimLog claims = new ClaimLog(log, settings, wallClockMs);
        claims.readNextPage();
        return claims;
    }

    /** Returns the result for a key without claiming the key; empty if the key has to be claimed. */
    public synchronized Optional<ClaimResult> find(SubmissionKey key) {
        long nowMs = wallClockMs.getAsLong();
        long aheadMs = key.createdMs() - nowMs - settings.maxClockSkew().toMillis();
        if (aheadMs > 0) {
            // The clock of another entry host may be ahead and accept the key, so an answer "not run" could be false.
            return Optional.of(new ClaimResult.Unsettled(Duration.ofMillis(aheadMs)));
        }
        if (table.isExpired(key, nowMs)) {
            return Optional.of(new ClaimResult.Expired());
        }
        return table.find(key).map(ClaimResult.Settled::new);
    }

    /**
     * Claims a key unless its first claim has already been read.
     *
     * @param key the key
     * @param newSubmission a new submission id of this entry host that is used for this claim only
     * @param timeout maximum time to wait, positive
     */
    public CompletableFuture<ClaimResult> claim(SubmissionKey key, SubmissionId newSubmission, Duration timeout) {
        CompletableFuture<ClaimResult> result;
        synchronized (this) {
            Optional<ClaimResult> known = find(key);
            if (known.isPresent()) {
                return CompletableFuture.completedFuture(known.get());
            }
            if (pending.size() >= settings.maxPending() && !pending.containsKey(key)) {
                return CompletableFuture.completedFuture(unsettled());
            }
            result = pending.computeIfAbsent(key, _unused -> enqueue(key, newSubmission));
        }
        appendNextBatch();
        // A copy, so that the timeout of one caller does not complete the future that the other callers wait for.
        long waitMs = Math.max(
                1, Math.min(timeout.toMillis(), settings.settleTimeout().toMillis()));
        return result.copy().completeOnTimeout(unsettled(), waitMs, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of claims held in memory. */
    public synchronized int size() {
        return table.size();
    }

    @Override
    public void close() {
        closed = true;
    }

    private CompletableFuture<ClaimResult> enqueue(SubmissionKey key, SubmissionId newSubmission) {
        appendQueue.add(new QueuedClaim(key, ClaimRecord.write(key, newSubmission, wallClockMs.getAsLong())));
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        CompletableFuture<ClaimResult> _bounded = result.completeOnTimeout(
                        unsettled(), settings.settleTimeout().toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_result, _failure) -> removePending(key, result));
        return result;
    }

    private synchronized void removePending(SubmissionKey key, CompletableFuture<ClaimResult> result) {
        pending.remove(key, result);
    }

    private void appendNextBatch() {
        List<QueuedClaim> batch = nextBatch();
        if (batch.isEmpty()) {
            return;
        }
        ImmutableList<String> records =
                batch.stream().map(QueuedClaim::record).collect(ImmutableList.toImmutableList());
        CompletableFuture<Long> _appended = log.append(STREAM, records).whenComplete((_offset, failure) -> {
            synchronized (this) {
                appendInFlight = false;
            }
            if (failure != null && isNotSent(failure)) {
                batch.forEach(claim -> completePending(claim.key(), unsettled()));
            }
            appendNextBatch();
        });
    }

    private synchronized List<QueuedClaim> nextBatch() {
        List<QueuedClaim> batch = new ArrayList<>();
        if (appendInFlight || closed) {
            return batch;
        }
        while (batch.size() < settings.maxBatch() && !appendQueue.isEmpty()) {
            QueuedClaim claim = appendQueue.remove();
            // Drops claims that have already been answered, because appending them would be of no use.
            if (pending.containsKey(claim.key())) {
                batch.add(claim);
            }
        }
        appendInFlight = !batch.isEmpty();
        return batch;
    }

    private void readNextPage() {
        if (closed) {
            return;
        }
        long from;
        synchronized (this) {
            from = table.nextOffset();
        }
        CompletableFuture<LogPage> _read = log.read(STREAM, from, PAGE_SIZE, READ_WAIT)
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        CompletableFuture.delayedExecutor(RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS)
                                .execute(this::readNextPage);
                        return;
                    }
                    applyPage(page);
                    readNextPage();
                });
    }

    private void applyPage(LogPage page) {
        Map<CompletableFuture<ClaimResult>, ClaimResult> settled = new HashMap<>();
        synchronized (this) {
            table.applyPage(page, wallClockMs.getAsLong());
            pending.forEach((key, result) -> find(key).ifPresent(known -> settled.put(result, known)));
        }
        settled.forEach(CompletableFuture::complete);
    }

    private void completePending(SubmissionKey key, ClaimResult result) {
        CompletableFuture<ClaimResult> waiter;
        synchronized (this) {
            waiter = pending.get(key);
        }
        if (waiter != null) {
            waiter.complete(result);
        }
    }

    private ClaimResult unsettled() {
        return new ClaimResult.Unsettled(settings.retryAfter());
    }

    private static boolean isNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof CodedException coded && coded.code() == ErrorCode.NOT_SENT;
    }
}
