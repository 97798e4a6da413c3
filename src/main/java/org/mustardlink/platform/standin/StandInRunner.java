package org.mustardlink.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/**
 * A stand-in for a target: runs tasks under a lease, rejects orders with an outdated fencing token, and reports running
 * and ended tasks. Thread-safe.
 *
 * <p>A task's payload is its running time in milliseconds. The target does not enforce its capacity; it records starts
 * that exceed it as {@link #violations} instead.
 */
public final class StandInRunner implements AutoCloseable {
    /** Each waiting request for a report and each delayed order occupies a thread. */
    private static final int THREADS = 32;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long MAX_LEASE_MS = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_RUN_MS = 20;
    private static final long INITIAL_BORN_MS = 1_700_000_000_000L;
    /** The platform's documentation allows a stop to take up to 50 ms. */
    private static final int MAX_STOP_DELAY_MS = 50;
    /** Bounds of the delay after which an unanswered order is carried out in mode LATE. */
    private static final int MIN_ORDER_DELAY_MS = 100;

    private static final int MAX_ORDER_DELAY_MS = 8_000;
    /** In mode LATE, one in this many orders is left unanswered. */
    private static final int LATE_ONE_IN = 3;
    /** Factor by which tasks take longer in mode SLOW. */
    private static final int SLOW_FACTOR = 3;
    /** The platform's documentation allows a target's clock to run up to 2 percent slow. */
    private static final double SLOW_CLOCK_RATE = 0.98;

    private final String id;
    private final int slots;
    private final HttpServer server;
    private final ScheduledExecutorService timer;
    private final RunListener listener;
    private final Random random;
    private long startedNanos = System.nanoTime();
    private long bornMs = INITIAL_BORN_MS;
    private long crashCount;
    private boolean isUp = true;
    private volatile boolean atProtocolLimits;
    private final Map<String, Running> running = new HashMap<>();
    private final Map<String, Integer> highestClosedRun = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long lastEndNumber;
    private long entrySequence;
    private long fencingToken;
    private long leaseEndMs;
    private long startCount;
    private Mode mode = Mode.NORMAL;

    /** Failure modes. */
    public enum Mode {
        /** Carries out and answers every order. */
        NORMAL,
        /** Carries out starts but answers them with status 500, as if the answer had been lost. */
        LOSES_ANSWERS,
        /** Starts tasks, which fail immediately. */
        FAILS,
        /** Starts tasks that never end. */
        HANGS,
        /** Rejects every start as unhealthy. */
        REFUSES,
        /** Carries out orders but closes the connection instead of answering. */
        BREAKS_OFF,
        /** Leaves some orders unanswered and carries them out with a delay of up to 8 s. */
        LATE,
        /** Starts tasks that take {@link #SLOW_FACTOR} times as long. */
        SLOW
    }

    /** Receives the starts and ends of a target's runs, in order; called while the target's lock is held. */
    public interface RunListener {
        /** Called when a run has started. */
        void onRunStarted(String target, String task, int run, long nanos);

        /** Called when a run has ended; {@code how} is the outcome in the target's report, or {@code crashed}. */
        void onRunEnded(String target, String task, int run, String how, long nanos);
    }

    private static final RunListener NO_LISTENER = new RunListener() {
        @Override
        public void onRunStarted(String _target, String _task, int _run, long _nanos) {}

        @Override
        public void onRunEnded(String _target, String _task, int _run, String _how, long _nanos) {}
    };

    private record Running(String task, int run, long startNumber, long startedAtMs, long durationMs) {
        /** Returns the percentage of the run's duration that has passed. */
        private long percentDone(long clockMs) {
            return durationMs == 0 ? 0 : Math.min(100, (clockMs - startedAtMs) * 100 / durationMs);
        }
    }

    private record Ended(long number, String task, int run, String outcome) {}

    private StandInRunner(String id, int slots, InetSocketAddress address, RunListener listener, long seed) {
        this.id = id;
        this.slots = slots;
        this.listener = listener;
        this.random = new Random(seed);
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "runner-" + id);
            thread.setDaemon(true);
            return thread;
        });
        this.server = HttpServers.start(address, THREADS, new HttpHandler() {
            @Override
            public void service(Request request, Response response) throws IOException {
                handle(request, response);
            }
        });
    }

    /**
     * Starts a target.
     *
     * @param slots number of tasks that fit at once, at one CPU core each
     */
    public static StandInRunner start(String id, int slots, InetSocketAddress address) {
        return new StandInRunner(id, slots, address, NO_LISTENER, 0);
    }

    /**
     * Starts a target that behaves at the limits that the platform's documentation allows: its clock runs 2 percent
     * slow, and stops take up to 50 ms.
     *
     * @param slots number of tasks that fit at once, at one CPU core each
     * @param listener receives the start and end of every run
     * @param seed seed of the target's random choices
     */
    public static StandInRunner startAtProtocolLimits(
            String id, int slots, InetSocketAddress address, RunListener listener, long seed) {
        StandInRunner runner = new StandInRunner(id, slots, address, listener, seed);
        runner.atProtocolLimits = true;
        return runner;
    }

    /** Ends all runs and stops answering until {@link #restart} is called. */
    public synchronized void crash() {
        isUp = false;
        crashCount++;
        endLapsedRuns();
        ImmutableList.copyOf(running.values()).forEach(run -> {
            running.remove(run.task());
            listener.onRunEnded(id, run.task(), run.run(), "crashed", System.nanoTime());
        });
        notifyAll();
    }

    /** Restarts the target under the same id after a crash, with none of its earlier state. */
    public synchronized void restart() {
        highestClosedRun.clear();
        ended.clear();
        lastEndNumber = 0;
        fencingToken = 0;
        leaseEndMs = 0;
        startedNanos = System.nanoTime();
        bornMs += TimeUnit.SECONDS.toMillis(1);
        mode = Mode.NORMAL;
        isUp = true;
    }

    /** Returns the target's entry for the store, as JSON. */
    public synchronized String entryJson(String service, String domain, String state) {
        return Json.write(ImmutableMap.builder()
                .put("service", service)
                .put("addr", id.isEmpty() ? "" : format(HttpServers.address(server)))
                .put("zone", domain)
                .put("version", "v1")
                .put("slots", slots)
                .put("state", state)
                .put("coldLeftMs", 0)
                .put("capacity", ImmutableMap.of("cpu", slots * 1_000, "memMb", 1_024, "gpu", 0))
                .put("labels", ImmutableList.of("a", "r1-1"))
                .put("clockMs", clockMs())
                .put("seq", ++entrySequence)
                .put("born", bornMs)
                .buildOrThrow());
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** Returns the address that the target listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Returns the id of this target instance. */
    public String id() {
        return id;
    }

    /** Sets the failure mode. */
    public synchronized void setMode(Mode newMode) {
        mode = newMode;
    }

    /**
     * Returns descriptions of starts that a correct dispatcher never orders: beyond the capacity, or of a running task.
     */
    public synchronized ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    /** Returns the names of the running tasks. */
    public synchronized ImmutableList<String> runningTasks() {
        return running.values().stream().map(Running::task).collect(ImmutableList.toImmutableList());
    }

    /** Returns the number of runs started so far. */
    public synchronized long startCount() {
        return startCount;
    }

    private long clockMs() {
        return 1 + (long) (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) * clockRate());
    }

    private double clockRate() {
        return atProtocolLimits ? SLOW_CLOCK_RATE : 1;
    }

    private void handle(Request request, Response response) throws IOException {
        JsonNode body = Json.mapper().readTree(HttpServers.readBody(request, MAX_BODY_BYTES));
        Object document;
        int status;
        boolean responseLost = false;
        boolean connectionBroken;
        synchronized (this) {
            long crashesBefore = crashCount;
            connectionBroken = isUp && mode == Mode.LATE && random.nextInt(LATE_ONE_IN) == 0 && awaitOrderDelay();
            connectionBroken |= !isUp || crashCount != crashesBefore || mode == Mode.BREAKS_OFF;
            if (!isUp || crashCount != crashesBefore) {
                request.getContext().getConnection().terminateSilently();
                return;
            }
            endLapsedRuns();
            String refusal = checkInstanceAndFence(request, body);
            switch (request.getRequestURI()) {
                case "/api/run-start" -> {
                    refusal = refusal.isEmpty() ? start(body) : refusal;
                    responseLost = mode == Mode.LOSES_ANSWERS;
                }
                case "/api/run-stop" -> {
                    if (refusal.isEmpty()) {
                        stop(body);
                    }
                }
                default -> {
                    if (refusal.isEmpty()) {
                        extendLeaseAndAwaitEnds(body);
                    }
                }
            }
            status = refusal.isEmpty() ? OK : refusal.equals("other") ? 421 : refusal.equals("ill") ? 503 : CONFLICT;
            document = refusal.isEmpty() ? report() : ImmutableMap.of("clockMs", clockMs(), "reason", refusal);
        }
        if (connectionBroken) {
            request.getContext().getConnection().terminateSilently();
        } else if (responseLost) {
            HttpServers.write(response, 500, "application/json", "");
        } else {
            HttpServers.write(response, status, "application/json", Json.write(document));
        }
    }

    /**
     * Waits for the random delay of an order in mode LATE, or until the target crashes. The lock is released meanwhile,
     * so other orders are carried out. Returns true.
     */
    private boolean awaitOrderDelay() {
        long untilNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(
                        MIN_ORDER_DELAY_MS + random.nextInt(MAX_ORDER_DELAY_MS - MIN_ORDER_DELAY_MS));
        long crashesBefore = crashCount;
        while (crashCount == crashesBefore && System.nanoTime() < untilNanos) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, untilNanos - System.nanoTime());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return true;
            }
        }
        return true;
    }

    private String checkInstanceAndFence(Request request, JsonNode body) {
        String instance = request.getHeader("X-Expect-Instance");
        if (instance != null && !instance.equals(id)) {
            return "other";
        }
        if (body.path("fence").asLong(0) < fencingToken) {
            return "fence";
        }
        fencingToken = body.path("fence").asLong(0);
        return "";
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        if (mode == Mode.REFUSES) {
            return "ill";
        }
        extendLease(body);
        if (body.path("deadlineMs").asLong() < clockMs()) {
            return "late";
        }
        Running current = running.get(task);
        if (current != null && current.run() == run) {
            return "";
        }
        if (highestClosedRun.getOrDefault(task, 0) >= run) {
            return "old";
        }
        if (running.size() >= slots) {
            violations.add("start of " + task + " beyond the capacity");
        }
        if (current != null) {
            violations.add("second run of " + task);
        }
        long startNumber = ++startCount;
        long durationMs =
                Optional.ofNullable(Longs.tryParse(body.path("spec").asText())).orElse(DEFAULT_RUN_MS);
        if (mode == Mode.SLOW) {
            durationMs *= SLOW_FACTOR;
        }
        running.put(task, new Running(task, run, startNumber, clockMs(), mode == Mode.HANGS ? 0 : durationMs));
        listener.onRunStarted(id, task, run, System.nanoTime());
        if (mode == Mode.FAILS) {
            end(task, startNumber, "failed");
        } else if (mode != Mode.HANGS) {
            ScheduledFuture<?> _scheduled =
                    timer.schedule(() -> endScheduled(task, startNumber, "done"), durationMs, TimeUnit.MILLISECONDS);
        }
        return "";
    }

    private synchronized void endScheduled(String task, long startNumber, String outcome) {
        endLapsedRuns();
        end(task, startNumber, outcome);
    }

    private void end(String task, long startNumber, String outcome) {
        Running current = running.get(task);
        if (current != null && current.startNumber() == startNumber) {
            running.remove(task);
            long now = System.nanoTime();
            listener.onRunEnded(
                    id, task, current.run(), outcome, outcome.equals("lapsed") ? Math.min(now, leaseEndNanos()) : now);
            highestClosedRun.merge(task, current.run(), Math::max);
            ended.add(new Ended(++lastEndNumber, task, current.run(), outcome));
            notifyAll();
        }
    }

    private void stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        Running current = running.get(task);
        if (current != null && current.run() <= run) {
            if (atProtocolLimits) {
                ScheduledFuture<?> _scheduled = timer.schedule(
                        () -> endScheduled(task, current.startNumber(), "stopped"),
                        random.nextInt(MAX_STOP_DELAY_MS),
                        TimeUnit.MILLISECONDS);
            } else {
                end(task, current.startNumber(), "stopped");
            }
        }
        highestClosedRun.merge(task, run, Math::max);
    }

    private void extendLeaseAndAwaitEnds(JsonNode body) {
        extendLease(body);
        long acknowledged = body.path("ackedUpto").asLong(0);
        ended.removeIf(end -> end.number() <= acknowledged);
        long untilNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(body.path("waitMs").asLong(0));
        while (ended.isEmpty() && System.nanoTime() < untilNanos) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, untilNanos - System.nanoTime());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        endLapsedRuns();
    }

    /** Ends the runs whose lease has expired. */
    public synchronized void expireLapsedRuns() {
        endLapsedRuns();
    }

    private void extendLease(JsonNode body) {
        long endMs = Math.min(body.path("deadlineMs").asLong(0), clockMs() + MAX_LEASE_MS);
        leaseEndMs = Math.max(leaseEndMs, endMs);
    }

    private long leaseEndNanos() {
        return startedNanos + (long) (TimeUnit.MILLISECONDS.toNanos(leaseEndMs) / clockRate());
    }

    private void endLapsedRuns() {
        if (clockMs() > leaseEndMs) {
            ImmutableList.copyOf(running.values()).forEach(run -> end(run.task(), run.startNumber(), "lapsed"));
        }
    }

    private Object report() {
        return ImmutableMap.of(
                "clockMs",
                clockMs(),
                "born",
                bornMs,
                "running",
                running.values().stream()
                        .map(run -> ImmutableList.of(run.task(), run.run(), "", run.percentDone(clockMs())))
                        .toList(),
                "ended",
                ended.stream()
                        .map(end -> ImmutableList.of(end.number(), end.task(), end.run(), end.outcome(), ""))
                        .toList());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.shutdownNow();
    }
}
