package org.mustardlink.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Booleans;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.platform.standin.StandInDocuments;

/**
 * Callers that keep using one host and its open connections until the connection fails, and that resubmit a job with
 * the same id some time after a submission without an answer. Thread-safe.
 */
final class SoakCallers implements AutoCloseable {
    private static final int CALLER_COUNT = 48;
    private static final Duration DEADLINE = Duration.ofMillis(1_500);
    /** Time that the platform specifies between a submission without an answer and the next one. */
    private static final long RESUBMIT_DELAY_MS = 1_300;

    private static final int MAX_SUBMISSIONS = 3;
    /** Hosts that a caller tries in turn until one accepts its connection. */
    private static final int MAX_CONNECT_ATTEMPTS = 6;
    /** The platform takes a host out of rotation after this many failed readiness polls, one a second. */
    private static final int MAX_READINESS_MISSES = 2;

    private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int BURST_FACTOR = 3;
    private static final ImmutableList<JobShape> JOB_SHAPES = ImmutableList.of(
            new JobShape(8, 60),
            new JobShape(4, 900),
            new JobShape(2, 200),
            new JobShape(2, 200),
            new JobShape(1, 500));

    private final ImmutableList<HostProcess> hosts;
    private final Journal journal;
    private final AnswerChecker answerChecker;
    private final ServiceChecker serviceChecker;
    private final ScheduledExecutorService timer;
    private final LongSupplier elapsedMs;
    private final HttpRequester requester =
            HttpRequester.start(new HttpRequester.Limits(512, 4_096, Duration.ofSeconds(1), Duration.ofSeconds(60), 1));
    private final Random random;
    private final int[] hostByCaller = new int[CALLER_COUNT];
    private final int[] readinessMisses;
    private final boolean[] hasBeenReady;
    private final AtomicInteger openJobs = new AtomicInteger();
    private final long jobPrefix;
    private long jobCount;
    private volatile boolean isBurst;
    private volatile boolean isStopped;

    private record JobShape(int tasks, int taskMs) {}

    private record Job(String id, JobShape shape, int caller, long firstSentMs) {}

    SoakCallers(
            SoakShape shape,
            List<HostProcess> hosts,
            Journal journal,
            AnswerChecker answerChecker,
            ServiceChecker serviceChecker,
            ScheduledExecutorService timer,
            LongSupplier elapsedMs) {
        this.hosts = ImmutableList.copyOf(hosts);
        this.journal = journal;
        this.answerChecker = answerChecker;
        this.serviceChecker = serviceChecker;
        this.timer = timer;
        this.elapsedMs = elapsedMs;
        this.random = new Random(~shape.seed());
        this.readinessMisses = new int[hosts.size()];
        this.hasBeenReady = new boolean[hosts.size()];
        this.jobPrefix = random.nextLong() << Integer.SIZE;
        for (int i = 0; i < CALLER_COUNT; i++) {
            hostByCaller[i] = i % hosts.size();
        }
    }

    /** Starts to submit jobs at a constant rate. */
    void start(int jobsPerSecond) {
        ScheduledFuture<?> _sending = timer.scheduleAtFixedRate(
                this::submitScheduledJobs, 0, TimeUnit.SECONDS.toMicros(1) / jobsPerSecond, TimeUnit.MICROSECONDS);
    }

    /** Polls the readiness of every host, as the platform does once a second. */
    void pollReadiness() {
        for (int i = 0; i < hosts.size(); i++) {
            int host = i;
            CompletableFuture<HttpReply> _polled = requester
                    .send(
                            hosts.get(i).readinessAddress(),
                            HttpCall.get(StandInDocuments.readyPath(), READINESS_TIMEOUT))
                    .whenComplete((reply, failure) -> {
                        synchronized (this) {
                            boolean ready = failure == null && reply.status() == OK;
                            readinessMisses[host] = ready ? 0 : readinessMisses[host] + 1;
                            hasBeenReady[host] |= ready;
                        }
                    });
        }
    }

    /** Returns whether every host has been ready at least once. */
    synchronized boolean allHaveBeenReady() {
        return !Booleans.contains(hasBeenReady, false);
    }

    /** Starts or ends a burst, during which three times as many jobs are submitted. */
    void setBurst(boolean active) {
        isBurst = active;
    }

    /** Stops the submission of new jobs. Open jobs are still resubmitted. */
    void stop() {
        isStopped = true;
    }

    /** Returns the number of jobs that are neither answered nor abandoned. */
    int openJobs() {
        return openJobs.get();
    }

    private void submitScheduledJobs() {
        for (int i = 0; !isStopped && i < (isBurst ? BURST_FACTOR : 1); i++) {
            submitNewJob();
        }
    }

    private void submitNewJob() {
        Job job;
        int host;
        synchronized (this) {
            long number = jobCount++;
            int caller = (int) (number % CALLER_COUNT);
            JobShape shape = JOB_SHAPES.get(random.nextInt(JOB_SHAPES.size()));
            job = new Job("%016x".formatted(jobPrefix + number), shape, caller, elapsedMs.getAsLong());
            host = hostByCaller[caller];
        }
        openJobs.incrementAndGet();
        submit(job, host, 1, 1);
    }

    private void submit(Job job, int host, int submission, int connectAttempts) {
        answerChecker.recordSubmission(job.id(), job.shape().tasks());
        journal.write(
                elapsedMs.getAsLong(),
                "sent job=" + job.id() + " try=" + submission + " to=host-" + host + " " + job.shape());
        HttpCall call = new HttpCall(
                "POST",
                SoakDeployment.PATH_PREFIX + job.id(),
                StandInDocuments.callerHeaders(SoakDeployment.VIRTUAL_HOST, DEADLINE.toMillis()),
                StandInDocuments.job(job.shape().tasks(), job.shape().taskMs()),
                DEADLINE);
        CompletableFuture<HttpReply> _sent = requester
                .send(hosts.get(host).callerAddress(), call)
                .whenComplete((reply, failure) -> {
                    long nowMs = elapsedMs.getAsLong();
                    journal.write(
                            nowMs,
                            "answer job=" + job.id() + " try=" + submission + " from=host-" + host + ' '
                                    + (failure == null ? reply.status() + " " + reply.body() : describe(failure)));
                    if (failure != null) {
                        handleFailure(job, host, submission, connectAttempts, failure, nowMs);
                    } else {
                        handleReply(job, host, submission, reply, nowMs);
                    }
                });
    }

    private static String describe(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof CodedException coded ? coded.code() + " " + coded.getMessage() : cause.toString();
    }

    private void handleFailure(Job job, int host, int submission, int connectAttempts, Throwable failure, long nowMs) {
        boolean notSent = describe(failure).startsWith(ErrorCode.NOT_SENT.name());
        int nextHost = moveCaller(job.caller(), host);
        if (!notSent) {
            answerChecker.recordUnknownOutcome(job.id());
            resubmit(job, nextHost, submission);
        } else if (connectAttempts < MAX_CONNECT_ATTEMPTS) {
            answerChecker.recordNotSent(job.id(), nowMs);
            submit(job, nextHost, submission, connectAttempts + 1);
        } else {
            answerChecker.recordNotSent(job.id(), nowMs);
            recordJobEnd(job, false);
        }
    }

    private void handleReply(Job job, int host, int submission, HttpReply reply, long nowMs) {
        switch (reply.status()) {
            case 429, 503 -> {
                answerChecker.recordRefusal(job.id(), nowMs);
                recordJobEnd(job, false);
            }
            case 502, 504 -> {
                answerChecker.recordUnknownOutcome(job.id());
                resubmit(job, chooseOtherHost(host), submission);
            }
            default -> {
                answerChecker.recordAnswer(job.id(), reply.status(), reply.body(), nowMs);
                recordJobEnd(job, reply.status() == OK && reply.body().contains("complete"));
            }
        }
    }

    private void resubmit(Job job, int host, int submission) {
        if (submission >= MAX_SUBMISSIONS) {
            recordJobEnd(job, false);
            return;
        }
        ScheduledFuture<?> _scheduled =
                timer.schedule(() -> submit(job, host, submission + 1, 1), RESUBMIT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void recordJobEnd(Job job, boolean served) {
        serviceChecker.recordJobEnd(job.firstSentMs(), served);
        openJobs.decrementAndGet();
    }

    /** Moves a caller whose connection failed to another host, and returns that host. */
    private synchronized int moveCaller(int caller, int lostHost) {
        int nextHost = chooseOtherHost(lostHost);
        if (hostByCaller[caller] == lostHost) {
            hostByCaller[caller] = nextHost;
        }
        return nextHost;
    }

    private synchronized int chooseOtherHost(int excluded) {
        ImmutableList.Builder<Integer> inRotation = ImmutableList.builder();
        ImmutableList.Builder<Integer> otherHosts = ImmutableList.builder();
        for (int i = 0; i < hosts.size(); i++) {
            if (i != excluded) {
                otherHosts.add(i);
                if (readinessMisses[i] < MAX_READINESS_MISSES) {
                    inRotation.add(i);
                }
            }
        }
        ImmutableList<Integer> candidates = inRotation.build().isEmpty() ? otherHosts.build() : inRotation.build();
        return candidates.isEmpty() ? excluded : candidates.get(random.nextInt(candidates.size()));
    }

    @Override
    public void close() {
        stop();
        requester.close();
    }
}
