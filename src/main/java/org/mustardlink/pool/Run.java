package org.mustardlink.pool;

import java.util.Optional;
import java.util.OptionalLong;

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

    /** Progress from which the running time is projected; whole percents make it exact to a quarter there. */
    private static final int MIN_PROJECTION_PERCENT = 4;

    private final RunId id;
    private final long startOrderedNanos;
    private final long fencingToken;
    private final Optional<PoolTask> task;
    private final Capacity need;
    private final long expectedNanos;
    private State state;
    private long stateSinceNanos;
    private long confirmedClockMs;
    private boolean startConfirmed;
    private boolean stopConfirmed;
    private long baseNanos;
    private int basePercent;
    private int percent;
    private long lastProgressNanos;
    private long lastReportNanos;
    private int progressChecks;

    private Run(
            RunId id,
            Optional<PoolTask> task,
            Capacity need,
            State state,
            long now,
            long fencingToken,
            long expectedNanos) {
        this.id = id;
        this.task = task;
        this.need = need;
        this.state = state;
        this.startOrderedNanos = now;
        this.stateSinceNanos = now;
        this.fencingToken = fencingToken;
        this.expectedNanos = expectedNanos;
        this.baseNanos = now;
        this.lastProgressNanos = now;
        this.lastReportNanos = now;
    }

    /** Creates the row of a start that is being ordered under a fencing token. */
    static Run ordered(RunId id, PoolTask task, long now, FencingToken token, long expectedNanos) {
        return new Run(id, Optional.of(task), task.spec().need(), State.STARTING, now, token.value(), expectedNanos);
    }

    /** Creates the row of a run that an earlier master started; it takes the whole target until it is adopted. */
    static Run inherited(RunId id, Capacity targetCapacity, long now, long clockMs) {
        Run run = new Run(id, Optional.empty(), targetCapacity, State.RUNNING, now, 0, Long.MAX_VALUE);
        run.confirmedClockMs = clockMs;
        run.startConfirmed = true;
        return run;
    }

    /** Returns the row of this inherited run as one of a known task. */
    Run adoptedBy(PoolTask adopter, long now, long adoptedExpectedNanos) {
        Run run = new Run(
                id,
                Optional.of(adopter),
                adopter.spec().need(),
                State.RUNNING,
                now,
                fencingToken,
                adoptedExpectedNanos);
        run.confirmedClockMs = confirmedClockMs;
        run.startConfirmed = true;
        run.basePercent = percent;
        run.percent = percent;
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

    void setState(State next, long now) {
        state = next;
        stateSinceNanos = now;
    }

    long stateSinceNanos() {
        return stateSinceNanos;
    }

    long startOrderedNanos() {
        return startOrderedNanos;
    }

    /** Returns whether the target has carried the start out; until then the order may still be on its way. */
    boolean startConfirmed() {
        return startConfirmed;
    }

    /** Returns whether the start was ordered under a lower token than a given one. */
    boolean orderedBefore(FencingToken token) {
        return fencingToken < token.value();
    }

    /** Notes that the token was raised while the run may still come or be there; only a report under it tells more. */
    void markUncertain(long now) {
        if (state != State.STOPPING) {
            setState(State.UNKNOWN, now);
        }
        startConfirmed = false;
        stopConfirmed = false;
        confirmedClockMs = 0;
    }

    long expectedNanos() {
        return expectedNanos;
    }

    /** Returns the target's clock when it confirmed the run; a later report that doesn't list the run means it ended. */
    long confirmedClockMs() {
        return confirmedClockMs;
    }

    void confirmRunning(long clockMs, long now) {
        startConfirmed = true;
        confirmedClockMs = clockMs;
        if (state == State.STARTING || state == State.UNKNOWN) {
            setState(State.RUNNING, now);
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

    /** Takes the share of the work that a report says is done. */
    void recordProgress(int reportedPercent, long now) {
        lastReportNanos = now;
        if (reportedPercent != percent) {
            percent = reportedPercent;
            lastProgressNanos = now;
        }
    }

    /** Returns the share of the work that was done at the last report. */
    int percent() {
        return percent;
    }

    /** Returns how long the run had made no progress at the last report. */
    long stalledNanos() {
        return lastReportNanos - lastProgressNanos;
    }

    /** Returns when a report told its progress last. */
    long lastReportNanos() {
        return lastReportNanos;
    }

    /**
     * Returns the shortest time for the whole work that agrees with the reported progress, whose percents are whole; empty
     * while too little is done to tell.
     */
    OptionalLong projectedRunNanos() {
        int progressPercent = percent - basePercent;
        if (progressPercent < MIN_PROJECTION_PERCENT) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((lastProgressNanos - baseNanos) * 100 / (progressPercent + 1));
    }

    /** Returns when the run ends by that projection, at the earliest. */
    OptionalLong projectedEndNanos() {
        OptionalLong runNanos = projectedRunNanos();
        return runNanos.isEmpty()
                ? runNanos
                : OptionalLong.of(lastProgressNanos + runNanos.getAsLong() * (99 - percent) / 100);
    }

    /** Returns how often its progress was asked for. */
    int progressChecks() {
        return progressChecks;
    }

    void countProgressCheck() {
        progressChecks++;
    }
}
