package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** State of one submission. It is open until its verdict is settled, and then kept for resubmissions. */
final class JobRow {
    private final SubmissionId id;
    private final OptionalLong fingerprint;
    private final long deadlineNanos;
    private final Optional<JobRequest> request;
    private final ImmutableList<TaskRow> tasks;
    private final Set<Long> waiters = new LinkedHashSet<>();
    private Optional<Verdict> verdict = Optional.empty();
    private long settledNanos;
    private int unfinishedTasks;
    private double logError;
    private double longestWorkMs;
    private long expectedEndNanos;

    JobRow(SubmissionId id, JobRequest request, long now) {
        this.id = id;
        this.request = Optional.of(request);
        this.fingerprint = OptionalLong.of(request.fingerprint());
        this.deadlineNanos = now + request.deadline().toNanos();
        ImmutableList.Builder<TaskRow> rows = ImmutableList.builder();
        for (int i = 0; i < request.tasks().size(); i++) {
            rows.add(new TaskRow(this, new TaskId(id, i), request.tasks().get(i)));
        }
        this.tasks = rows.build();
        this.unfinishedTasks = tasks.size();
    }

    /** Creates a row for a sequence number that is settled without a job. */
    JobRow(SubmissionId id, long now) {
        this(id, OptionalLong.empty(), now);
    }

    /** Creates a row for a kept answer without its job. */
    JobRow(SubmissionId id, OptionalLong fingerprint, long now) {
        this.id = id;
        this.request = Optional.empty();
        this.fingerprint = fingerprint;
        this.deadlineNanos = now;
        this.tasks = ImmutableList.of();
    }

    /** Returns a row with the verdict only. Attempts still in flight refer to the original row until they end. */
    JobRow withoutRequest() {
        JobRow kept = new JobRow(id, fingerprint, settledNanos);
        kept.verdict = verdict;
        kept.settledNanos = settledNanos;
        return kept;
    }

    SubmissionId id() {
        return id;
    }

    Optional<JobRequest> request() {
        return request;
    }

    /** Returns the fingerprint of the request, which is equal for equal jobs with different ids; empty if unknown. */
    OptionalLong fingerprint() {
        return fingerprint;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    ImmutableList<TaskRow> tasks() {
        return tasks;
    }

    Set<Long> waiters() {
        return waiters;
    }

    Optional<Verdict> verdict() {
        return verdict;
    }

    long settledNanos() {
        return settledNanos;
    }

    boolean matches(JobRequest other) {
        return fingerprint.isEmpty() || fingerprint.getAsLong() == other.fingerprint();
    }

    boolean isOpen() {
        return verdict.isEmpty();
    }

    boolean mayHaveRun() {
        return tasks.stream().anyMatch(task -> task.state().mayHaveRun());
    }

    /**
     * Sets the expected end of the job, assuming that its longest task starts immediately on the fastest target.
     *
     * @param expectedLogError standard error of the logarithm of the tasks' expected work
     */
    void applyEstimate(double expectedLogError, double longestMs, double fastestSpeed, long now) {
        logError = expectedLogError;
        longestWorkMs = longestMs;
        expectedEndNanos = now + (long) (longestMs / fastestSpeed * 1e6);
    }

    /** Extends the expected end of the job to the expected end of one of its tasks, if that is later. */
    void extendExpectedEnd(long nanos) {
        expectedEndNanos = Math.max(expectedEndNanos, nanos);
    }

    double logError() {
        return logError;
    }

    /** Returns the time in milliseconds until the job's other tasks are expected to end; 0 for its longest task. */
    double slackMs(TaskRow task, long now) {
        if (tasks.size() == 1 || task.expectedWorkMs() >= longestWorkMs) {
            return 0;
        }
        return Math.max(0, (expectedEndNanos - now) / 1e6);
    }

    /** Counts a completed task and returns whether it was the last one of the job. */
    boolean countFinishedTask() {
        unfinishedTasks--;
        return unfinishedTasks == 0;
    }

    void settle(Verdict settled, long now) {
        verdict = Optional.of(settled);
        settledNanos = now;
    }

    long resultChars() {
        return verdict.map(v -> v.results().stream().mapToLong(String::length).sum())
                .orElse(0L);
    }
}
