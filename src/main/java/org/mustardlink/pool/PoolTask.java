package org.mustardlink.pool;

import java.util.HashSet;
import java.util.Set;

/** State of a task of an open job. */
final class PoolTask {
    /** Stage of a task. */
    enum State {
        WAITING,
        /** A run of the task was started or adopted. */
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

    /** Returns the id of the next run, with an attempt number higher than that of all earlier ones. */
    RunId nextRunId() {
        return new RunId(name, nextAttempt++);
    }

    /** Makes the next attempt number higher than one that is already in use. */
    void skipAttempt(int usedAttempt) {
        nextAttempt = Math.max(nextAttempt, usedAttempt + 1);
    }

    /** Counts a failed run; returns how many runs have failed. */
    int countFailure() {
        return ++failures;
    }

    /** Keeps further runs off a target on which a run of the task failed, as long as another target is free. */
    void avoid(String target) {
        avoidedTargets.add(target);
    }

    boolean avoids(String target) {
        return avoidedTargets.contains(target);
    }
}
