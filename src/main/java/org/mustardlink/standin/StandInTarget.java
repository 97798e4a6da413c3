package org.mustardlink.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.errors.CodedException;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;
import org.mustardlink.target.TargetProtocol;

/**
 * A stand-in for a target, with slots, a speed and failure modes, over HTTP.
 *
 * <p>The payload of a task is {@code {"runMs": n, "answer": "text"}}; the task runs for {@code runMs / speed}
 * milliseconds. {@code PUT /mode} takes the name of a {@link Mode}; {@code GET /starts} returns the number of starts
 * by task id.
 */
public final class StandInTarget implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int THREADS = 4;

    private final Settings settings;
    private final ScheduledExecutorService timer;
    private final HttpServer server;
    private final ConnectionCounter connections;
    private final Map<String, RunningTask> runningTasks = new HashMap<>();
    private final Map<String, Integer> startsByTask = new HashMap<>();
    private Mode mode = Mode.NORMAL;
    private int busySlots;
    private long refusedCount;
    private long stopCount;
    private long probeCount;

    /**
     * Numbers of messages received since the start.
     *
     * @param starts number of tasks started
     * @param refused number of starts refused
     * @param stops number of requests to stop a task
     * @param probes number of all other requests, health checks included
     * @param peakConnections largest number of connections open at once
     */
    public record Messages(long starts, long refused, long stops, long probes, int peakConnections) {}

    /**
     * Settings of a stand-in target.
     *
     * @param slots number of tasks that run at once
     * @param speed factor by which tasks run faster than at speed 1
     */
    public record Settings(int slots, double speed) {}

    /** Failure modes of a stand-in target. */
    public enum Mode {
        /** Runs every task. */
        NORMAL,
        /** Fails every task immediately. */
        FAIL_FAST,
        /** Accepts every task and never answers. */
        STALL,
        /** Runs every task and answers with a body that does not match its digest. */
        DAMAGE,
        /** Reports all slots as free. */
        MISREPORT,
        /** Refuses new tasks because the target is draining. */
        DRAINING
    }

    /**
     * Payload of a task.
     *
     * @param runMs run time at speed 1, in milliseconds
     * @param answer text that the task returns
     */
    public record Payload(long runMs, String answer) {}

    private record RunningTask(Response response, ScheduledFuture<?> endTimer) {}

    private StandInTarget(InetSocketAddress address, Settings settings) {
        this.settings = settings;
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "standin-target");
            thread.setDaemon(true);
            return thread;
        });
        connections = new ConnectionCounter();
        server = HttpServers.startNonBlocking(address, THREADS, this::handleRequest, connections);
    }

    /** Starts a stand-in that listens on an address. */
    public static StandInTarget start(InetSocketAddress address, Settings settings) {
        return new StandInTarget(address, settings);
    }

    /** Returns the address on which the stand-in listens. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Switches the failure mode. */
    public synchronized void switchMode(Mode next) {
        mode = next;
    }

    /** Returns the number of starts of each task, by task id. */
    public synchronized ImmutableMap<String, Integer> startsByTask() {
        return ImmutableMap.copyOf(startsByTask);
    }

    /** Returns the numbers of messages received since the start. */
    public synchronized Messages messages() {
        long started =
                startsByTask.values().stream().mapToLong(Integer::longValue).sum();
        return new Messages(started, refusedCount, stopCount, probeCount, connections.peak());
    }

    /** Returns the number of slots in use. */
    public synchronized int busySlots() {
        return busySlots;
    }

    @Override
    public void close() {
        server.shutdownNow();
        timer.shutdownNow();
    }

    private void handleRequest(Request request, Response response) {
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        try {
            if (path.equals(TargetProtocol.TASKS_PATH) && method.equals("POST")) {
                startTask(request, response, HttpServers.readBody(request, MAX_BODY_BYTES));
            } else if (path.startsWith(TargetProtocol.TASKS_PATH + '/') && method.equals("DELETE")) {
                stopTask(path.substring(TargetProtocol.TASKS_PATH.length() + 1));
                HttpServers.write(response, 200, "text/plain", "");
            } else if (path.equals("/mode")) {
                switchMode(Mode.valueOf(HttpServers.readBody(request, MAX_BODY_BYTES)));
                HttpServers.write(response, 200, "text/plain", "");
            } else if (path.equals("/starts")) {
                HttpServers.write(response, 200, "application/json", Json.write(startsByTask()));
            } else {
                countProbe();
                HttpServers.write(response, 200, "text/plain", "ok");
            }
        } catch (CodedException | IllegalArgumentException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
        }
    }

    private synchronized void startTask(Request request, Response response, String body) {
        String task = request.getHeader(TargetProtocol.TASK_HEADER);
        if (mode == Mode.DRAINING) {
            refuseStart(response, task, TargetProtocol.NOT_RUN_DRAINING);
            return;
        }
        if (busySlots >= settings.slots()) {
            refuseStart(response, task, TargetProtocol.NOT_RUN_BUSY);
            return;
        }
        startsByTask.merge(task, 1, Integer::sum);
        if (mode == Mode.FAIL_FAST) {
            writeAnswer(response, task, 500, "failed", "failed");
            return;
        }
        busySlots++;
        response.suspend();
        Payload payload = parsePayload(body);
        Long leaseMs = Optional.ofNullable(request.getHeader(TargetProtocol.LEASE_HEADER))
                .map(Longs::tryParse)
                .orElse(Long.MAX_VALUE);
        long runMicros = Math.round(payload.runMs() * 1000 / settings.speed());
        boolean leaseExpires = mode == Mode.STALL || runMicros > leaseMs * 1000;
        long endMicros = leaseExpires ? Math.min(leaseMs, 3_600_000) * 1000 : runMicros;
        runningTasks.put(
                task,
                new RunningTask(
                        response,
                        timer.schedule(
                                () -> endTask(task, payload.answer(), !leaseExpires),
                                endMicros,
                                TimeUnit.MICROSECONDS)));
    }

    private synchronized void countProbe() {
        probeCount++;
    }

    private static Payload parsePayload(String body) {
        try {
            return Json.read(body, Payload.class);
        } catch (JsonProcessingException e) {
            return new Payload(1, body);
        }
    }

    private synchronized void endTask(String task, String answer, boolean finished) {
        RunningTask runningTask = runningTasks.remove(task);
        if (runningTask == null) {
            return;
        }
        busySlots--;
        if (mode == Mode.STALL) {
            return;
        }
        if (finished) {
            writeAnswer(runningTask.response(), task, 200, answer, mode == Mode.DAMAGE ? answer + "?" : answer);
        } else {
            writeAnswer(runningTask.response(), task, 504, "lease expired", "lease expired");
        }
        runningTask.response().resume();
    }

    private synchronized void stopTask(String task) {
        stopCount++;
        RunningTask runningTask = runningTasks.get(task);
        if (runningTask != null) {
            runningTask.endTimer().cancel(false);
            endTask(task, "stopped", false);
        }
    }

    private void refuseStart(Response response, String task, String reason) {
        refusedCount++;
        response.setHeader(TargetProtocol.NOT_RUN_HEADER, reason);
        writeAnswer(response, task, 503, reason, reason);
    }

    private void writeAnswer(Response response, String task, int status, String body, String digestedBody) {
        response.setHeader(TargetProtocol.TASK_HEADER, task);
        response.setHeader(TargetProtocol.DIGEST_HEADER, TargetProtocol.digest(digestedBody));
        response.setHeader(TargetProtocol.BUSY_HEADER, Integer.toString(mode == Mode.MISREPORT ? 0 : busySlots));
        response.setHeader(TargetProtocol.SLOTS_HEADER, Integer.toString(settings.slots()));
        HttpServers.write(response, status, "text/plain", body);
    }
}
