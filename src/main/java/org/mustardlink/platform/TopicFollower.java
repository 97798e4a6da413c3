package org.mustardlink.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Follows a keyed topic: the newest record of each key first, then every change in order.
 *
 * <p>The listener is called by one call at a time. After lost history it gets the newest records again; it never sees
 * records of one topic out of order within one reading.
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
    private volatile boolean closed;
    private boolean reachable = true;
    private Duration retryDelay = INITIAL_RETRY_DELAY;

    /** Hears the records of a topic. */
    public interface Listener {
        /** Records came; {@code isSnapshot} tells that they are the newest record of every key. */
        void onRecords(StoreClient.Page page, boolean isSnapshot);

        /** The store stopped to answer, or answers again. */
        void onReachabilityChanged(String topic, boolean isReachable, String why);

        /** Records came that couldn't be handled; they are passed over. */
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
     * Starts to follow a topic.
     *
     * @param maxWait longest time that the store waits for a record before it answers
     * @param pauseBetweenReads returns the pause before the next reading, for topics whose records come often; called by any thread
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

    /** Ends the following; a reading under way has no further effect. */
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
            schedule(() -> readFrom(page.endOffset()), pauseBetweenReads.get());
        });
    }

    private void readFrom(long offset) {
        if (closed) {
            return;
        }
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
                    schedule(() -> readFrom(page.get().nextOffset()), pauseBetweenReads.get());
                });
    }

    /** Hands records on; following goes on after records that can't be handled, or later changes would never be read. */
    private void deliver(StoreClient.Page page, boolean isSnapshot) {
        if (closed) {
            return;
        }
        try {
            listener.onRecords(page, isSnapshot);
        } catch (RuntimeException e) {
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
