package org.mustardlink.capacity;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;
import org.mustardlink.core.AttemptResult;
import org.mustardlink.core.Command;
import org.mustardlink.core.CoreSettings;
import org.mustardlink.core.DispatchCore;
import org.mustardlink.core.Event;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.SessionId;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.TaskSpec;

/** Measures the memory of the dispatch core for each kind of state, and its processor time for each start. */
public final class CapacityMeasurements {
    private static final String SERVICE = "yard";
    private static final int RESULT_CHARACTERS = 100;
    private static final int TASKS_PER_JOB = 20;
    private static final int MIN_STARTS = 20_000;
    private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

    private CapacityMeasurements() {}

    /** Takes all measurements. This needs about ten seconds and up to 200 MB of heap. */
    public static ImmutableList<CostSlope> measureAll() {
        return ImmutableList.of(
                measure("sessions", "bytes", CapacityMeasurements::measureSessionBytes, 1_000, 5_000, 20_000),
                measure(
                        "used numbers of a session",
                        "bytes",
                        CapacityMeasurements::measureUsedNumberBytes,
                        10_000,
                        100_000,
                        400_000),
                measure(
                        "kept answers of one task of 100 characters",
                        "bytes",
                        CapacityMeasurements::measureCachedAnswerBytes,
                        1_000,
                        5_000,
                        20_000),
                measure(
                        "queued tasks in jobs of 20",
                        "bytes",
                        CapacityMeasurements::measureQueuedTaskBytes,
                        2_000,
                        20_000,
                        80_000),
                measure("declared targets", "bytes", CapacityMeasurements::measureTargetBytes, 100, 400, 1_000),
                measure(
                        "processor time of a start by targets of the service",
                        "ns",
                        CapacityMeasurements::measureNanosPerStart,
                        10,
                        30,
                        100,
                        200));
    }

    private static CostSlope measure(String name, String unit, LongToDoubleFunction cost, long... sizes) {
        double _warmUp = cost.applyAsDouble(sizes[0]);
        ImmutableList.Builder<CostSlope.Point> points = ImmutableList.builder();
        for (long size : sizes) {
            points.add(new CostSlope.Point(size, cost.applyAsDouble(size)));
        }
        return new CostSlope(name, unit, points.build());
    }

    private static double measureSessionBytes(long size) {
        return HeapMeter.retainedBytes(() -> {
            DispatchCore core = newCore(0);
            core.tick(Collections.nCopies((int) size, new Event.SessionRequested(1)), 0);
            return core;
        });
    }

    private static double measureUsedNumberBytes(long size) {
        return HeapMeter.retainedBytes(() -> {
            DispatchCore core = newCore(0);
            SessionId session = openSession(core);
            // The clock advances with each number, so the cached answers expire and only the used numbers remain.
            for (long number = 0; number < size; number++) {
                Event cancelled = new Event.JobCancelled(1, new SubmissionId(session, number));
                core.tick(ImmutableList.of(cancelled), number * STEP_NANOS);
            }
            return core;
        });
    }

    private static double measureCachedAnswerBytes(long size) {
        return HeapMeter.retainedBytes(() -> {
            DispatchCore core = newCore(1);
            SessionId session = openSession(core);
            for (long number = 0; number < size; number++) {
                Event submitted = new Event.JobSubmitted(1, new SubmissionId(session, number), newJob(1));
                for (Command.StartTask start : filterStarts(core.tick(ImmutableList.of(submitted), 0))) {
                    String body = "x".repeat(RESULT_CHARACTERS - 10) + (1_000_000_000L + number);
                    core.tick(ImmutableList.of(newCompletion(start, body)), 0);
                }
            }
            return core;
        });
    }

    private static double measureQueuedTaskBytes(long size) {
        return HeapMeter.retainedBytes(() -> {
            DispatchCore core = newCore(1);
            SessionId session = openSession(core);
            for (long number = 0; number < size / TASKS_PER_JOB; number++) {
                core.tick(
                        ImmutableList.of(
                                new Event.JobSubmitted(1, new SubmissionId(session, number), newJob(TASKS_PER_JOB))),
                        0);
            }
            return core;
        });
    }

    private static double measureTargetBytes(long size) {
        return HeapMeter.retainedBytes(() -> newCore((int) size));
    }

    private static double measureNanosPerStart(long targets) {
        DispatchCore core = newCore((int) targets);
        SessionId session = openSession(core);
        long number = 0;
        int started = 0;
        long beginNanos = threadCpuNanos();
        List<Command.StartTask> running = new ArrayList<>();
        while (started < MIN_STARTS) {
            List<Event> events = new ArrayList<>();
            running.forEach(start -> events.add(newCompletion(start, "ok")));
            events.add(new Event.JobSubmitted(1, new SubmissionId(session, number), newJob(TASKS_PER_JOB)));
            running = filterStarts(core.tick(events, number * 1_000_000));
            started += running.size();
            number++;
        }
        return (double) (threadCpuNanos() - beginNanos) / started;
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static DispatchCore newCore(int targets) {
        CoreSettings bounds = new CoreSettings(
                "capacity",
                1,
                1 << 20,
                Duration.ofHours(100),
                1 << 20,
                1 << 20,
                1 << 20,
                1L << 30,
                Duration.ofMinutes(5),
                Duration.ofSeconds(1));
        DispatchCore core = DispatchCore.create(bounds, PlacementPolicy.fastestFree());
        core.tick(ImmutableList.of(new Event.TargetsDeclared(newTargets(targets))), 0);
        return core;
    }

    private static ImmutableList<TargetSpec> newTargets(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new TargetSpec(
                        "target-" + i, SERVICE, "balanza", "127.0.0.1:" + (10_000 + i), 8, 64, 1 + i % 5))
                .collect(ImmutableList.toImmutableList());
    }

    private static SessionId openSession(DispatchCore core) {
        return core.tick(ImmutableList.of(new Event.SessionRequested(1)), 0).stream()
                .filter(Command.SessionGranted.class::isInstance)
                .map(command -> ((Command.SessionGranted) command).session())
                .findFirst()
                .orElseThrow();
    }

    private static JobRequest newJob(int tasks) {
        TaskSpec task = new TaskSpec("{\"runMs\":100,\"answer\":\"ok\"}", 100);
        return new JobRequest(
                SERVICE,
                "clerks",
                "default",
                false,
                Duration.ofMinutes(30),
                ImmutableList.copyOf(Collections.nCopies(tasks, task)));
    }

    private static List<Command.StartTask> filterStarts(ImmutableList<Command> commands) {
        return commands.stream()
                .filter(Command.StartTask.class::isInstance)
                .map(Command.StartTask.class::cast)
                .toList();
    }

    private static Event newCompletion(Command.StartTask start, String body) {
        return new Event.AttemptEnded(
                start.task(), start.attempt(), new AttemptResult.Completed(body, Optional.empty()));
    }
}
