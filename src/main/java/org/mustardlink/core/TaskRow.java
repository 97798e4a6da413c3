package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkState;

/** One task of an open job. */
final class TaskRow {
    private final JobRow job;
    private final TaskId id;
    private final TaskSpec spec;
    private TaskState state = TaskState.QUEUED;
    private double expectedWork;
    private int attempts;
    private String result = "";

    TaskRow(JobRow job, TaskId id, TaskSpec spec) {
        this.job = job;
        this.id = id;
        this.spec = spec;
        this.expectedWork = spec.declaredMs();
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
    double expectedWork() {
        return expectedWork;
    }

    void expect(double work) {
        expectedWork = work;
    }

    int attempts() {
        return attempts;
    }

    String result() {
        return result;
    }

    int start() {
        moveTo(TaskState.RUNNING);
        return ++attempts;
    }

    void complete(String body) {
        moveTo(TaskState.DONE);
        result = body;
    }

    void moveTo(TaskState next) {
        checkState(state.canBecome(next), "task %s cannot go from %s to %s", id, state, next);
        state = next;
    }
}
