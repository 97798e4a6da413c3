package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.core.Outcome;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** A run of the load generator, which submits each job of a workload at its intended time and records the answers. */
public final class LoadRun {
    private static final ImmutableList<String> DOMAIN_NAMES = ImmutableList.of("balanza", "galpon", "oficina");
    private static final Duration ANSWER_WAIT_MARGIN = Duration.ofSeconds(2);

    private final LoadSettings settings;
    private final String policy;
    private final ImmutableList<JobPlan> jobs;
    private final RunRecorder recorder;

    private LoadRun(LoadSettings settings, String policy) {
        this.settings = settings;
        this.policy = policy;
        this.jobs = Workload.generate(settings);
        this.recorder = new RunRecorder(settings, PooledQueue.responsesMs(settings, jobs));
    }

    /**
     * Result of a run.
     *
     * @param report figures of the run
     * @param ratios histograms of the ratio of response time to ideal response time, in thousandths, by group
     */
    public record Result(RunReport report, ImmutableMap<String, Histogram> ratios) {}

    /**
     * Submits the workload of the settings and waits for the answers.
     *
     * @param settings settings of the run
     * @param policy placement policy of an in-process deployment, one of {@link Policies#names()}
     */
    public static Result run(LoadSettings settings, String policy) {
        return new LoadRun(settings, policy).run();
    }

    private Result run() {
        if (!settings.entries().isEmpty()) {
            sendAndAwait(settings.entries(), () -> {});
            return buildResult(ImmutableMap.of(), ImmutableMap.of());
        }
        ImmutableList<String> domains = IntStream.range(0, settings.domains())
                .mapToObj(i -> i < DOMAIN_NAMES.size() ? DOMAIN_NAMES.get(i) : "domain-" + i)
                .collect(ImmutableList.toImmutableList());
        TestBed.Shape shape = new TestBed.Shape(
                domains,
                settings.entriesPerDomain(),
                settings.capacity().speeds().size(),
                settings.capacity().slots(),
                settings.capacity().speeds());
        TestBed.Options options = new TestBed.Options(
                Policies.find(policy, settings.seed()),
                settings.speedsDeclared(),
                TestBed.Options.defaults().platformAddress());
        try (TestBed bed = TestBed.start(shape, options);
                FaultInjector faults = new FaultInjector(bed, settings)) {
            sendAndAwait(bed.callerAddresses(), faults::start);
            return buildResult(messagesPerTask(bed), targetCounts(bed));
        }
    }

    private void sendAndAwait(ImmutableList<InetSocketAddress> entries, Runnable onStart) {
        HttpRequester.Limits limits =
                new HttpRequester.Limits(8192, 65536, Duration.ofSeconds(5), Duration.ofSeconds(60), 2);
        try (HttpRequester requester = HttpRequester.start(limits)) {
            Callers callers = new Callers(settings, entries, requester);
            callers.openSessions(jobs);
            onStart.run();
            awaitAll(sendAll(callers));
        }
    }

    private List<CompletableFuture<Void>> sendAll(Callers callers) {
        record Cancellation(long nanos, Callers.SentJob sent) {}
        PriorityQueue<Cancellation> cancellations = new PriorityQueue<>(Comparator.comparingLong(Cancellation::nanos));
        List<CompletableFuture<Void>> answers = new ArrayList<>(jobs.size());
        long startNanos = System.nanoTime();
        for (JobPlan job : jobs) {
            while (!cancellations.isEmpty() && cancellations.element().nanos() <= job.arrivalNanos()) {
                Cancellation due = cancellations.remove();
                waitUntil(startNanos + due.nanos());
                callers.cancel(due.sent());
            }
            waitUntil(startNanos + job.arrivalNanos());
            recorder.recordSent(job, System.nanoTime() - startNanos - job.arrivalNanos());
            Callers.SentJob sent = callers.submit(job);
            answers.add(sent.verdict().handle((verdict, failure) -> recordAnswer(job, startNanos, verdict, failure)));
            job.cancelNanos().ifPresent(nanos -> cancellations.add(new Cancellation(nanos, sent)));
        }
        cancellations.forEach(due -> callers.cancel(due.sent()));
        return answers;
    }

    private Void recordAnswer(JobPlan job, long startNanos, VerdictDocument verdict, Throwable failure) {
        long endNanos = System.nanoTime() - startNanos;
        if (failure != null) {
            recorder.recordFailure(job, "NO_ANSWER");
        } else if (verdict.outcome() != Outcome.COMPLETE) {
            recorder.recordFailure(job, verdict.reason().name());
        } else {
            if (!hasExpectedResults(job, verdict)) {
                recorder.recordWrongAnswer();
            }
            recorder.recordComplete(job, endNanos);
        }
        return null;
    }

    private static boolean hasExpectedResults(JobPlan job, VerdictDocument verdict) {
        return verdict.results().size() == job.tasks().size()
                && IntStream.range(0, job.tasks().size())
                        .allMatch(i -> verdict.results().get(i).equals(Callers.expectedAnswer(job, i)));
    }

    private void awaitAll(List<CompletableFuture<Void>> answers) {
        try {
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                    .get(settings.deadline().plus(ANSWER_WAIT_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            // Jobs without an answer count neither as complete nor as failed. The difference shows in the report.
            System.err.println("not all jobs were answered: " + e.getMessage());
        }
    }

    private Result buildResult(ImmutableMap<String, Double> messagesPerTask, ImmutableMap<String, Long> targetCounts) {
        ImmutableMap<String, Long> counts = ImmutableMap.<String, Long>builder()
                .put("jobs", (long) jobs.size())
                .put("tasks", jobs.stream().mapToLong(job -> job.tasks().size()).sum())
                .put("wrong answers", recorder.wrongAnswerCount())
                .putAll(targetCounts)
                .buildOrThrow();
        RunReport report = new RunReport(
                policy,
                settings.seed(),
                ReportPrinter.describe(settings),
                recorder.groups(),
                messagesPerTask,
                counts,
                recorder.timeline(),
                recorder.sendDelayP99Ms());
        return new Result(report, recorder.ratios());
    }

    private ImmutableMap<String, Double> messagesPerTask(TestBed bed) {
        double tasks = jobs.stream().mapToLong(job -> job.tasks().size()).sum();
        List<StandInTarget.Messages> targetMessages =
                bed.targets().stream().map(StandInTarget::messages).toList();
        return ImmutableMap.<String, Double>builder()
                .put("start", sum(targetMessages, StandInTarget.Messages::starts) / tasks)
                .put("answer", sum(targetMessages, StandInTarget.Messages::starts) / tasks)
                .put("refused start", sum(targetMessages, StandInTarget.Messages::refused) / tasks)
                .put("probe", sum(targetMessages, StandInTarget.Messages::probes) / tasks)
                .put("cancel", sum(targetMessages, StandInTarget.Messages::stops) / tasks)
                .buildOrThrow();
    }

    private static ImmutableMap<String, Long> targetCounts(TestBed bed) {
        return ImmutableMap.of(
                "tasks started twice",
                bed.repeatedStarts(),
                "most connections at one target",
                bed.targets().stream()
                        .mapToLong(target -> target.messages().peakConnections())
                        .max()
                        .orElse(0));
    }

    private static double sum(
            List<StandInTarget.Messages> targetMessages,
            java.util.function.ToLongFunction<StandInTarget.Messages> kind) {
        return targetMessages.stream().mapToLong(kind).sum();
    }

    private static void waitUntil(long deadlineNanos) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }
}
