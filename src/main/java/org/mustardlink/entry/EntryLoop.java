package org.mustardlink.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.core.Command;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;

/**
 * The thread that runs the core.
 *
 * <p>Demand-driven: it sleeps until an event arrives or a timer of the core is due, then handles everything that has
 * arrived in one tick.
 */
final class EntryLoop implements AutoCloseable {
    private static final long IDLE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final DispatchCore core;
    private final int maxBatch;
    private final Consumer<Command> executor;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile int openJobs;

    EntryLoop(String name, DispatchCore core, int maxBatch, Consumer<Command> executor) {
        this.core = core;
        this.maxBatch = maxBatch;
        this.executor = executor;
        this.thread = new Thread(this::run, "core-" + name);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    void post(Event event) {
        events.add(event);
    }

    int openJobs() {
        return openJobs;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        List<Event> batch = new ArrayList<>(maxBatch);
        while (!closed) {
            try {
                await(batch);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            core.tick(batch, System.nanoTime()).forEach(executor);
            openJobs = core.openJobs();
            batch.clear();
        }
    }

    private void await(List<Event> batch) throws InterruptedException {
        long now = System.nanoTime();
        OptionalLong due = core.nextDue(now);
        long wait = due.isPresent() ? Math.min(due.getAsLong() - now, IDLE_WAIT_NANOS) : IDLE_WAIT_NANOS;
        Event first = events.poll(Math.max(0, wait), TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            events.drainTo(batch, maxBatch - 1);
        }
    }
}
