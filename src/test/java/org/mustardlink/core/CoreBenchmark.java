package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.mustardlink.core.policy.ExpectedFinishPlacement;

/**
 * Measures the starts per second of the core on one thread: 30 targets with 8 slots each, jobs of 210 tasks and a queue
 * that is kept at 20,000 tasks. Each tick handles one ended attempt, which is the worst case for the cost of a tick.
 *
 * <p>Arguments: number of queued tasks; duration of the measurement in seconds, which follows a warm-up of the same
 * duration.
 */
final class CoreBenchmark {
    private static final long SEED = 7;
    private static final int TARGETS = 30;
    private static final int SLOTS = 8;
    private static final long STEP_NANOS = 40_000;

    private final Random random = new Random(SEED);
    private final DispatchCore core =
            DispatchCore.create(CoreSettings.defaults("bench", 1), ExpectedFinishPlacement.create());
    private final List<Command.StartTask> running = new ArrayList<>();
    private final int targetQueueSize;
    private SessionId session;
    private long sequence;
    private long now;
    private int queued;

    private CoreBenchmark(int targetQueueSize) {
        this.targetQueueSize = targetQueueSize;
        tick(new Event.TargetsDeclared(targets()));
    }

    public static void main(String[] args) {
        CoreBenchmark benchmark = new CoreBenchmark(args.length > 0 ? Integer.parseInt(args[0]) : 20_000);
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        benchmark.run(TimeUnit.SECONDS.toNanos(seconds));
        System.out.printf(
                "seed %d, queue %d: %,.0f starts/s%n",
                SEED, benchmark.targetQueueSize, benchmark.run(TimeUnit.SECONDS.toNanos(seconds)));
    }

    private double run(long nanos) {
        long begin = System.nanoTime();
        long starts = 0;
        while (System.nanoTime() - begin < nanos) {
            if (queued < targetQueueSize) {
                submit();
            }
            if (!running.isEmpty()) {
                starts += endOne();
            }
        }
        return starts * 1e9 / (System.nanoTime() - begin);
    }

    private void submit() {
        if (session == null || sequence >= SubmissionId.MAX_SEQUENCE) {
            tick(new Event.SessionRequested(0));
            sequence = 0;
        }
        ImmutableList.Builder<TaskSpec> tasks = ImmutableList.builder();
        for (int i = 0; i < JobRequest.MAX_TASKS; i++) {
            tasks.add(new TaskSpec("", 50 + random.nextInt(950)));
        }
        queued += JobRequest.MAX_TASKS;
        tick(new Event.JobSubmitted(
                1,
                new SubmissionId(session, sequence++),
                new JobRequest(
                        "yard", "team" + random.nextInt(10), "check", true, Duration.ofHours(1), tasks.build())));
    }

    private int endOne() {
        int index = random.nextInt(running.size());
        Command.StartTask ended = running.get(index);
        running.set(index, running.get(running.size() - 1));
        running.remove(running.size() - 1);
        int before = running.size();
        tick(new Event.AttemptEnded(
                ended.task(),
                ended.attempt(),
                new AttemptResult.Completed("", Optional.of(new LoadReport(SLOTS, SLOTS)))));
        return running.size() - before;
    }

    private void tick(Event event) {
        now += STEP_NANOS;
        for (Command command : core.tick(ImmutableList.of(event), now)) {
            if (command instanceof Command.StartTask start) {
                running.add(start);
                queued--;
            } else if (command instanceof Command.SessionGranted granted) {
                session = granted.session();
            }
        }
    }

    private static ImmutableList<TargetSpec> targets() {
        ImmutableList.Builder<TargetSpec> targets = ImmutableList.builder();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new TargetSpec("t" + i, "yard", "balanza", "127.0.0.1:1", SLOTS, 64, 1 + i % 5));
        }
        return targets.build();
    }
}
