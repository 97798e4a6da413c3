package org.mustardlink.pool;

import java.util.Optional;
import java.util.OptionalLong;

/** State of a run, one execution of a task, that may be present on a target. */
final class Run {
    /** What the master knows about a run. */
    enum State {
        /** The start was ordered and no response has arrived yet. */
        STARTING,
        /**
         * No response to the start order arrived in time: the run may be present, may still start, or may never start.
         */
        UNKNOWN,
        /** The target has confirmed the run. */
        RUNNING,
        /** The stop was ordered. */
        STOPPING
    }

    /**
     * Minimum progress, in percent, from which the running time is projected. Since targets report whole percents, the
     * projection is then exact to a quarter.
     */
    private static final int MIN_PROJECTION_PERCENT = 4;

    private final RunId id;
    private final long startOrderedNanos;
    private final long fencingToken;
    private final Optional<PoolTask> task;
    private final Capacity need;
    private final long expectedNanos;
    private long orderClockMs;
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

    /** Creates a run whose start is being ordered, under the target's token and at the last known reading of its clock. */
    static Run ordered(RunId id, PoolTask task, long now, PoolTarget target, long expectedNanos) {
        Run run = new Run(
                id,
                Optional.of(task),
                task.spec().need(),
                State.STARTING,
                now,
                target.token().value(),
                expectedNanos);
        run.orderClockMs = target.clockMs();
        return run;
    }

    /** Creates a run that an earlier master started. Until it is adopted, it counts as using the whole target. */
    static Run inherited(RunId id, Capacity targetCapacity, long now, long clockMs) {
        Run run = new Run(id, Optional.empty(), targetCapacity, State.RUNNING, now, 0, Long.MAX_VALUE);
        run.confirmedClockMs = clockMs;
        run.startConfirmed = true;
        return run;
    }

    /** Returns this inherited run as a run of a known task. */
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

    /** Returns whether the target has confirmed the start; until then, the start order may still be in transit. */
    boolean startConfirmed() {
        return startConfirmed;
    }

    /** Returns the last known reading of the target's clock when the start was ordered. */
    long orderClockMs() {
        return orderClockMs;
    }

    /** Returns the value of the token under which the start was ordered; 0 if an earlier master ordered it. */
    long fencingToken() {
        return fencingToken;
    }

    /** Returns whether the start was ordered under a lower token than the given one. */
    boolean orderedBefore(FencingToken token) {
        return fencingToken < token.value();
    }

    /**
     * Records that the token was raised while the run may be present or may still start. Only a report under the new
     * token shows which.
     */
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

    /**
     * Returns the reading of the target's clock when it last confirmed the run. If a report with a later reading
     * doesn't list the run, the run has ended.
     */
    long confirmedClockMs() {
        return confirmedClockMs;
    }

    void confirmRunning(long clockMs, long now) {
        if (!startConfirmed && percent == 0) {
            // The order may have been delayed. Until it arrives, the run can't make progress.
            lastProgressNanos = now;
        }
        startConfirmed = true;
        confirmedClockMs = clockMs;
        if (state == State.STARTING || state == State.UNKNOWN) {
            setState(State.RUNNING, now);
        }
    }

    boolean stopConfirmed() {
        return stopConfirmed;
    }

    /** Records that the target has accepted the stop order: the run ends, or never starts if it isn't present yet. */
    void confirmStop(long clockMs) {
        stopConfirmed = true;
        confirmedClockMs = Math.max(confirmedClockMs, clockMs);
    }

    /** Records the progress that a report states. */
    void recordProgress(int reportedPercent, long now) {
        lastReportNanos = now;
        if (reportedPercent != percent) {
            percent = reportedPercent;
            lastProgressNanos = now;
        }
    }

    /** Returns the progress at the last report, in percent. */
    int percent() {
        return percent;
    }

    /** Returns how long the run had been without progress at the time of the last report. */
    long stalledNanos() {
        return lastReportNanos - lastProgressNanos;
    }

    /** Returns when the progress was last reported. */
    long lastReportNanos() {
        return lastReportNanos;
    }

    /**
     * Returns the shortest running time of the whole task that is consistent with the reported progress, which is
     * stated in whole percents; empty while the progress is too small for a projection.
     */
    OptionalLong projectedRunNanos() {
        int progressPercent = percent - basePercent;
        if (progressPercent < MIN_PROJECTION_PERCENT) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((lastProgressNanos - baseNanos) * 100 / (progressPercent + 1));
    }

    /** Returns the earliest end of the run by the projection of {@link #projectedRunNanos}. */
    OptionalLong projectedEndNanos() {
        OptionalLong runNanos = projectedRunNanos();
        return runNanos.isEmpty()
                ? runNanos
                : OptionalLong.of(lastProgressNanos + runNanos.getAsLong() * (99 - percent) / 100);
    }

    /** Returns the end of the run by its progress, or by its expected time before it has any; may have passed. */
    long expectedEndNanos() {
        return expectedNanos == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : projectedEndNanos().orElse(startOrderedNanos + expectedNanos);
    }

    /** Returns how many progress checks of the run have been due. */
    int progressChecks() {
        return progressChecks;
    }

    void countProgressCheck() {
        progressChecks++;
    }
}
