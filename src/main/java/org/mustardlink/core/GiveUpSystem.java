package org.mustardlink.core;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Settles jobs at once when one of their queued tasks can no longer end before the deadline. */
final class GiveUpSystem implements DispatchSystem {
    private static final double NANOS_PER_MS = 1e6;

    private final PriorityQueue<Check> checks = new PriorityQueue<>(Comparator.comparingLong(Check::dueNanos));

    /** A time at which the longest queued task of a job must have started. */
    private record Check(JobRow job, long dueNanos) {}

    void add(Tables tables, JobRow job) {
        if (checks.size() > JobTable.SWEEP_FACTOR * tables.jobs().open() + JobTable.SWEEP_MINIMUM) {
            checks.removeIf(check -> !check.job().isOpen());
        }
        tables.queue().longest(job).ifPresent(task -> checks.add(new Check(job, latestStart(tables, job, task))));
    }

    /** Returns the entries kept for latest starts, those of settled jobs included. */
    int entries() {
        return checks.size();
    }

    OptionalLong nextDue() {
        while (!checks.isEmpty() && !checks.element().job().isOpen()) {
            checks.remove();
        }
        return checks.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(checks.element().dueNanos());
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        while (!checks.isEmpty() && checks.element().dueNanos() <= now) {
            JobRow job = checks.remove().job();
            if (job.isOpen()) {
                check(tables, job, now, out);
            }
        }
    }

    private void check(Tables tables, JobRow job, long now, Consumer<Command> out) {
        Optional<TaskRow> longest = tables.queue().longest(job);
        if (longest.isEmpty()) {
            return;
        }
        long latest = latestStart(tables, job, longest.get());
        if (latest > now) {
            checks.add(new Check(job, latest));
            return;
        }
        Verdict notRun = Verdict.failed(
                Reason.DEADLINE_UNREACHABLE,
                tables.backlog().retryAfter(job.request().orElseThrow(), job.id()));
        Settlement.fail(tables, job, notRun, Reason.DEADLINE_PASSED, now, out);
    }

    /** Returns when a task must start to end in time on the fastest target if it is shorter than estimated. */
    private static long latestStart(Tables tables, JobRow job, TaskRow task) {
        double fastest =
                tables.targets().fastestSpeed(job.request().orElseThrow().service());
        double shortestMs = task.expectedWork() * Math.exp(-2 * job.error()) / fastest;
        return job.deadlineNanos() - (long) (shortestMs * NANOS_PER_MS);
    }
}
