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
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY = Duration.ofMillis(500);

    private final StoreClient store;
    private final String topic;
    private final Duration wait;
    private final Supplier<Duration> pause;
    private final Listener listener;
    private final ScheduledExecutorService timer;
    private volatile boolean closed;
    private boolean reachable = true;
    private Duration retry = FIRST_RETRY;

    /** Hears the records of a topic. */
    public interface Listener {
        /** Records came; {@code whole} tells that they are the newest record of every key. */
        void records(StoreClient.Page page, boolean whole);

        /** The store stopped to answer, or answers again. */
        void reachable(String topic, boolean isReachable, String why);

        /** Records came that couldn't be handled; they are passed over. */
        void failed(String topic, Throwable cause);
    }

    private TopicFollower(
            StoreClient store,
            String topic,
            Duration wait,
            Supplier<Duration> pause,
            Listener listener,
            ScheduledExecutorService timer) {
        this.store = store;
        this.topic = topic;
        this.wait = wait;
        this.pause = pause;
        this.listener = listener;
        this.timer = timer;
    }

    /**
     * Starts to follow a topic.
     *
     * @param wait longest time that the store waits for a record before it answers
     * @param pause returns the pause before the next reading, for topics whose records come often; called by any thread
     */
    public static TopicFollower start(
            StoreClient store,
            String topic,
            Duration wait,
            Supplier<Duration> pause,
            Listener listener,
            ScheduledExecutorService timer) {
        TopicFollower follower = new TopicFollower(store, topic, wait, pause, listener, timer);
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
        CompletableFuture<StoreClient.Page> _read = store.newest(topic).whenComplete((page, failure) -> {
            if (failure != null) {
                retry(failure, this::readNewest);
                return;
            }
            answered();
            deliver(page, true);
            later(() -> readFrom(page.end()), pause.get());
        });
    }

    private void readFrom(long offset) {
        if (closed) {
            return;
        }
        CompletableFuture<Optional<StoreClient.Page>> _read = store.read(topic, offset, wait)
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        retry(failure, () -> readFrom(offset));
                        return;
                    }
                    answered();
                    if (page.isEmpty()) {
                        readNewest();
                        return;
                    }
                    if (!page.get().records().isEmpty()) {
                        deliver(page.get(), false);
                    }
                    later(() -> readFrom(page.get().next()), pause.get());
                });
    }

    /** Hands records on; following goes on after records that can't be handled, or later changes would never be read. */
    private void deliver(StoreClient.Page page, boolean whole) {
        if (closed) {
            return;
        }
        try {
            listener.records(page, whole);
        } catch (RuntimeException e) {
            listener.failed(topic, e);
        }
    }

    private void answered() {
        retry = FIRST_RETRY;
        if (!reachable) {
            reachable = true;
            listener.reachable(topic, true, "");
        }
    }

    private void retry(Throwable failure, Runnable again) {
        if (reachable) {
            reachable = false;
            listener.reachable(topic, false, String.valueOf(failure.getMessage()));
        }
        Duration after = retry;
        retry = retry.multipliedBy(2).compareTo(MAX_RETRY) > 0 ? MAX_RETRY : retry.multipliedBy(2);
        later(again, after);
    }

    private void later(Runnable action, Duration after) {
        if (closed) {
            return;
        }
        if (after.isZero()) {
            action.run();
            return;
        }
        ScheduledFuture<?> _scheduled = timer.schedule(action, after.toNanos(), TimeUnit.NANOSECONDS);
    }
}
