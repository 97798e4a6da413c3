package org.mustardlink.host;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongUnaryOperator;

/** The thread that runs every decision of a host; it sleeps until an event arrives or a timer is due. */
final class HostLoop implements AutoCloseable {
    /** Events handled before the timers run; keeps timers alive under a flood of events. */
    private static final int MAX_BATCH_EVENTS = 256;

    private final BlockingQueue<LongConsumer> events = new LinkedBlockingQueue<>();
    private final LongConsumer afterBatch;
    private final LongUnaryOperator nextDueNanos;
    private final Consumer<Throwable> onFailure;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Creates a loop.
     *
     * @param afterBatch runs the timers, with the time in nanoseconds
     * @param nextDueNanos returns when the timers have to run next
     * @param onFailure hears of events that failed
     */
    HostLoop(LongConsumer afterBatch, LongUnaryOperator nextDueNanos, Consumer<Throwable> onFailure) {
        this.afterBatch = afterBatch;
        this.nextDueNanos = nextDueNanos;
        this.onFailure = onFailure;
        this.thread = new Thread(this::run, "host-loop");
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Adds an event; it gets the time at which it is handled, in nanoseconds of the steady clock. */
    void post(LongConsumer event) {
        events.add(event);
    }

    private void run() {
        while (!closed) {
            try {
                long now = System.nanoTime();
                LongConsumer event =
                        events.poll(Math.max(0, nextDueNanos.applyAsLong(now) - now), TimeUnit.NANOSECONDS);
                for (int handledCount = 0; event != null && handledCount < MAX_BATCH_EVENTS; handledCount++) {
                    handle(event);
                    event = events.poll();
                }
                if (event != null) {
                    handle(event);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException | Error e) {
                onFailure.accept(e);
            }
            handle(afterBatch);
        }
    }

    /**
     * Handles one event. The loop outlives an event that fails, errors of the virtual machine included: without it the
     * process would go on and answer nobody. What the event left half done ends by its deadline.
     */
    private void handle(LongConsumer event) {
        try {
            event.accept(System.nanoTime());
        } catch (RuntimeException | Error e) {
            onFailure.accept(e);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
