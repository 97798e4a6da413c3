package org.mustardlink.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.core.AttemptResult;
import org.mustardlink.core.Command;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;
import org.mustardlink.observe.EntryObserver;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The thread that runs the core.
 *
 * <p>Demand-driven: it sleeps until an event arrives or a timer of the core is due, then handles everything that has
 * arrived in one tick. After a pause of the process nothing is started until everything that may have changed was checked
 * again; a start that was decided before a pause is not sent after it.
 */
final class EntryLoop implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(EntryLoop.class);
    private static final long IDLE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration MAX_GAP = Duration.ofSeconds(1);
    private static final long LONG_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final DispatchCore core;
    private final int maxBatch;
    private final Consumer<Command> executor;
    private final PauseGuard pauses;
    private final BlockingQueue<Posted> events = new LinkedBlockingQueue<>();
    private final EntryObserver observer;
    private final Thread thread;
    private volatile long stallUntilNanos = System.nanoTime();
    private volatile boolean closed;
    private volatile int openJobs;

    EntryLoop(String name, DispatchCore core, int maxBatch, Consumer<Command> executor, EntryObserver observer) {
        this.observer = observer;
        this.core = core;
        this.pauses = new PauseGuard(() -> post(new Event.StartsResumed()));
        this.maxBatch = maxBatch;
        this.executor = executor;
        this.thread = new Thread(this::run, "core-" + name);
        thread.setDaemon(true);
    }

    /** An event and when it was posted. */
    private record Posted(Event event, long nanos) {
        /** Returns the event; a submission that waited long, as it does in a pause, has that much less time left. */
        private Event atDelivery(long nowNanos) {
            long waited = nowNanos - nanos;
            if (waited < LONG_WAIT_NANOS || !(event instanceof Event.JobSubmitted submitted)) {
                return event;
            }
            Duration left = submitted.request().deadline().minusNanos(waited);
            Duration positive = left.compareTo(Duration.ofNanos(1)) < 0 ? Duration.ofNanos(1) : left;
            return new Event.JobSubmitted(
                    submitted.requester(), submitted.id(), submitted.request().withDeadline(positive));
        }
    }

    void start() {
        thread.start();
    }

    void post(Event event) {
        observer.observeEvent(event);
        events.add(new Posted(event, System.nanoTime()));
    }

    PauseGuard pauses() {
        return pauses;
    }

    /** Stops the loop for a time, as a pause of the whole process would. */
    void stall(Duration time) {
        stallUntilNanos = System.nanoTime() + time.toNanos();
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
        PauseDetector detector = new PauseDetector(MAX_GAP, System.nanoTime(), System.currentTimeMillis());
        while (!closed) {
            try {
                long waited = await(batch);
                if (detector.observe(System.nanoTime(), System.currentTimeMillis(), waited)) {
                    batch.add(0, new Event.StartsHeld());
                    pauses.paused();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            tick(batch);
            batch.clear();
        }
    }

    private void tick(List<Event> batch) {
        long now = System.nanoTime();
        try {
            core.tick(batch, now).forEach(command -> execute(command, now));
        } catch (RuntimeException e) {
            // The loop must outlive a fault in one tick: jobs that it touched end at their deadline as may-have-run.
            log.error("a tick failed", e);
        }
        openJobs = core.openJobs();
    }

    private void execute(Command command, long decidedNanos) {
        if (command instanceof Command.StartTask start && System.nanoTime() - decidedNanos > MAX_GAP.toNanos()) {
            AttemptResult notSent =
                    new AttemptResult.NotStarted(AttemptResult.NotStartedCause.HOST_PAUSED, Optional.empty());
            post(new Event.AttemptEnded(start.task(), start.attempt(), notSent));
            return;
        }
        executor.accept(command);
    }

    private void stallIfAsked() throws InterruptedException {
        long left = stallUntilNanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    private long await(List<Event> batch) throws InterruptedException {
        long now = System.nanoTime();
        OptionalLong due = core.nextDue(now);
        long wait = due.isPresent() ? Math.min(due.getAsLong() - now, IDLE_WAIT_NANOS) : IDLE_WAIT_NANOS;
        Posted first = events.poll(Math.max(0, wait), TimeUnit.NANOSECONDS);
        stallIfAsked();
        for (Posted next = first; next != null; next = batch.size() < maxBatch ? events.poll() : null) {
            batch.add(next.atDelivery(System.nanoTime()));
        }
        if (first != null) {
            observer.recordLoopLag(System.nanoTime() - first.nanos());
        }
        return Math.max(0, wait);
    }
}
