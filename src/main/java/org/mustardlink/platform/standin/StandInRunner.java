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
    private static final int THREADS = 8;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long MAX_LEASE_MS = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_RUN_MS = 20;

    private final String id;
    private final int slots;
    private final HttpServer server;
    private final ScheduledExecutorService timer;
    private final long startedNanos = System.nanoTime();
    private final Map<String, Running> running = new HashMap<>();
    private final Map<String, Integer> highestOver = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long ends;
    private long fence;
    private long leaseMs;
    private long starts;
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
        REFUSES
    }

    private record Running(String task, int run, long token, long sinceMs, long lengthMs) {
        /** Returns the share of the work that is done. */
        private long percent(long clockMs) {
            return lengthMs == 0 ? 0 : Math.min(100, (clockMs - sinceMs) * 100 / lengthMs);
        }
    }

    private record Ended(long number, String task, int run, String how) {}

    private StandInRunner(String id, int slots, InetSocketAddress address) {
        this.id = id;
        this.slots = slots;
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
        return new StandInRunner(id, slots, address);
    }

    /** Returns the target's entry in the platform's list. */
    public String entry(String service, String domain, String state) {
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
                .put("seq", 1)
                .buildOrThrow());
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** Returns the id of this life. */
    public String id() {
        return id;
    }

    /** Changes how orders are carried out. */
    public synchronized void setMode(Mode changed) {
        mode = changed;
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
    public synchronized long starts() {
        return starts;
    }

    private long clockMs() {
        return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    private void handle(Request request, Response response) throws IOException {
        JsonNode body = Json.mapper().readTree(HttpServers.readBody(request, MAX_BODY_BYTES));
        Object document;
        int status;
        boolean lost = false;
        synchronized (this) {
            expire();
            String refusal = refusal(request, body);
            switch (request.getRequestURI()) {
                case "/api/run-start" -> {
                    refusal = refusal.isEmpty() ? start(body) : refusal;
                    lost = mode == Mode.LOSES_ANSWERS;
                }
                case "/api/run-stop" -> {
                    if (refusal.isEmpty()) {
                        stop(body);
                    }
                }
                default -> {
                    if (refusal.isEmpty()) {
                        hold(body);
                    }
                }
            }
            status = refusal.isEmpty() ? OK : refusal.equals("other") ? 421 : refusal.equals("ill") ? 503 : CONFLICT;
            document = refusal.isEmpty() ? report() : ImmutableMap.of("clockMs", clockMs(), "reason", refusal);
        }
        if (lost) {
            HttpServers.write(response, 500, "application/json", "");
        } else {
            HttpServers.write(response, status, "application/json", Json.write(document));
        }
    }

    private String refusal(Request request, JsonNode body) {
        String instance = request.getHeader("X-Expect-Instance");
        if (instance != null && !instance.equals(id)) {
            return "other";
        }
        if (body.path("fence").asLong(0) < fence) {
            return "fence";
        }
        fence = body.path("fence").asLong(0);
        return "";
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        extendLease(body);
        if (mode == Mode.REFUSES) {
            return "ill";
        }
        if (body.path("deadlineMs").asLong() < clockMs()) {
            return "late";
        }
        Running present = running.get(task);
        if (present != null && present.run() == run) {
            return "";
        }
        if (highestOver.getOrDefault(task, 0) >= run) {
            return "old";
        }
        if (running.size() >= slots) {
            violations.add("start of " + task + " beyond the capacity");
        }
        if (present != null) {
            violations.add("second run of " + task);
        }
        long token = ++starts;
        long millis =
                Optional.ofNullable(Longs.tryParse(body.path("spec").asText())).orElse(DEFAULT_RUN_MS);
        running.put(task, new Running(task, run, token, clockMs(), mode == Mode.HANGS ? 0 : millis));
        if (mode == Mode.FAILS) {
            end(task, token, "failed");
        } else if (mode != Mode.HANGS) {
            ScheduledFuture<?> _scheduled = timer.schedule(() -> endLater(task, token), millis, TimeUnit.MILLISECONDS);
        }
        return "";
    }

    private synchronized void endLater(String task, long token) {
        expire();
        end(task, token, "done");
    }

    private void end(String task, long token, String how) {
        Running present = running.get(task);
        if (present != null && present.token() == token) {
            running.remove(task);
            highestOver.merge(task, present.run(), Math::max);
            ended.add(new Ended(++ends, task, present.run(), how));
            notifyAll();
        }
    }

    private void stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        Running present = running.get(task);
        if (present != null && present.run() <= run) {
            end(task, present.token(), "stopped");
        }
        highestOver.merge(task, run, Math::max);
    }

    private void hold(JsonNode body) {
        extendLease(body);
        long acknowledged = body.path("ackedUpto").asLong(0);
        ended.removeIf(end -> end.number() <= acknowledged);
        long until = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(body.path("waitMs").asLong(0));
        while (ended.isEmpty() && System.nanoTime() < until) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void extendLease(JsonNode body) {
        long until = Math.min(body.path("deadlineMs").asLong(0), clockMs() + MAX_LEASE_MS);
        leaseMs = Math.max(leaseMs, until);
    }

    private void expire() {
        if (clockMs() > leaseMs) {
            ImmutableList.copyOf(running.values()).forEach(run -> end(run.task(), run.token(), "lapsed"));
        }
    }

    private Object report() {
        return ImmutableMap.of(
                "clockMs",
                clockMs(),
                "running",
                running.values().stream()
                        .map(run -> ImmutableList.of(run.task(), run.run(), "", run.percent(clockMs())))
                        .toList(),
                "ended",
                ended.stream()
                        .map(end -> ImmutableList.of(end.number(), end.task(), end.run(), end.how(), ""))
                        .toList());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.shutdownNow();
    }
}
