package org.mustardlink.pool;

import java.util.HashSet;
import java.util.Set;

/** Row of a task of an open job. */
final class PoolTask {
    /** Where a task stands. */
    enum State {
        WAITING,
        ACTIVE,
        DONE
    }

    private final PoolJob job;
    private final TaskName name;
    private final StepSpec spec;
    private final Set<String> avoidedTargets = new HashSet<>();
    private State state = State.WAITING;
    private int nextAttempt = 1;
    private int failures;

    PoolTask(PoolJob job, TaskName name, StepSpec spec) {
        this.job = job;
        this.name = name;
        this.spec = spec;
    }

    PoolJob job() {
        return job;
    }

    TaskName name() {
        return name;
    }

    StepSpec spec() {
        return spec;
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    /** Returns the id of the next run; run numbers rise. */
    RunId nextRunId() {
        return new RunId(name, nextAttempt++);
    }

    /** Makes the next run number higher than one that was seen. */
    void skipAttempt(int usedAttempt) {
        nextAttempt = Math.max(nextAttempt, usedAttempt + 1);
    }

    int countFailure() {
        return ++failures;
    }

    /** Keeps further runs away from a target on which a run of the task went wrong, as long as others are free. */
    void avoid(String target) {
        avoidedTargets.add(target);
    }

    boolean avoids(String target) {
        return avoidedTargets.contains(target);
    }
}
