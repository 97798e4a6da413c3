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
    private final long orderedNanos;
    private final long fence;
    private final Optional<PoolTask> task;
    private final Capacity need;
    private final long expectedNanos;
    private State state;
    private long stateSince;
    private long confirmedClockMs;
    private boolean seen;
    private boolean stopConfirmed;
    private long baseNanos;
    private int basePercent;
    private int percent;
    private long progressNanos;
    private long reportedNanos;
    private int looks;

    private Run(
            RunId id, Optional<PoolTask> task, Capacity need, State state, long now, long fence, long expectedNanos) {
        this.id = id;
        this.task = task;
        this.need = need;
        this.state = state;
        this.orderedNanos = now;
        this.stateSince = now;
        this.fence = fence;
        this.expectedNanos = expectedNanos;
        this.baseNanos = now;
        this.progressNanos = now;
        this.reportedNanos = now;
    }

    /** Creates the row of a start that is being ordered under a fencing token. */
    static Run ordered(RunId id, PoolTask task, long now, FencingToken token, long expectedNanos) {
        return new Run(id, Optional.of(task), task.spec().need(), State.STARTING, now, token.value(), expectedNanos);
    }

    /** Creates the row of a run that an earlier master started; it takes the whole target until it is adopted. */
    static Run inherited(RunId id, Capacity whole, long now, long clockMs) {
        Run run = new Run(id, Optional.empty(), whole, State.RUNNING, now, 0, Long.MAX_VALUE);
        run.confirmedClockMs = clockMs;
        run.seen = true;
        return run;
    }

    /** Returns the row of this inherited run as one of a known task. */
    Run adoptedBy(PoolTask adopter, long now, long adoptedExpectedNanos) {
        Run run = new Run(
                id, Optional.of(adopter), adopter.spec().need(), State.RUNNING, now, fence, adoptedExpectedNanos);
        run.confirmedClockMs = confirmedClockMs;
        run.seen = true;
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

    /** Returns whether the target has carried the start out; until then the order may still be on its way. */
    boolean seen() {
        return seen;
    }

    /** Returns whether the start was ordered under a lower token than a given one. */
    boolean orderedBefore(FencingToken token) {
        return fence < token.value();
    }

    /** Notes that the token was raised while the run may still come or be there; only a report under it tells more. */
    void doubt(long now) {
        if (state != State.STOPPING) {
            become(State.UNKNOWN, now);
        }
        seen = false;
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

    void confirm(long clockMs, long now) {
        seen = true;
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

    /** Takes the share of the work that a report says is done. */
    void progressed(int reportedPercent, long now) {
        reportedNanos = now;
        if (reportedPercent != percent) {
            percent = reportedPercent;
            progressNanos = now;
        }
    }

    /** Returns the share of the work that was done at the last report. */
    int percent() {
        return percent;
    }

    /** Returns how long the run had made no progress at the last report. */
    long stillNanos() {
        return reportedNanos - progressNanos;
    }

    /** Returns when a report told its progress last. */
    long reportedNanos() {
        return reportedNanos;
    }

    /**
     * Returns the shortest time for the whole work that agrees with the reported progress, whose percents are whole; empty
     * while too little is done to tell.
     */
    OptionalLong projectedNanos() {
        int done = percent - basePercent;
        if (done < MIN_PROJECTION_PERCENT) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((progressNanos - baseNanos) * 100 / (done + 1));
    }

    /** Returns when the run ends by that projection, at the earliest. */
    OptionalLong projectedEndNanos() {
        OptionalLong whole = projectedNanos();
        return whole.isEmpty() ? whole : OptionalLong.of(progressNanos + whole.getAsLong() * (99 - percent) / 100);
    }

    /** Returns how often its progress was asked for. */
    int looks() {
        return looks;
    }

    void countLook() {
        looks++;
    }
}
