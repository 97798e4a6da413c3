package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkState;

/** State of one task of a job. */
final class TaskRow {
    private final JobRow job;
    private final TaskId id;
    private final TaskSpec spec;
    private TaskState state = TaskState.QUEUED;
    private double expectedWorkMs;
    private int attempts;
    private String result = "";

    TaskRow(JobRow job, TaskId id, TaskSpec spec) {
        this.job = job;
        this.id = id;
        this.spec = spec;
        this.expectedWorkMs = spec.declaredMs();
    }

    JobRow job() {
        return job;
    }

    TaskId id() {
        return id;
    }

    TaskSpec spec() {
        return spec;
    }

    TaskState state() {
        return state;
    }

    /** Returns the expected run time on a target of speed 1, in milliseconds. */
    double expectedWorkMs() {
        return expectedWorkMs;
    }

    void setExpectedWorkMs(double workMs) {
        expectedWorkMs = workMs;
    }

    int attempts() {
        return attempts;
    }

    String result() {
        return result;
    }

    int startAttempt() {
        transitionTo(TaskState.RUNNING);
        return ++attempts;
    }

    void complete(String body) {
        transitionTo(TaskState.DONE);
        result = body;
    }

    void transitionTo(TaskState next) {
        checkState(state.canTransitionTo(next), "task %s cannot transition from %s to %s", id, state, next);
        state = next;
    }
}
