package org.mustardlink.core;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Settles a job as soon as one of its queued tasks can no longer finish before the deadline. */
final class UnreachableDeadlineSystem implements DispatchSystem {
    private static final double NANOS_PER_MS = 1e6;

    private final PriorityQueue<LatestStart> latestStarts =
            new PriorityQueue<>(Comparator.comparingLong(LatestStart::dueNanos));

    /** Latest time at which the longest queued task of a job must start, in order to finish before the deadline. */
    private record LatestStart(JobRow job, long dueNanos) {}

    void schedule(Tables tables, JobRow job) {
        if (latestStarts.size() > JobTable.SWEEP_FACTOR * tables.jobs().openCount() + JobTable.SWEEP_MINIMUM) {
            latestStarts.removeIf(entry -> !entry.job().isOpen());
        }
        tables.queue()
                .longestTask(job)
                .ifPresent(task -> latestStarts.add(new LatestStart(job, latestStartNanos(tables, job, task))));
    }

    /** Returns the number of scheduled checks, including those of jobs that are already settled. */
    int entryCount() {
        return latestStarts.size();
    }

    OptionalLong nextDue() {
        while (!latestStarts.isEmpty() && !latestStarts.element().job().isOpen()) {
            latestStarts.remove();
        }
        return latestStarts.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(latestStarts.element().dueNanos());
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        while (!latestStarts.isEmpty() && latestStarts.element().dueNanos() <= now) {
            JobRow job = latestStarts.remove().job();
            if (job.isOpen()) {
                settleIfUnreachable(tables, job, now, out);
            }
        }
    }

    private void settleIfUnreachable(Tables tables, JobRow job, long now, Consumer<Command> out) {
        Optional<TaskRow> longest = tables.queue().longestTask(job);
        if (longest.isEmpty()) {
            return;
        }
        long latestNanos = latestStartNanos(tables, job, longest.get());
        if (latestNanos > now) {
            latestStarts.add(new LatestStart(job, latestNanos));
            return;
        }
        Verdict notRun = Verdict.failed(
                Reason.DEADLINE_UNREACHABLE,
                tables.backlogEstimator().retryAfter(job.request().orElseThrow(), job.id()));
        Settlement.fail(tables, job, notRun, Reason.DEADLINE_PASSED, now, out);
    }

    /**
     * Returns the latest start at which a task can finish in time on the fastest target, assuming that its work is two
     * standard errors below the estimate.
     */
    private static long latestStartNanos(Tables tables, JobRow job, TaskRow task) {
        double fastestSpeed =
                tables.targets().fastestSpeed(job.request().orElseThrow().service());
        double minRunMs = task.expectedWorkMs() * Math.exp(-2 * job.logError()) / fastestSpeed;
        return job.deadlineNanos() - (long) (minRunMs * NANOS_PER_MS);
    }
}
