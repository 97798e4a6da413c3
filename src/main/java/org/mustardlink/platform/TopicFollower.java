package org.mustardlink.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Follows a keyed topic: delivers the newest record of each key first, then each new record in order.
 *
 * <p>Calls to the listener do not overlap. If records expire before they have been read, the newest record of each key
 * is delivered again. Records of one page are always in the order of the topic.
 */
public final class TopicFollower {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    private final StoreClient store;
    private final String topic;
    private final Duration maxWait;
    private final Supplier<Duration> pauseBetweenReads;
    private final Listener listener;
    private final ScheduledExecutorService timer;
    private final AtomicBoolean nextPauseSkipped = new AtomicBoolean();
    private volatile Optional<PendingRead> pausedRead = Optional.empty();
    private volatile boolean closed;
    private boolean reachable = true;
    private Duration retryDelay = INITIAL_RETRY_DELAY;

    /** A read that waits for the end of a pause; it is run once, by the timer or earlier. */
    private record PendingRead(AtomicBoolean taken, Runnable read) {
        private void runOnce() {
            if (taken.compareAndSet(false, true)) {
                read.run();
            }
        }
    }

    /** Receives the records of a topic. */
    public interface Listener {
        /** Called with new records; {@code isFullList} states whether they are the newest record of every key. */
        void onRecords(StoreClient.Page page, boolean isFullList);

        /**
         * Called after the records of a read, if it has reached the end of the topic: every record appended before the
         * read began has been delivered.
         *
         * @param readStartedNanos when the read began, on the clock of {@link System#nanoTime}
         */
        default void onUpToDate(long readStartedNanos) {}

        /** Called when reads of the topic begin to fail, and when they succeed again. */
        void onReachabilityChanged(String topic, boolean isReachable, String reason);

        /** Called when {@link #onRecords} threw an exception or an error; the records are skipped. */
        void onRecordsFailed(String topic, Throwable cause);
    }

    private TopicFollower(
            StoreClient store,
            String topic,
            Duration maxWait,
            Supplier<Duration> pauseBetweenReads,
            Listener listener,
            ScheduledExecutorService timer) {
        this.store = store;
        this.topic = topic;
        this.maxWait = maxWait;
        this.pauseBetweenReads = pauseBetweenReads;
        this.listener = listener;
        this.timer = timer;
    }

    /**
     * Starts following a topic.
     *
     * @param maxWait maximum time that the store waits for a record before it answers
     * @param pauseBetweenReads returns the pause before the next read, which limits the reads of topics with frequent
     *     records; called on any thread
     */
    public static TopicFollower start(
            StoreClient store,
            String topic,
            Duration maxWait,
            Supplier<Duration> pauseBetweenReads,
            Listener listener,
            ScheduledExecutorService timer) {
        TopicFollower follower = new TopicFollower(store, topic, maxWait, pauseBetweenReads, listener, timer);
        follower.readNewest();
        return follower;
    }

    /**
     * Ends the pause between two reads, or leaves out the next one. A read begins soon, which delivers the records that
     * were appended before this call.
     */
    public void readSoon() {
        nextPauseSkipped.set(true);
        pausedRead.ifPresent(pending -> {
            nextPauseSkipped.set(false);
            pending.runOnce();
        });
    }

    /** Stops following the topic; the result of a read in progress is discarded. */
    public void close() {
        closed = true;
    }

    private void readNewest() {
        if (closed) {
            return;
        }
        CompletableFuture<StoreClient.Page> _read = store.readNewest(topic).whenComplete((page, failure) -> {
            if (failure != null) {
                scheduleRetry(failure, this::readNewest);
                return;
            }
            markReachable();
            deliver(page, true);
            pauseBefore(() -> readFrom(page.endOffset()));
        });
    }

    private void readFrom(long offset) {
        if (closed) {
            return;
        }
        long startedNanos = System.nanoTime();
        CompletableFuture<Optional<StoreClient.Page>> _read = store.read(topic, offset, maxWait)
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        scheduleRetry(failure, () -> readFrom(offset));
                        return;
                    }
                    markReachable();
                    if (page.isEmpty()) {
                        readNewest();
                        return;
                    }
                    if (!page.get().records().isEmpty()) {
                        deliver(page.get(), false);
                    }
                    if (page.get().nextOffset() >= page.get().endOffset()) {
                        listener.onUpToDate(startedNanos);
                    }
                    pauseBefore(() -> readFrom(page.get().nextOffset()));
                });
    }

    /**
     * Delivers records to the listener. A failure of the listener, even an error of the virtual machine, must not stop
     * the reads, or later changes would be missed.
     */
    private void deliver(StoreClient.Page page, boolean isFullList) {
        if (closed) {
            return;
        }
        try {
            listener.onRecords(page, isFullList);
        } catch (RuntimeException | Error e) {
            listener.onRecordsFailed(topic, e);
        }
    }

    private void markReachable() {
        retryDelay = INITIAL_RETRY_DELAY;
        if (!reachable) {
            reachable = true;
            listener.onReachabilityChanged(topic, true, "");
        }
    }

    private void scheduleRetry(Throwable failure, Runnable read) {
        if (reachable) {
            reachable = false;
            listener.onReachabilityChanged(topic, false, String.valueOf(failure.getMessage()));
        }
        Duration delay = retryDelay;
        retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                ? MAX_RETRY_DELAY
                : retryDelay.multipliedBy(2);
        schedule(read, delay);
    }

    private void pauseBefore(Runnable read) {
        PendingRead pending = new PendingRead(new AtomicBoolean(), () -> {
            pausedRead = Optional.empty();
            read.run();
        });
        pausedRead = Optional.of(pending);
        schedule(pending::runOnce, nextPauseSkipped.getAndSet(false) ? Duration.ZERO : pauseBetweenReads.get());
    }

    private void schedule(Runnable action, Duration delay) {
        if (closed) {
            return;
        }
        if (delay.isZero()) {
            action.run();
            return;
        }
        ScheduledFuture<?> _scheduled = timer.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
