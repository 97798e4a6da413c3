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
 * A stand-in for a target: runs tasks under leases, keeps a fencing token, and lists what runs and has ended.
 * Thread-safe.
 *
 * <p>A task's payload is its running time in milliseconds. The target doesn't guard its capacity; it counts what must not
 * happen instead, see {@link #violations}.
 */
public final class StandInRunner implements AutoCloseable {
    /** Reports that wait and orders that are carried out late hold a thread each. */
    private static final int THREADS = 32;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long MAX_LEASE_MS = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_RUN_MS = 20;
    private static final long INITIAL_BORN_MS = 1_700_000_000_000L;
    /** The platform's pages allow 50 ms for a stop. */
    private static final int MAX_STOP_DELAY_MS = 50;
    /** Bounds of the time after which an unanswered order is carried out. */
    private static final int MIN_ORDER_DELAY_MS = 100;

    private static final int MAX_ORDER_DELAY_MS = 8_000;
    /** Of the orders to a target that leaves some unanswered, one in this many. */
    private static final int LATE_ONE_IN = 3;
    /** Times by which the tasks of a slow target last longer. */
    private static final int SLOW_FACTOR = 3;
    /** The platform's pages allow a target's clock to be slow by 2 percent. */
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
        /** Runs what it is told. */
        NORMAL,
        /** Carries starts out and answers them with 500, as if the answer had been lost. */
        LOSES_ANSWERS,
        /** Fails every task at once. */
        FAILS,
        /** Starts tasks that never end. */
        HANGS,
        /** Refuses every start as unhealthy. */
        REFUSES,
        /** Carries orders out and breaks the connection instead of answering. */
        BREAKS_OFF,
        /** Leaves some orders unanswered and carries them out up to 8 s later. */
        LATE,
        /** Starts tasks that last longer. */
        SLOW
    }

    /** Hears of the runs of a target, in order, under the target's lock. */
    public interface RunListener {
        /** A run has begun. */
        void onRunStarted(String target, String task, int run, long nanos);

        /** A run has ended; {@code how} is as in the target's report, or {@code crashed}. */
        void onRunEnded(String target, String task, int run, String how, long nanos);
    }

    private static final RunListener NO_LISTENER = new RunListener() {
        @Override
        public void onRunStarted(String _target, String _task, int _run, long _nanos) {}

        @Override
        public void onRunEnded(String _target, String _task, int _run, String _how, long _nanos) {}
    };

    private record Running(String task, int run, long startNumber, long startedAtMs, long durationMs) {
        /** Returns the share of the work that is done. */
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
     * @param slots tasks that fit at once, each with one processor
     */
    public static StandInRunner start(String id, int slots, InetSocketAddress address) {
        return new StandInRunner(id, slots, address, NO_LISTENER, 0);
    }

    /**
     * Starts a target that takes all the liberties that the platform's pages allow it: its clock is slow by 2 percent, and a
     * stop takes some time.
     *
     * @param slots tasks that fit at once, each with one processor
     * @param listener hears of every run
     * @param seed of its random choices
     */
    public static StandInRunner startAtProtocolLimits(
            String id, int slots, InetSocketAddress address, RunListener listener, long seed) {
        StandInRunner runner = new StandInRunner(id, slots, address, listener, seed);
        runner.atProtocolLimits = true;
        return runner;
    }

    /** Ends everything that runs and answers nothing from now on. */
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

    /** Starts a new life under the same id, in which the target holds and knows nothing of before. */
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

    /** Returns the target's entry in the platform's list. */
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

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Returns the id of this life. */
    public String id() {
        return id;
    }

    /** Changes how orders are carried out. */
    public synchronized void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Returns what must not happen and did: a start beyond the capacity. */
    public synchronized ImmutableList<String> violations() {
        return ImmutableList.copyOf(violations);
    }

    /** Returns the names of the tasks that run now. */
    public synchronized ImmutableList<String> runningTasks() {
        return running.values().stream().map(Running::task).collect(ImmutableList.toImmutableList());
    }

    /** Returns the number of starts so far. */
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
        boolean answerLost = false;
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
                    answerLost = mode == Mode.LOSES_ANSWERS;
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
        } else if (answerLost) {
            HttpServers.write(response, 500, "application/json", "");
        } else {
            HttpServers.write(response, status, "application/json", Json.write(document));
        }
    }

    /** Waits as an order does that is carried out late; others are carried out meanwhile. */
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

    /** Notes the ends of runs whose lease is over. */
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
