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
    private final Map<SubmissionId, JobRow> rows = new HashMap<>();
    private final PriorityQueue<JobRow> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(JobRow::deadlineNanos));
    private final Queue<JobRow> settled = new ArrayDeque<>();
    private int open;
    private long keptBytes;

    Optional<JobRow> find(SubmissionId id) {
        return Optional.ofNullable(rows.get(id));
    }

    void addOpen(JobRow job) {
        rows.put(job.id(), job);
        byDeadline.add(job);
        open++;
    }

    /** Moves a job that has its verdict to the kept answers. */
    void addSettled(JobRow job, boolean wasOpen) {
        rows.put(job.id(), job);
        settled.add(job);
        keptBytes += job.keptBytes();
        if (wasOpen) {
            open--;
        }
    }

    /** Returns the settled jobs whose answer is kept, oldest first. */
    ImmutableList<JobRow> kept() {
        return ImmutableList.copyOf(settled);
    }

    /** Returns the jobs without a verdict. */
    ImmutableList<JobRow> unsettled() {
        return rows.values().stream().filter(JobRow::isOpen).collect(ImmutableList.toImmutableList());
    }

    int open() {
        return open;
    }

    /** Returns the open job with the earliest deadline, if that deadline has come. */
    Optional<JobRow> pollOverdue(long now) {
        skipSettled();
        JobRow first = byDeadline.peek();
        return first != null && first.deadlineNanos() <= now ? Optional.of(byDeadline.remove()) : Optional.empty();
    }

    OptionalLong nextDeadline() {
        skipSettled();
        JobRow first = byDeadline.peek();
        return first == null ? OptionalLong.empty() : OptionalLong.of(first.deadlineNanos());
    }

    /** Drops the oldest answers beyond the bounds on age, count and bytes. */
    void expire(long now, CoreSettings settings) {
        long oldest = now - settings.answerTtl().toNanos();
        while (!settled.isEmpty()
                && (settled.element().settledNanos() < oldest
                        || settled.size() > settings.maxKeptAnswers()
                        || keptBytes > settings.maxKeptBytes())) {
            JobRow dropped = settled.remove();
            keptBytes -= dropped.keptBytes();
            rows.remove(dropped.id());
        }
    }

    private void skipSettled() {
        while (!byDeadline.isEmpty() && !byDeadline.element().isOpen()) {
            byDeadline.remove();
        }
    }
}
