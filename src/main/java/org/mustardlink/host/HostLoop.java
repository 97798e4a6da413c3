package org.mustardlink.host;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongUnaryOperator;

/**
 * The event loop of a host: one thread that makes every decision, and sleeps until an event arrives or a timer is due.
 */
final class HostLoop implements AutoCloseable {
    /**
     * Maximum number of events handled before the timers run, so that a flood of events does not hold the timers up.
     */
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
     * @param afterBatch runs the timers; receives the time in nanoseconds
     * @param nextDueNanos returns the time in nanoseconds at which the timers must run next
     * @param onFailure receives the exceptions of events that failed
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

    /** Adds an event to the queue; the event receives the time at which it is handled, from {@link System#nanoTime}. */
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
     * Handles one event. The loop survives an event that fails, even with an error of the virtual machine: without
     * the loop the process would keep running and respond to no request. Work that the event left unfinished ends at
     * its deadline.
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
