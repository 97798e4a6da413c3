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

/** Open jobs by deadline and settled jobs by age. */
final class JobTable {
    /** Entries for each open job that start a sweep; each sweep is paid for by as many settled jobs. */
    static final int SWEEP_FACTOR = 2;

    /** Entries below which no sweep is made. */
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

    /** Moves a job that has its verdict to the kept answers, without its request. */
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

    /** Most jobs settle long before their deadline, and a heap has no cheap removal, so they are swept out at intervals. */
    private void sweepSettledDeadlines() {
        if (byDeadline.size() > SWEEP_FACTOR * openCount + SWEEP_MINIMUM) {
            byDeadline.removeIf(job -> !job.isOpen());
        }
    }

    /** Returns the settled jobs whose answer is kept, oldest first. */
    ImmutableList<JobRow> keptAnswers() {
        return ImmutableList.copyOf(settled);
    }

    /** Returns the jobs without a verdict. */
    ImmutableList<JobRow> openJobs() {
        return rows.values().stream().filter(JobRow::isOpen).collect(ImmutableList.toImmutableList());
    }

    int openCount() {
        return openCount;
    }

    /** Returns the entries kept for deadlines, those of settled jobs included. */
    int deadlineEntries() {
        return byDeadline.size();
    }

    /** Returns the open job with the earliest deadline, if that deadline has come. */
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

    /** Drops the oldest answers beyond the bounds on age, count and bytes. */
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
