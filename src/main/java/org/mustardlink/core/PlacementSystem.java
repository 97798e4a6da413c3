package org.mustardlink.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Starts queued tasks on the targets that the placement policy chooses. */
final class PlacementSystem implements DispatchSystem {
    /** Jobs offered to the policy after one that waits for a faster slot; bounds the cost of a tick. */
    private static final int LOOK_AHEAD_JOBS = 32;

    private static final double NANOS_PER_MS = 1e6;

    /** Interval at which one retry may start without a token; without other starts no tokens would be gained. */
    private static final long UNBUDGETED_RETRY_INTERVAL_NANOS = 200_000_000;

    private final PlacementPolicy policy;
    private long lastRetryNanos = Long.MIN_VALUE;

    PlacementSystem(PlacementPolicy policy) {
        this.policy = policy;
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        if (tables.areStartsHeld()) {
            return;
        }
        for (String service : tables.queue().services()) {
            ServiceQueue queue = tables.queue().find(service).orElseThrow();
            if (queue.size() > 0) {
                placeTasks(tables, service, queue, now, out);
            }
        }
    }

    private void placeTasks(Tables tables, String service, ServiceQueue queue, long now, Consumer<Command> out) {
        tables.targets()
                .allowBorrowing(
                        service,
                        tables.shares().usesReportedSlots()
                                && tables.messageBudget().hasToken(),
                        now);
        List<TargetRow> free = tables.targets().accepting(service, now);
        if (free.isEmpty()) {
            return;
        }
        List<TargetRow> usable = new ArrayList<>();
        tables.targets().ofService(service).stream()
                .filter(row -> row.isUsable(now))
                .forEach(usable::add);
        PlacementView view = new PlacementView(free, usable, queue.load().sample(usable, now), now);
        boolean placed = true;
        while (placed && !free.isEmpty() && queue.size() > 0) {
            Optional<TargetRow> target = placeNext(tables, queue, view, out);
            target.filter(row -> !row.acceptsTask(now)).ifPresent(free::remove);
            placed = target.isPresent();
        }
    }

    private boolean mayRetry(Tables tables, long now) {
        return tables.retryBudget().hasToken()
                || lastRetryNanos == Long.MIN_VALUE
                || now - lastRetryNanos >= UNBUDGETED_RETRY_INTERVAL_NANOS;
    }

    private Optional<TargetRow> placeNext(
            Tables tables, ServiceQueue queue, PlacementView view, Consumer<Command> out) {
        double workAheadMs = 0;
        if (!queue.retries().isEmpty() && mayRetry(tables, view.now())) {
            TaskRow retry = queue.retries().peekFirst();
            Optional<TargetRow> target = chooseTarget(tables, retry, 0, view);
            if (target.isPresent()) {
                tables.retryBudget().tryTake();
                lastRetryNanos = view.now();
                start(tables, queue.takeRetry(), target.get(), view.now(), out);
                return target;
            }
            workAheadMs = retry.expectedWorkMs();
        }
        int offeredJobs = 0;
        for (JobQueue job : queue.startableJobs()) {
            int rank = firstPlaceableRank(tables, job, workAheadMs, view);
            if (rank >= 0) {
                TargetRow target = chooseTarget(tables, job.task(rank), workAheadMs + job.workBeforeMs(rank), view)
                        .orElseThrow();
                start(tables, queue.take(job, rank), target, view.now(), out);
                return Optional.of(target);
            }
            workAheadMs += job.workMs();
            offeredJobs++;
            if (offeredJobs >= LOOK_AHEAD_JOBS) {
                break;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the rank of the first task of a job for which the policy chooses a free target, or -1 if there is none.
     *
     * <p>The last task is the shortest and has the most work ahead of it. If the policy lets it wait, it lets all tasks
     * before it wait too, so the rank is found by binary search.
     */
    private int firstPlaceableRank(Tables tables, JobQueue job, double workAheadMs, PlacementView view) {
        int last = job.size() - 1;
        if (chooseTarget(tables, job.task(0), workAheadMs, view).isPresent()) {
            return 0;
        }
        double lastAheadMs = workAheadMs + job.workMs() - job.task(last).expectedWorkMs();
        if (last == 0 || chooseTarget(tables, job.task(last), lastAheadMs, view).isEmpty()) {
            return -1;
        }
        int waitingRank = 0;
        int placeableRank = last;
        while (placeableRank - waitingRank > 1) {
            int middle = (waitingRank + placeableRank) >>> 1;
            boolean placeable = chooseTarget(tables, job.task(middle), workAheadMs + job.workBeforeMs(middle), view)
                    .isPresent();
            placeableRank = placeable ? middle : placeableRank;
            waitingRank = placeable ? waitingRank : middle;
        }
        return placeableRank;
    }

    private Optional<TargetRow> chooseTarget(Tables tables, TaskRow task, double workAheadMs, PlacementView view) {
        return policy.choose(
                        new QueuedTask(
                                task.spec(),
                                task.expectedWorkMs(),
                                workAheadMs,
                                task.job().slackMs(task, view.now()),
                                task.job().tasks().size(),
                                task.job().logError()),
                        view)
                .flatMap(chosen -> tables.targets().find(chosen.spec().id()));
    }

    private static void start(Tables tables, TaskRow task, TargetRow target, long now, Consumer<Command> out) {
        tables.messageBudget().recordStart();
        tables.retryBudget().recordStart();
        tables.teams().taskStarted(task.job().request().orElseThrow().team());
        int attempt = task.startAttempt();
        tables.counters().countStart(attempt > 1);
        long expectedNanos = (long) (task.expectedWorkMs() / target.speed() * NANOS_PER_MS);
        AttemptTable.AttemptRow row = new AttemptTable.AttemptRow(task, attempt, target, now, expectedNanos);
        target.attemptStarted(row);
        tables.attempts().add(row);
        task.job().extendExpectedEnd(now + expectedNanos);
        out.accept(new Command.StartTask(
                task.id(),
                attempt,
                target.spec(),
                task.spec(),
                task.job().request().orElseThrow().idempotent(),
                Duration.ofNanos(Math.max(1, task.job().deadlineNanos() - now))));
    }
}
