package org.mustardlink.pool;

import java.util.Optional;

/** Row of a run that may be present on a target. */
final class Run {
    /** What is known about a run. */
    enum State {
        /** The start is ordered and not answered. */
        STARTING,
        /** The start has no answer: the run may be there, may come, or may never be. */
        UNKNOWN,
        /** The target has confirmed it. */
        RUNNING,
        /** Its stop is ordered. */
        STOPPING
    }

    private final RunId id;
    private final long orderedNanos;
    private final long deadlineMs;
    private final Optional<PoolTask> task;
    private final Capacity need;
    private final long expectedNanos;
    private State state;
    private long stateSince;
    private long confirmedClockMs;
    private boolean stopConfirmed;
    private boolean overdue;

    private Run(
            RunId id,
            Optional<PoolTask> task,
            Capacity need,
            State state,
            long now,
            long deadlineMs,
            long expectedNanos) {
        this.id = id;
        this.task = task;
        this.need = need;
        this.state = state;
        this.orderedNanos = now;
        this.stateSince = now;
        this.deadlineMs = deadlineMs;
        this.expectedNanos = expectedNanos;
    }

    /** Creates the row of a start that is being ordered. */
    static Run ordered(RunId id, PoolTask task, long now, long deadlineMs, long expectedNanos) {
        return new Run(id, Optional.of(task), task.spec().need(), State.STARTING, now, deadlineMs, expectedNanos);
    }

    /** Creates the row of a run that an earlier master started; it takes the whole target until it is adopted. */
    static Run inherited(RunId id, Capacity whole, long now, long clockMs) {
        Run run = new Run(id, Optional.empty(), whole, State.RUNNING, now, Long.MAX_VALUE, Long.MAX_VALUE);
        run.confirmedClockMs = clockMs;
        return run;
    }

    /** Returns the row of this inherited run as one of a known task. */
    Run adoptedBy(PoolTask adopter, long now, long adoptedExpectedNanos) {
        Run run = new Run(
                id, Optional.of(adopter), adopter.spec().need(), State.RUNNING, now, deadlineMs, adoptedExpectedNanos);
        run.confirmedClockMs = confirmedClockMs;
        return run;
    }

    RunId id() {
        return id;
    }

    Optional<PoolTask> task() {
        return task;
    }

    Capacity need() {
        return need;
    }

    State state() {
        return state;
    }

    void become(State next, long now) {
        state = next;
        stateSince = now;
    }

    long stateSince() {
        return stateSince;
    }

    long orderedNanos() {
        return orderedNanos;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    long expectedNanos() {
        return expectedNanos;
    }

    /** Returns the target's clock when it confirmed the run; a later report that doesn't list the run means it ended. */
    long confirmedClockMs() {
        return confirmedClockMs;
    }

    void confirm(long clockMs, long now) {
        confirmedClockMs = clockMs;
        if (state == State.STARTING || state == State.UNKNOWN) {
            become(State.RUNNING, now);
        }
    }

    boolean stopConfirmed() {
        return stopConfirmed;
    }

    /** Notes that the target has taken the stop: the run ends, and never begins if it isn't there yet. */
    void confirmStop(long clockMs) {
        stopConfirmed = true;
        confirmedClockMs = Math.max(confirmedClockMs, clockMs);
    }

    boolean overdue() {
        return overdue;
    }

    void markOverdue() {
        overdue = true;
    }
}
