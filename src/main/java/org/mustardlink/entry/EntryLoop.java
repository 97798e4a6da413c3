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
 * <p>The thread sleeps until an event arrives or a timer of the core is due, and then handles the queued events in one
 * tick. After a pause of the process no task is started until the {@link PauseRecovery} has rechecked the state that
 * may have changed; a start that was decided before a pause is not sent after the pause.
 */
final class EntryLoop implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(EntryLoop.class);
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);
    private static final long DEADLINE_ADJUSTMENT_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final DispatchCore core;
    private final int maxEventsPerTick;
    private final Consumer<Command> commandHandler;
    private final PauseRecovery pauseRecovery;
    private final BlockingQueue<QueuedEvent> events = new LinkedBlockingQueue<>();
    private final EntryObserver observer;
    private final Thread thread;
    private volatile long stallUntilNanos = System.nanoTime();
    private volatile boolean closed;
    private volatile int openJobs;

    EntryLoop(
            String name,
            DispatchCore core,
            int maxEventsPerTick,
            Consumer<Command> commandHandler,
            EntryObserver observer) {
        this.observer = observer;
        this.core = core;
        this.pauseRecovery = new PauseRecovery(() -> post(new Event.StartsResumed()));
        this.maxEventsPerTick = maxEventsPerTick;
        this.commandHandler = commandHandler;
        this.thread = new Thread(this::run, "core-" + name);
        thread.setDaemon(true);
    }

    /** An event and the monotonic time at which it was posted. */
    private record QueuedEvent(Event event, long postedNanos) {
        /**
         * Returns the event. If a submission waited longer than the threshold, for example during a pause, the wait is
         * subtracted from its deadline.
         */
        private Event withTimeLeft(long nowNanos) {
            long waitedNanos = nowNanos - postedNanos;
            if (waitedNanos < DEADLINE_ADJUSTMENT_THRESHOLD_NANOS || !(event instanceof Event.JobSubmitted submitted)) {
                return event;
            }
            Duration remaining = submitted.request().deadline().minusNanos(waitedNanos);
            Duration positiveRemaining = remaining.compareTo(Duration.ofNanos(1)) < 0 ? Duration.ofNanos(1) : remaining;
            return new Event.JobSubmitted(
                    submitted.requester(), submitted.id(), submitted.request().withDeadline(positiveRemaining));
        }
    }

    void start() {
        thread.start();
    }

    void post(Event event) {
        observer.observeEvent(event);
        events.add(new QueuedEvent(event, System.nanoTime()));
    }

    PauseRecovery pauseRecovery() {
        return pauseRecovery;
    }

    /** Stops the loop for the given time, to simulate a pause of the whole process. */
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
        List<Event> batch = new ArrayList<>(maxEventsPerTick);
        PauseDetector detector = new PauseDetector(PAUSE_THRESHOLD, System.nanoTime(), System.currentTimeMillis());
        while (!closed) {
            try {
                long waitNanos = awaitEvents(batch);
                if (detector.detectPause(System.nanoTime(), System.currentTimeMillis(), waitNanos)) {
                    batch.add(0, new Event.StartsHeld());
                    pauseRecovery.recheckAfterPause();
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
            // The loop must survive a failed tick: the jobs that the tick touched end at their deadline as
            // MAY_HAVE_RUN.
            log.error("a tick of the dispatch core failed", e);
        }
        openJobs = core.openJobs();
    }

    private void execute(Command command, long decidedNanos) {
        if (command instanceof Command.StartTask start
                && System.nanoTime() - decidedNanos > PAUSE_THRESHOLD.toNanos()) {
            AttemptResult notSent =
                    new AttemptResult.NotStarted(AttemptResult.NotStartedCause.HOST_PAUSED, Optional.empty());
            post(new Event.AttemptEnded(start.task(), start.attempt(), notSent));
            return;
        }
        commandHandler.accept(command);
    }

    private void stallIfRequested() throws InterruptedException {
        long remainingNanos = stallUntilNanos - System.nanoTime();
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
    }

    private long awaitEvents(List<Event> batch) throws InterruptedException {
        long now = System.nanoTime();
        OptionalLong dueNanos = core.nextDue(now);
        long waitNanos = dueNanos.isPresent() ? Math.min(dueNanos.getAsLong() - now, MAX_WAIT_NANOS) : MAX_WAIT_NANOS;
        QueuedEvent first = events.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
        stallIfRequested();
        for (QueuedEvent next = first; next != null; next = batch.size() < maxEventsPerTick ? events.poll() : null) {
            batch.add(next.withTimeLeft(System.nanoTime()));
        }
        if (first != null) {
            observer.recordLoopLag(System.nanoTime() - first.postedNanos());
        }
        return Math.max(0, waitNanos);
    }
}
