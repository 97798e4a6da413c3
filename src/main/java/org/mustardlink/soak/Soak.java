package org.mustardlink.soak;

import com.google.common.base.Stopwatch;
import com.google.common.collect.ImmutableList;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.platform.standin.StandInRunner;

/**
 * One soak: starts a deployment, plays a schedule of faults while callers send jobs, and checks what callers and targets
 * see.
 *
 * <pre>{@code
 * Soak.Result result = Soak.run(shape, FaultSchedule.draw(shape), Path.of("bundles"), System.out::println);
 * }</pre>
 */
public final class Soak {
    private static final Duration READY_WAIT = Duration.ofSeconds(60);
    private static final Duration CALM_BEFORE = Duration.ofSeconds(2);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final Duration POLL = Duration.ofSeconds(1);
    /** Three tries of 1.5 s with pauses of 1.3 s. */
    private static final Duration LAST_ANSWERS = Duration.ofSeconds(8);
    /** As in the configuration of the stand-ins. */
    private static final int MAX_ATTEMPTS = 3;

    private static final String SCHEDULE_FILE = "schedule.txt";

    private final SoakShape shape;
    private final ImmutableList<Fault> faults;
    private final Path directory;
    private final Consumer<String> out;
    private final Stopwatch watch = Stopwatch.createStarted();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Soak::daemon);
    private final ExecutorService actions = Executors.newCachedThreadPool(Soak::daemon);
    private final RunChecker runs = RunChecker.create(this::violated);
    private final AnswerChecker answers = AnswerChecker.create(this::violated, MAX_ATTEMPTS);
    private final ServiceChecker service = new ServiceChecker();
    private final long startNanos = System.nanoTime();

    private Soak(SoakShape shape, ImmutableList<Fault> faults, Path directory, Consumer<String> out) {
        this.shape = shape;
        this.faults = faults;
        this.directory = directory;
        this.out = out;
    }

    /**
     * Outcome of a soak.
     *
     * @param violations what must not happen and did
     * @param summary numbers for people
     */
    public record Result(ImmutableList<Violation> violations, String summary) {}

    /**
     * Runs a soak with the schedule of its seed.
     *
     * @param shape size and seed
     * @param keep directory in which a bundle is left if there is a violation
     * @param out receives one line for each violation
     */
    public static Result run(SoakShape shape, Path keep, Consumer<String> out) {
        return run(shape, FaultSchedule.draw(shape), keep, out);
    }

    /** Runs a soak with the schedule of a bundle; its seed still draws the callers' choices. */
    public static Result replay(SoakShape shape, Path bundle, Path keep, Consumer<String> out) {
        try {
            ImmutableList<Fault> read = Files.readAllLines(bundle.resolve(SCHEDULE_FILE)).stream()
                    .map(Fault::parse)
                    .collect(ImmutableList.toImmutableList());
            return run(shape, read, keep, out);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot read the schedule of " + bundle, e);
        }
    }

    private static Result run(SoakShape shape, ImmutableList<Fault> faults, Path keep, Consumer<String> out) {
        try {
            Files.createDirectories(keep);
            Path directory = Files.createTempDirectory(keep, "seed-" + shape.seed() + "-");
            Files.write(
                    directory.resolve(SCHEDULE_FILE),
                    faults.stream().map(Fault::line).toList());
            Files.writeString(directory.resolve("shape.txt"), shape + "\n");
            Soak soak = new Soak(shape, faults, directory, out);
            Result result = soak.play();
            if (result.violations().isEmpty()) {
                MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
            } else {
                Files.write(
                        directory.resolve("violations.txt"),
                        result.violations().stream()
                                .map(violation -> violation.line(shape.seed()))
                                .toList());
                out.accept("bundle: " + directory);
            }
            return result;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot run a soak", e);
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    }

    private long clockMs() {
        return watch.elapsed(TimeUnit.MILLISECONDS);
    }

    private void violated(Violation violation) {
        violations.add(violation);
        out.accept(violation.line(shape.seed()));
    }

    private Result play() throws IOException {
        try (Journal runJournal = Journal.open(directory.resolve("runs.log"));
                Journal callJournal = Journal.open(directory.resolve("calls.log"));
                SoakDeployment deployment =
                        SoakDeployment.start(shape, directory, listener(runJournal), this::endedItself);
                SoakCallers callers = new SoakCallers(
                        shape, deployment.hosts(), callJournal, answers, service, timer, this::clockMs)) {
            every(() -> deployment.heartbeat(clockMs()));
            every(callers::pollReadiness);
            awaitReady(callers);
            callers.start(shape.jobsPerSecond());
            Uninterruptibles.sleepUninterruptibly(CALM_BEFORE);
            long faultsEndMs = playFaults(deployment, callers, runJournal);
            while (service.servedAgainMs(faultsEndMs).isEmpty()
                    && clockMs() < faultsEndMs + ServiceChecker.RECOVERY_MS + LAST_ANSWERS.toMillis()) {
                Uninterruptibles.sleepUninterruptibly(PAUSE);
            }
            callers.stop();
            long until = clockMs() + LAST_ANSWERS.toMillis();
            while (callers.open() > 0 && clockMs() < until) {
                Uninterruptibles.sleepUninterruptibly(PAUSE);
            }
            deployment.settle();
            runs.finish();
            service.check(faultsEndMs).ifPresent(this::violated);
            return new Result(ImmutableList.copyOf(violations), summary(faultsEndMs));
        } finally {
            timer.shutdownNow();
            actions.shutdownNow();
        }
    }

    private String summary(long faultsEndMs) {
        return "seed=%d faults=%d violations=%d %s, most again %s ms after the last fault"
                .formatted(
                        shape.seed(),
                        faults.size(),
                        violations.size(),
                        service.summary(),
                        service.servedAgainMs(faultsEndMs).stream()
                                .mapToObj(at -> Long.toString(at - faultsEndMs))
                                .findFirst()
                                .orElse("not within any number of"));
    }

    private void every(Runnable task) {
        ScheduledFuture<?> _repeated = timer.scheduleAtFixedRate(task, 0, POLL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void awaitReady(SoakCallers callers) {
        while (!callers.allWereReady()) {
            if (clockMs() > READY_WAIT.toMillis()) {
                throw new CodedException(ErrorCode.INTERNAL, "the hosts were not ready within " + READY_WAIT);
            }
            Uninterruptibles.sleepUninterruptibly(PAUSE);
        }
    }

    private StandInRunner.RunListener listener(Journal journal) {
        return new StandInRunner.RunListener() {
            @Override
            public void onRunStarted(String target, String task, int run, long nanos) {
                long at = millis(nanos);
                journal.line(at, "started task=" + task + " run=" + run + " on=" + target);
                runs.started(target, SoakDeployment.SLOTS, task, run, at);
                answers.started(target, task, at);
            }

            @Override
            public void onRunEnded(String target, String task, int run, String how, long nanos) {
                long at = millis(nanos);
                journal.line(at, "ended task=" + task + " run=" + run + " on=" + target + " how=" + how);
                runs.ended(target, task, run, how, at);
                answers.ended(task, how);
            }
        };
    }

    private long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - startNanos);
    }

    private void endedItself(String host, int exitCode) {
        violated(new Violation(clockMs(), "OWN_END", "", host + " ended by itself with exit code " + exitCode));
    }

    /** Plays the schedule and returns when its last fault has ended. */
    private long playFaults(SoakDeployment deployment, SoakCallers callers, Journal journal) {
        long startMs = clockMs();
        for (Fault fault : faults) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(Math.max(0, startMs + fault.atMs() - clockMs())));
            actions.execute(() -> playFault(fault, deployment, callers, journal));
        }
        long endMs = startMs + TimeUnit.SECONDS.toMillis(shape.seconds());
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(Math.max(0, endMs - clockMs())));
        deployment.healAll(clockMs());
        return clockMs();
    }

    private void playFault(Fault fault, SoakDeployment deployment, SoakCallers callers, Journal journal) {
        journal.line(clockMs(), "fault begins: " + fault.line());
        boolean burst = fault.kind() == FaultKind.BURST;
        if (burst) {
            callers.setBurst(true);
        }
        deployment.begin(fault, clockMs());
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(fault.lengthMs()));
        if (burst) {
            callers.setBurst(false);
        }
        deployment.end(fault, clockMs());
        journal.line(clockMs(), "fault ends: " + fault.line());
    }
}
