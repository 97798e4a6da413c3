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
        if (tables.startsHeld()) {
            return;
        }
        for (String service : tables.queue().services()) {
            tables.queue().visit(service, task -> place(tables, service, task, now, out));
        }
    }

    private boolean place(Tables tables, String service, TaskRow task, long now, Consumer<Command> out) {
        List<TargetRow> candidates = tables.targets().accepting(service, now);
        if (candidates.isEmpty()) {
            return false;
        }
        Optional<TargetRow> chosen = policy.choose(task.spec(), candidates, now)
                .flatMap(view -> tables.targets().find(view.spec().id()));
        chosen.ifPresent(target -> start(tables, task, target, now, out));
        return chosen.isPresent();
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
