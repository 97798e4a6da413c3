package org.mustardlink.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.Outcome;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.TestBed;

/**
 * Measures one entry host with tasks of 1 ms: the latency that it adds, or its task starts for each second of processor
 * time.
 */
public final class EntryHostBenchmark {
    private static final long TASK_RUN_MS = 1;
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final Duration WARMUP = Duration.ofSeconds(5);

    private final Settings settings;
    private final Histogram addedMicros = new ConcurrentHistogram(3);
    private final AtomicLong completedTasks = new AtomicLong();
    private final AtomicLong failedJobs = new AtomicLong();
    private final AtomicLong nextSequence = new AtomicLong();
    private volatile boolean isMeasuring;

    private EntryHostBenchmark(Settings settings) {
        this.settings = settings;
    }

    /**
     * Settings of a measurement. It starts after a warm-up of 5 s.
     *
     * @param entry caller address of the entry host
     * @param pid process id of the entry host, whose processor time is read; empty if not known
     * @param seconds duration of the measurement
     * @param tasksPerJob number of tasks of each job
     * @param jobsAtOnce number of concurrent jobs of the throughput measurement
     * @param jobsPerSecond arrival rate of the latency measurement
     */
    public record Settings(
            InetSocketAddress entry,
            Optional<Long> pid,
            int seconds,
            int tasksPerJob,
            int jobsAtOnce,
            int jobsPerSecond) {
        public Settings {
            checkArgument(seconds > 0, "seconds must be positive: %s", seconds);
            checkArgument(jobsAtOnce > 0, "jobsAtOnce must be positive: %s", jobsAtOnce);
            checkArgument(jobsPerSecond > 0, "jobsPerSecond must be positive: %s", jobsPerSecond);
        }
    }

    /**
     * Result of a measurement.
     *
     * @param tasksPerSecond tasks completed each second
     * @param cores processor time that the entry host used each second, in seconds; {@code NaN} if not known
     * @param startsPerCoreSecond tasks completed for each second of processor time; {@code NaN} if not known
     * @param failed jobs that failed, including those of the warm-up
     * @param addedP50Ms median of the time from submission to answer minus the run time, in milliseconds
     * @param addedP99Ms 99th percentile of the same time, in milliseconds
     */
    public record Result(
            double tasksPerSecond,
            double cores,
            double startsPerCoreSecond,
            long failed,
            double addedP50Ms,
            double addedP99Ms) {}

    /** Measures the added latency at a constant arrival rate. */
    public static Result measureLatency(Settings settings) {
        EntryHostBenchmark benchmark = new EntryHostBenchmark(settings);
        return benchmark.run(client -> benchmark.submitAtRate(client));
    }

    /** Measures the throughput with a constant number of concurrent jobs. */
    public static Result measureThroughput(Settings settings) {
        EntryHostBenchmark benchmark = new EntryHostBenchmark(settings);
        return benchmark.run(client -> benchmark.submitConcurrently(client));
    }

    private Result run(Driver driver) {
        HttpRequester.Limits limits =
                new HttpRequester.Limits(4096, 4096, Duration.ofSeconds(5), Duration.ofSeconds(60), 2);
        try (HttpRequester requester = HttpRequester.start(limits)) {
            CallerClient client = new CallerClient(requester);
            Thread thread = new Thread(() -> driver.drive(client), "bench");
            thread.setDaemon(true);
            thread.start();
            Uninterruptibles.sleepUninterruptibly(WARMUP);
            Result result = measure();
            thread.interrupt();
            return result;
        }
    }

    private Result measure() {
        long startNanos = System.nanoTime();
        long startTasks = completedTasks.get();
        Optional<Duration> startProcessorTime = processorTime();
        isMeasuring = true;
        Uninterruptibles.sleepUninterruptibly(Duration.ofSeconds(settings.seconds()));
        isMeasuring = false;
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double tasks = completedTasks.get() - startTasks;
        double cores = processorTime()
                .flatMap(end -> startProcessorTime.map(end::minus))
                .map(used -> used.toNanos() / 1e9 / seconds)
                .orElse(Double.NaN);
        return new Result(
                tasks / seconds,
                cores,
                tasks / seconds / cores,
                failedJobs.get(),
                addedMicros.getValueAtPercentile(50) / 1000.0,
                addedMicros.getValueAtPercentile(99) / 1000.0);
    }

    private Optional<Duration> processorTime() {
        return settings.pid()
                .flatMap(ProcessHandle::of)
                .flatMap(process -> process.info().totalCpuDuration());
    }

    private void submitAtRate(CallerClient client) {
        String session = client.openSession(settings.entry()).join();
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / settings.jobsPerSecond();
        long nextNanos = System.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            nextNanos += intervalNanos;
            long intendedNanos = nextNanos;
            for (long remainingNanos = nextNanos - System.nanoTime();
                    remainingNanos > 0;
                    remainingNanos = nextNanos - System.nanoTime()) {
                LockSupport.parkNanos(remainingNanos);
                if (Thread.currentThread().isInterrupted()) {
                    return;
                }
            }
            submit(client, session, intendedNanos, () -> {});
        }
    }

    private void submitConcurrently(CallerClient client) {
        String session = client.openSession(settings.entry()).join();
        Semaphore slots = new Semaphore(settings.jobsAtOnce());
        try {
            while (true) {
                slots.acquire();
                submit(client, session, System.nanoTime(), slots::release);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(CallerClient client, String session, long startNanos, Runnable onEnd) {
        CompletableFuture<Void> _answered = client.submit(
                        settings.entry(), session, nextSequence.getAndIncrement(), jobDocument(), DEADLINE)
                .handle((verdict, failure) -> {
                    recordAnswer(startNanos, verdict, failure);
                    onEnd.run();
                    return null;
                });
    }

    private void recordAnswer(long startNanos, VerdictDocument verdict, Throwable failure) {
        if (failure != null || verdict.outcome() != Outcome.COMPLETE) {
            failedJobs.incrementAndGet();
            return;
        }
        completedTasks.addAndGet(settings.tasksPerJob());
        if (isMeasuring) {
            addedMicros.recordValue(Math.max(0, (System.nanoTime() - startNanos) / 1000 - TASK_RUN_MS * 1000));
        }
    }

    private ImmutableMap<String, Object> jobDocument() {
        ImmutableMap<String, Object> task = ImmutableMap.of(
                "payload", "{\"runMs\":" + TASK_RUN_MS + ",\"answer\":\"ok\"}", "declaredMs", TASK_RUN_MS);
        return ImmutableMap.of(
                "service",
                TestBed.SERVICE,
                "team",
                "bench",
                "tasks",
                ImmutableList.copyOf(Collections.nCopies(settings.tasksPerJob(), task)));
    }

    @FunctionalInterface
    private interface Driver {
        void drive(CallerClient client);
    }
}
