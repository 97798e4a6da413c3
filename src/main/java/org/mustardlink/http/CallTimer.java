package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs the time-outs of calls on one thread. Thread-safe.
 *
 * <p>Nearly every call ends before its time-out, so adding and removing one is a single operation on a hash set. The
 * thread looks at the calls in flight when the earliest of their time-outs is due, and at least twice a second while
 * there are any. A new call wakes the thread only if its time-out is due before that look.
 */
final class CallTimer implements AutoCloseable {
    private static final long LOOK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    /** Time until the next look if no call is in flight; every new call is due earlier, so it wakes the thread. */
    private static final long IDLE_NANOS = Duration.ofDays(1).toNanos();

    private final Set<Timeout> inFlight = ConcurrentHashMap.newKeySet();
    private final Thread thread;
    /** Time of the next look at the latest. Set before the calls are read, so that none is missed. */
    private volatile long nextLookNanos;

    private volatile boolean closed;

    private CallTimer(String threadName) {
        nextLookNanos = System.nanoTime() + IDLE_NANOS;
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    /** The time-out of one call. */
    abstract static class Timeout {
        private final long dueNanos;

        /**
         * Creates a time-out.
         *
         * @param dueNanos time of {@link System#nanoTime()} at which it is due
         */
        Timeout(long dueNanos) {
            this.dueNanos = dueNanos;
        }

        /** Returns the time at which it is due. */
        final long dueNanos() {
            return dueNanos;
        }

        /** Runs on the timer's thread when the time-out is due. Must not block. */
        abstract void expire();
    }

    /** Starts a timer. */
    static CallTimer start(String threadName) {
        CallTimer timer = new CallTimer(threadName);
        timer.thread.start();
        return timer;
    }

    /** Adds a time-out, which expires once unless it is removed before. */
    void add(Timeout timeout) {
        checkNotNull(timeout, "timeout");
        inFlight.add(timeout);
        if (timeout.dueNanos() - nextLookNanos < 0) {
            LockSupport.unpark(thread);
        }
    }

    /** Removes a time-out. It may still expire if that is about to happen. */
    void remove(Timeout timeout) {
        inFlight.remove(timeout);
    }

    /** Ends the thread. Calls in flight no longer time out. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!closed) {
            LockSupport.parkNanos(this, expireDue() - System.nanoTime());
        }
    }

    /** Expires what is due, and returns the time of the next look. */
    private long expireDue() {
        long nowNanos = System.nanoTime();
        long nextNanos = nowNanos + (inFlight.isEmpty() ? IDLE_NANOS : LOOK_INTERVAL_NANOS);
        nextLookNanos = nextNanos;
        for (Timeout timeout : inFlight) {
            if (timeout.dueNanos() - nowNanos <= 0) {
                expire(timeout);
            } else if (timeout.dueNanos() - nextNanos < 0) {
                nextNanos = timeout.dueNanos();
            }
        }
        nextLookNanos = nextNanos;
        return nextNanos;
    }

    private void expire(Timeout timeout) {
        inFlight.remove(timeout);
        try {
            timeout.expire();
        } catch (RuntimeException | Error e) {
            // The other calls must still time out.
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }
}
