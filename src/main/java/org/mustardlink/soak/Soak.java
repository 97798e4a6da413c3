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
 * One run of the soak test: starts a deployment, injects the faults of a schedule while callers submit jobs, and checks
 * the answers to callers and the runs on targets.
 *
 * <pre>{@code
 * Soak.Result result = Soak.run(shape, Path.of("bundles"), System.out::println);
 * }</pre>
 */
public final class Soak {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration FAULT_FREE_START = Duration.ofSeconds(2);
    private static final Duration WAIT_INTERVAL = Duration.ofMillis(100);
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);
    /** Longest time from the first submission to the last answer: three submissions of 1.5 s, 1.3 s apart. */
    private static final Duration FINAL_ANSWERS_TIMEOUT = Duration.ofSeconds(8);
    /** The limit in the configuration that the stand-in of the store serves. */
    private static final int MAX_ATTEMPTS = 3;

    private static final String SCHEDULE_FILE = "schedule.txt";

    private final SoakShape shape;
    private final ImmutableList<Fault> faults;
    private final Path directory;
    private final Consumer<String> out;
    private final Stopwatch stopwatch = Stopwatch.createStarted();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Soak::newDaemonThread);
    private final ExecutorService faultExecutor = Executors.newCachedThreadPool(Soak::newDaemonThread);
    private final RunChecker runChecker = RunChecker.create(this::reportViolation);
    private final AnswerChecker answerChecker = AnswerChecker.create(this::reportViolation, MAX_ATTEMPTS);
    private final ServiceChecker serviceChecker = new ServiceChecker();
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
     * @param violations violations of the checked rules, in the order of their detection
     * @param summary counts of faults, violations and served jobs in one line
     */
    public record Result(ImmutableList<Violation> violations, String summary) {}

    /**
     * Runs a soak with the schedule that its seed generates.
     *
     * @param shape size and seed
     * @param bundleParent directory in which the bundle with schedule, settings and logs is kept if there is a
     *     violation
     * @param out receives a line for each violation, and the path of the bundle
     */
    public static Result run(SoakShape shape, Path bundleParent, Consumer<String> out) {
        return run(shape, FaultSchedule.generate(shape), bundleParent, out);
    }

    /** Runs a soak with the schedule of a bundle. The callers' random choices still come from the seed of the shape. */
    public static Result replay(SoakShape shape, Path bundle, Path bundleParent, Consumer<String> out) {
        try {
            ImmutableList<Fault> schedule = Files.readAllLines(bundle.resolve(SCHEDULE_FILE)).stream()
                    .map(Fault::parse)
                    .collect(ImmutableList.toImmutableList());
            return run(shape, schedule, bundleParent, out);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot read the fault schedule in " + bundle, e);
        }
    }

    private static Result run(SoakShape shape, ImmutableList<Fault> faults, Path bundleParent, Consumer<String> out) {
        try {
            Files.createDirectories(bundleParent);
            Path directory = Files.createTempDirectory(bundleParent, "seed-" + shape.seed() + "-");
            Files.write(
                    directory.resolve(SCHEDULE_FILE),
                    faults.stream().map(Fault::format).toList());
            Files.writeString(directory.resolve("shape.txt"), shape + "\n");
            Soak soak = new Soak(shape, faults, directory, out);
            Result result = soak.execute();
            if (result.violations().isEmpty()) {
                MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
            } else {
                Files.write(
                        directory.resolve("violations.txt"),
                        result.violations().stream()
                                .map(violation -> violation.format(shape.seed()))
                                .toList());
                out.accept("bundle: " + directory);
            }
            return result;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot open a file or socket of the soak", e);
        }
    }

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    }

    private long elapsedMs() {
        return stopwatch.elapsed(TimeUnit.MILLISECONDS);
    }

    private void reportViolation(Violation violation) {
        violations.add(violation);
        out.accept(violation.format(shape.seed()));
    }

    private Result execute() throws IOException {
        try (Journal runJournal = Journal.open(directory.resolve("runs.log"));
                Journal callJournal = Journal.open(directory.resolve("calls.log"));
                SoakDeployment deployment =
                        SoakDeployment.start(shape, directory, runListener(runJournal), this::reportUnexpectedExit);
                SoakCallers callers = new SoakCallers(
                        shape,
                        deployment.hosts(),
                        callJournal,
                        answerChecker,
                        serviceChecker,
                        timer,
                        this::elapsedMs)) {
            scheduleRepeatedly(() -> deployment.writeTargetEntries(elapsedMs()));
            scheduleRepeatedly(callers::pollReadiness);
            awaitReady(callers);
            callers.start(shape.jobsPerSecond());
            Uninterruptibles.sleepUninterruptibly(FAULT_FREE_START);
            long faultsEndMs = injectFaults(deployment, callers, runJournal);
            while (serviceChecker.recoveredAtMs(faultsEndMs).isEmpty()
                    && elapsedMs() < faultsEndMs + ServiceChecker.MAX_RECOVERY_MS + FINAL_ANSWERS_TIMEOUT.toMillis()) {
                Uninterruptibles.sleepUninterruptibly(WAIT_INTERVAL);
            }
            callers.stop();
            long giveUpMs = elapsedMs() + FINAL_ANSWERS_TIMEOUT.toMillis();
            while (callers.openJobs() > 0 && elapsedMs() < giveUpMs) {
                Uninterruptibles.sleepUninterruptibly(WAIT_INTERVAL);
            }
            deployment.endExpiredRuns();
            runChecker.checkUnfinishedRuns();
            serviceChecker.check(faultsEndMs).ifPresent(this::reportViolation);
            return new Result(ImmutableList.copyOf(violations), summary(faultsEndMs));
        } finally {
            timer.shutdownNow();
            faultExecutor.shutdownNow();
        }
    }

    private String summary(long faultsEndMs) {
        return "seed=%d faults=%d violations=%d %s, time in ms from the last fault until most jobs were served again: %s"
                .formatted(
                        shape.seed(),
                        faults.size(),
                        violations.size(),
                        serviceChecker.summary(),
                        serviceChecker.recoveredAtMs(faultsEndMs).stream()
                                .mapToObj(at -> Long.toString(at - faultsEndMs))
                                .findFirst()
                                .orElse("none"));
    }

    private void scheduleRepeatedly(Runnable task) {
        ScheduledFuture<?> _repeated =
                timer.scheduleAtFixedRate(task, 0, REPEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void awaitReady(SoakCallers callers) {
        while (!callers.allHaveBeenReady()) {
            if (elapsedMs() > READY_TIMEOUT.toMillis()) {
                throw new CodedException(ErrorCode.INTERNAL, "not all hosts were ready within " + READY_TIMEOUT);
            }
            Uninterruptibles.sleepUninterruptibly(WAIT_INTERVAL);
        }
    }

    private StandInRunner.RunListener runListener(Journal journal) {
        return new StandInRunner.RunListener() {
            @Override
            public void onRunStarted(String target, String task, int run, long nanos) {
                long atMs = toElapsedMs(nanos);
                journal.write(atMs, "started task=" + task + " run=" + run + " on=" + target);
                runChecker.recordStart(target, SoakDeployment.SLOTS_PER_TARGET, task, run, atMs);
                answerChecker.recordStart(target, task, atMs);
            }

            @Override
            public void onRunEnded(String target, String task, int run, String how, long nanos) {
                long atMs = toElapsedMs(nanos);
                journal.write(atMs, "ended task=" + task + " run=" + run + " on=" + target + " how=" + how);
                runChecker.recordEnd(target, task, run, how, atMs);
                answerChecker.recordEnd(task, how);
            }
        };
    }

    private long toElapsedMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - startNanos);
    }

    private void reportUnexpectedExit(String host, int exitCode) {
        reportViolation(new Violation(
                elapsedMs(), "OWN_END", "", host + " exited without a request to stop, with exit code " + exitCode));
    }

    /** Injects the faults of the schedule and returns the time at which the last of them has ended. */
    private long injectFaults(SoakDeployment deployment, SoakCallers callers, Journal journal) {
        long startMs = elapsedMs();
        for (Fault fault : faults) {
            Uninterruptibles.sleepUninterruptibly(
                    Duration.ofMillis(Math.max(0, startMs + fault.startMs() - elapsedMs())));
            faultExecutor.execute(() -> injectFault(fault, deployment, callers, journal));
        }
        long endMs = startMs + TimeUnit.SECONDS.toMillis(shape.seconds());
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(Math.max(0, endMs - elapsedMs())));
        deployment.endAllFaults(elapsedMs());
        return elapsedMs();
    }

    private void injectFault(Fault fault, SoakDeployment deployment, SoakCallers callers, Journal journal) {
        journal.write(elapsedMs(), "fault begins: " + fault.format());
        boolean isBurst = fault.kind() == FaultKind.BURST;
        if (isBurst) {
            callers.setBurst(true);
        }
        deployment.beginFault(fault, elapsedMs());
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(fault.durationMs()));
        if (isBurst) {
            callers.setBurst(false);
        }
        deployment.endFault(fault, elapsedMs());
        journal.write(elapsedMs(), "fault ends: " + fault.format());
    }
}
