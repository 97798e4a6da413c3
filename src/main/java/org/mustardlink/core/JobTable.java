package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;

/** Open jobs in order of deadline, and settled jobs in order of age. */
final class JobTable {
    /** Entries per open job that trigger a sweep; proportional, so that the cost per settled job is constant. */
    static final int SWEEP_FACTOR = 2;

    /** Number of entries below which no sweep is triggered. */
    static final int SWEEP_MINIMUM = 1024;

    private final Map<SubmissionId, JobRow> rows = new HashMap<>();
    private final PriorityQueue<JobRow> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(JobRow::deadlineNanos));
    private final Queue<JobRow> settled = new ArrayDeque<>();
    private int openCount;
    private long keptChars;

    Optional<JobRow> find(SubmissionId id) {
        return Optional.ofNullable(rows.get(id));
    }

    void addOpen(JobRow job) {
        rows.put(job.id(), job);
        byDeadline.add(job);
        openCount++;
    }

    /** Adds the verdict of a settled job to the kept answers, without its request. */
    void addSettled(JobRow job, boolean wasOpen) {
        JobRow kept = job.withoutRequest();
        rows.put(kept.id(), kept);
        settled.add(kept);
        keptChars += kept.resultChars();
        if (wasOpen) {
            openCount--;
            sweepSettledDeadlines();
        }
    }

    /** Removes settled jobs from the deadline heap; they are removed in bulk because a heap has no cheap removal. */
    private void sweepSettledDeadlines() {
        if (byDeadline.size() > SWEEP_FACTOR * openCount + SWEEP_MINIMUM) {
            byDeadline.removeIf(job -> !job.isOpen());
        }
    }

    /** Returns the settled jobs whose answers are kept, oldest first. */
    ImmutableList<JobRow> keptAnswers() {
        return ImmutableList.copyOf(settled);
    }

    /** Returns all jobs without a verdict. */
    ImmutableList<JobRow> openJobs() {
        return rows.values().stream().filter(JobRow::isOpen).collect(ImmutableList.toImmutableList());
    }

    int openCount() {
        return openCount;
    }

    /** Returns the number of entries in the deadline heap, including those of settled jobs. */
    int deadlineEntries() {
        return byDeadline.size();
    }

    /** Removes and returns the open job with the earliest deadline, if that deadline has passed. */
    Optional<JobRow> pollOverdue(long now) {
        removeSettledHead();
        JobRow first = byDeadline.peek();
        return first != null && first.deadlineNanos() <= now ? Optional.of(byDeadline.remove()) : Optional.empty();
    }

    OptionalLong nextDeadline() {
        removeSettledHead();
        JobRow first = byDeadline.peek();
        return first == null ? OptionalLong.empty() : OptionalLong.of(first.deadlineNanos());
    }

    /** Removes the oldest answers while they exceed the limits on age, count or total length. */
    void expire(long now, CoreSettings settings) {
        long expiryNanos = now - settings.answerTtl().toNanos();
        while (!settled.isEmpty()
                && (settled.element().settledNanos() < expiryNanos
                        || settled.size() > settings.maxKeptAnswers()
                        || keptChars > settings.maxKeptBytes())) {
            JobRow dropped = settled.remove();
            keptChars -= dropped.resultChars();
            rows.remove(dropped.id());
        }
    }

    private void removeSettledHead() {
        while (!byDeadline.isEmpty() && !byDeadline.element().isOpen()) {
            byDeadline.remove();
        }
    }
}
