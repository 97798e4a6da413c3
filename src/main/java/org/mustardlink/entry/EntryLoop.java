package org.mustardlink.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.mustardlink.core.Command;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;
import org.mustardlink.observe.EntryObserver;

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
    private final EntryObserver observer;
    /** When the oldest event since the last tick was posted, in nanoseconds; 0 if there is none. */
    private final AtomicLong oldestPosted = new AtomicLong();

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile int openJobs;

    EntryLoop(String name, DispatchCore core, int maxBatch, Consumer<Command> executor, EntryObserver observer) {
        this.observer = observer;
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
        observer.posted(event);
        oldestPosted.compareAndSet(0, System.nanoTime());
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
            long posted = oldestPosted.getAndSet(0);
            if (posted != 0) {
                observer.ticked(System.nanoTime() - posted);
            }
        }
    }
}
