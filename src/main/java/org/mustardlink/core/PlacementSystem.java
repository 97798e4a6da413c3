package org.mustardlink.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Starts queued tasks on targets that the placement policy chooses. */
final class PlacementSystem implements DispatchSystem {
    /** Jobs offered behind a task that waits for a faster slot; it bounds the work of a tick. */
    private static final int LOOK_AHEAD_JOBS = 32;

    private static final double NANOS_PER_MS = 1e6;

    private final PlacementPolicy policy;

    PlacementSystem(PlacementPolicy policy) {
        this.policy = policy;
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        for (String service : tables.queue().services()) {
            ServiceQueue queue = tables.queue().find(service).orElseThrow();
            if (queue.size() > 0) {
                fill(tables, service, queue, now, out);
            }
        }
    }

    private void fill(Tables tables, String service, ServiceQueue queue, long now, Consumer<Command> out) {
        List<TargetRow> free = tables.targets().accepting(service, now);
        if (free.isEmpty()) {
            return;
        }
        List<TargetRow> usable = new ArrayList<>();
        tables.targets().of(service).stream().filter(row -> row.usable(now)).forEach(usable::add);
        PlacementView view = new PlacementView(free, usable, queue.load().sample(usable, now), now);
        boolean placed = true;
        while (placed && !free.isEmpty() && queue.size() > 0) {
            Optional<TargetRow> target = placeNext(tables, queue, view, out);
            target.filter(row -> !row.accepts(now)).ifPresent(free::remove);
            placed = target.isPresent();
        }
    }

    private Optional<TargetRow> placeNext(
            Tables tables, ServiceQueue queue, PlacementView view, Consumer<Command> out) {
        double workAhead = 0;
        if (!queue.retries().isEmpty()) {
            TaskRow retry = queue.retries().peekFirst();
            Optional<TargetRow> target = choose(tables, retry, 0, view);
            if (target.isPresent()) {
                start(tables, queue.takeRetry(), target.get(), view.now(), out);
                return target;
            }
            workAhead = retry.expectedWork();
        }
        int looked = 0;
        for (JobQueue job : queue.jobs()) {
            int rank = firstWilling(tables, job, workAhead, view);
            if (rank >= 0) {
                TargetRow target = choose(tables, job.task(rank), workAhead + job.workBefore(rank), view)
                        .orElseThrow();
                start(tables, queue.take(job, rank), target, view.now(), out);
                return Optional.of(target);
            }
            workAhead += job.work();
            looked++;
            if (looked >= LOOK_AHEAD_JOBS) {
                break;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the rank of the first task of a job that takes a free slot, or -1. The last task is the shortest and has
     * the most work ahead; when it prefers to wait, so do all before it.
     */
    private int firstWilling(Tables tables, JobQueue job, double workAhead, PlacementView view) {
        int last = job.size() - 1;
        if (choose(tables, job.task(0), workAhead, view).isPresent()) {
            return 0;
        }
        double before = workAhead + job.work() - job.task(last).expectedWork();
        if (last == 0 || choose(tables, job.task(last), before, view).isEmpty()) {
            return -1;
        }
        int waits = 0;
        int goes = last;
        while (goes - waits > 1) {
            int middle = (waits + goes) >>> 1;
            boolean willing = choose(tables, job.task(middle), workAhead + job.workBefore(middle), view)
                    .isPresent();
            goes = willing ? middle : goes;
            waits = willing ? waits : middle;
        }
        return goes;
    }

    private Optional<TargetRow> choose(Tables tables, TaskRow task, double workAhead, PlacementView view) {
        return policy.choose(
                        new QueuedTask(
                                task.spec(),
                                task.expectedWork(),
                                workAhead,
                                task.job().slackMs(task, view.now()),
                                task.job().tasks().size(),
                                task.job().error()),
                        view)
                .flatMap(chosen -> tables.targets().find(chosen.spec().id()));
    }

    private static void start(Tables tables, TaskRow task, TargetRow target, long now, Consumer<Command> out) {
        tables.messages().started();
        int attempt = task.start();
        long expectedNanos = (long) (task.expectedWork() / target.speed() * NANOS_PER_MS);
        AttemptTable.AttemptRow row = new AttemptTable.AttemptRow(task, attempt, target, now, expectedNanos);
        target.attemptStarted(row);
        tables.attempts().add(row);
        task.job().expectEnd(now + expectedNanos);
        out.accept(new Command.StartTask(
                task.id(),
                attempt,
                target.spec(),
                task.spec(),
                task.job().request().orElseThrow().idempotent(),
                Duration.ofNanos(Math.max(1, task.job().deadlineNanos() - now))));
    }
}
