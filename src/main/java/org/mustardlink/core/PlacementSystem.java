package org.mustardlink.core;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Starts queued tasks on targets that the placement policy chooses. */
final class PlacementSystem implements DispatchSystem {
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
        boolean placed = true;
        while (placed && !free.isEmpty() && queue.size() > 0) {
            Optional<TargetRow> target = placeNext(tables, queue, free, now, out);
            target.filter(row -> !row.accepts(now)).ifPresent(free::remove);
            placed = target.isPresent();
        }
    }

    private Optional<TargetRow> placeNext(
            Tables tables, ServiceQueue queue, List<TargetRow> free, long now, Consumer<Command> out) {
        if (!queue.retries().isEmpty()) {
            Optional<TargetRow> target = choose(tables, queue.retries().peekFirst(), free, now);
            target.ifPresent(row -> start(tables, queue.takeRetry(), row, now, out));
            return target;
        }
        JobQueue job = queue.jobs().iterator().next();
        Optional<TargetRow> target = choose(tables, job.task(0), free, now);
        target.ifPresent(row -> start(tables, queue.take(job, 0), row, now, out));
        return target;
    }

    private Optional<TargetRow> choose(Tables tables, TaskRow task, List<TargetRow> free, long now) {
        return policy.choose(task.spec(), free, now)
                .flatMap(view -> tables.targets().find(view.spec().id()));
    }

    private static void start(Tables tables, TaskRow task, TargetRow target, long now, Consumer<Command> out) {
        int attempt = task.start();
        target.attemptStarted();
        tables.attempts().add(new AttemptTable.AttemptRow(task, attempt, target, now));
        out.accept(new Command.StartTask(
                task.id(),
                attempt,
                target.spec(),
                task.spec(),
                task.job().request().orElseThrow().idempotent(),
                Duration.ofNanos(Math.max(1, task.job().deadlineNanos() - now))));
    }
}
