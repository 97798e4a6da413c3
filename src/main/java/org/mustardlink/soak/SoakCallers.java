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
 * Callers that stay with their host and its open connections until the process is gone, and send a job again under its id
 * some time after a try without an answer. Thread-safe.
 */
final class SoakCallers implements AutoCloseable {
    private static final int CALLERS = 48;
    private static final Duration DEADLINE = Duration.ofMillis(1_500);
    /** The platform's pages name this time between a try without an answer and the next one. */
    private static final long RESEND_MS = 1_300;

    private static final int MAX_TRIES = 3;
    /** Hosts that a caller tries in turn until one takes its connection. */
    private static final int MAX_CONNECTS = 6;
    /** The platform takes a host out of rotation after this many misses, one a second. */
    private static final int MISSES = 2;

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int BURST_FACTOR = 3;
    private static final ImmutableList<JobShape> SHAPES = ImmutableList.of(
            new JobShape(8, 60),
            new JobShape(4, 900),
            new JobShape(2, 200),
            new JobShape(2, 200),
            new JobShape(1, 500));

    private final ImmutableList<HostProcess> hosts;
    private final Journal journal;
    private final AnswerChecker answers;
    private final ServiceChecker service;
    private final ScheduledExecutorService timer;
    private final LongSupplier clockMs;
    private final HttpRequester requester =
            HttpRequester.start(new HttpRequester.Limits(512, 4_096, Duration.ofSeconds(1), Duration.ofSeconds(60), 1));
    private final Random random;
    private final int[] hostOf = new int[CALLERS];
    private final int[] missesOf;
    private final boolean[] wasReady;
    private final AtomicInteger open = new AtomicInteger();
    private final long jobPrefix;
    private long jobs;
    private volatile boolean burst;
    private volatile boolean stopped;

    private record JobShape(int tasks, int taskMs) {}

    private record Job(String id, JobShape shape, int caller, long firstMs) {}

    SoakCallers(
            SoakShape shape,
            List<HostProcess> hosts,
            Journal journal,
            AnswerChecker answers,
            ServiceChecker service,
            ScheduledExecutorService timer,
            LongSupplier clockMs) {
        this.hosts = ImmutableList.copyOf(hosts);
        this.journal = journal;
        this.answers = answers;
        this.service = service;
        this.timer = timer;
        this.clockMs = clockMs;
        this.random = new Random(~shape.seed());
        this.missesOf = new int[hosts.size()];
        this.wasReady = new boolean[hosts.size()];
        this.jobPrefix = random.nextLong() << Integer.SIZE;
        for (int i = 0; i < CALLERS; i++) {
            hostOf[i] = i % hosts.size();
        }
    }

    /** Starts to send jobs and to ask hosts for readiness. */
    void start(int jobsPerSecond) {
        ScheduledFuture<?> _sending = timer.scheduleAtFixedRate(
                this::sendSome, 0, TimeUnit.SECONDS.toMicros(1) / jobsPerSecond, TimeUnit.MICROSECONDS);
    }

    /** Asks every host for readiness, as the platform does once a second. */
    void pollReadiness() {
        for (int i = 0; i < hosts.size(); i++) {
            int host = i;
            CompletableFuture<HttpReply> _polled = requester
                    .send(hosts.get(i).readiness(), HttpCall.get(StandInDocuments.readyPath(), READY_TIMEOUT))
                    .whenComplete((reply, failure) -> {
                        synchronized (this) {
                            boolean ready = failure == null && reply.status() == OK;
                            missesOf[host] = ready ? 0 : missesOf[host] + 1;
                            wasReady[host] |= ready;
                        }
                    });
        }
    }

    /** Returns whether every host has answered once that it is ready. */
    synchronized boolean allWereReady() {
        return !Booleans.contains(wasReady, false);
    }

    /** Sends three times as much, or no more. */
    void setBurst(boolean changed) {
        burst = changed;
    }

    /** Sends no new jobs; open ones are still sent again. */
    void stop() {
        stopped = true;
    }

    /** Returns the number of jobs without a final answer. */
    int open() {
        return open.get();
    }

    private void sendSome() {
        for (int i = 0; !stopped && i < (burst ? BURST_FACTOR : 1); i++) {
            sendNew();
        }
    }

    private void sendNew() {
        Job job;
        int host;
        synchronized (this) {
            long number = jobs++;
            int caller = (int) (number % CALLERS);
            JobShape shape = SHAPES.get(random.nextInt(SHAPES.size()));
            job = new Job("%016x".formatted(jobPrefix + number), shape, caller, clockMs.getAsLong());
            host = hostOf[caller];
        }
        open.incrementAndGet();
        send(job, host, 1, 1);
    }

    private void send(Job job, int host, int tries, int connects) {
        answers.sent(job.id(), job.shape().tasks());
        journal.line(
                clockMs.getAsLong(), "sent job=" + job.id() + " try=" + tries + " to=host-" + host + " " + job.shape());
        HttpCall call = new HttpCall(
                "POST",
                SoakDeployment.PREFIX + job.id(),
                StandInDocuments.callerHeaders(SoakDeployment.VIRTUAL_HOST, DEADLINE.toMillis()),
                StandInDocuments.job(job.shape().tasks(), job.shape().taskMs()),
                DEADLINE);
        CompletableFuture<HttpReply> _sent = requester
                .send(hosts.get(host).callers(), call)
                .whenComplete((reply, failure) -> {
                    long now = clockMs.getAsLong();
                    journal.line(
                            now,
                            "answer job=" + job.id() + " try=" + tries + " from=host-" + host + ' '
                                    + (failure == null ? reply.status() + " " + reply.body() : describe(failure)));
                    if (failure != null) {
                        failed(job, host, tries, connects, failure, now);
                    } else {
                        replied(job, host, tries, reply, now);
                    }
                });
    }

    private static String describe(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof CodedException coded ? coded.code() + " " + coded.getMessage() : cause.toString();
    }

    private void failed(Job job, int host, int tries, int connects, Throwable failure, long now) {
        boolean notSent = describe(failure).startsWith(ErrorCode.NOT_SENT.name());
        int next = moveOn(job.caller(), host);
        if (!notSent) {
            answers.unknown(job.id());
            again(job, next, tries);
        } else if (connects < MAX_CONNECTS) {
            answers.notSent(job.id(), now);
            send(job, next, tries, connects + 1);
        } else {
            answers.notSent(job.id(), now);
            ended(job, false);
        }
    }

    private void replied(Job job, int host, int tries, HttpReply reply, long now) {
        switch (reply.status()) {
            case 429, 503 -> {
                answers.refused(job.id(), now);
                ended(job, false);
            }
            case 502, 504 -> {
                answers.unknown(job.id());
                again(job, other(host), tries);
            }
            default -> {
                answers.answered(job.id(), reply.status(), reply.body(), now);
                ended(job, reply.status() == OK && reply.body().contains("complete"));
            }
        }
    }

    private void again(Job job, int host, int tries) {
        if (tries >= MAX_TRIES) {
            ended(job, false);
            return;
        }
        ScheduledFuture<?> _scheduled =
                timer.schedule(() -> send(job, host, tries + 1, 1), RESEND_MS, TimeUnit.MILLISECONDS);
    }

    private void ended(Job job, boolean served) {
        service.ended(job.firstMs(), served);
        open.decrementAndGet();
    }

    /** Chooses another host for a caller whose connection is gone. */
    private synchronized int moveOn(int caller, int from) {
        int next = other(from);
        if (hostOf[caller] == from) {
            hostOf[caller] = next;
        }
        return next;
    }

    private synchronized int other(int than) {
        ImmutableList.Builder<Integer> inRotation = ImmutableList.builder();
        ImmutableList.Builder<Integer> others = ImmutableList.builder();
        for (int i = 0; i < hosts.size(); i++) {
            if (i != than) {
                others.add(i);
                if (missesOf[i] < MISSES) {
                    inRotation.add(i);
                }
            }
        }
        ImmutableList<Integer> choice = inRotation.build().isEmpty() ? others.build() : inRotation.build();
        return choice.isEmpty() ? than : choice.get(random.nextInt(choice.size()));
    }

    @Override
    public void close() {
        stop();
        requester.close();
    }
}
