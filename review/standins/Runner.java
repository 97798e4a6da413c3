import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in for a runner of the platform, as PROTOCOL.md describes it under "Running tasks". The spec of a task is its
 * work in milliseconds. Thread-safe.
 */
final class Runner {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long HOLD_MAX_MS = 1_000;
    /** Time that a stop takes; the pages allow 50 ms. */
    private static final long STOP_MS = 20;

    /** One run of a task, from its start to its end. */
    static final class Run {
        final String runner;
        final String service;
        final List<String> labels;
        final String task;
        final int number;
        final long startNanos;
        final long workMs;
        long endNanos = Long.MAX_VALUE;
        String how = "running";
        long stopAtNanos = Long.MAX_VALUE;

        Run(Runner runner, String task, int number, long workMs) {
            this.runner = runner.id;
            this.service = runner.service;
            this.labels = runner.labels;
            this.task = task;
            this.number = number;
            this.workMs = workMs;
            this.startNanos = System.nanoTime();
        }
    }

    final String id;
    final String service;
    final String zone;
    private final int port;
    private final int cpu;
    private final Record record;
    private volatile List<String> labels;
    private HttpServer server;
    private ExecutorService threads;
    private long startedNanos;
    private long bornMs;
    private long entrySequence;
    private long fence;
    private long leaseEndMs;
    private long lastEnd;
    private boolean up;
    private volatile boolean cut;
    private volatile long lateMs;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestClosed = new HashMap<>();
    private final List<Object[]> ended = new ArrayList<>();

    Runner(String id, String service, String zone, int cpu, List<String> labels, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.cpu = cpu;
        this.labels = labels;
        this.record = record;
        this.port = Deployment.freePort();
        Thread clock = new Thread(this::runClock, "clock-" + id);
        clock.setDaemon(true);
        clock.start();
        begin();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Begins a life: nothing runs, and no fencing token has been seen. */
    private synchronized void begin() {
        running.clear();
        highestClosed.clear();
        ended.clear();
        lastEnd = 0;
        fence = 0;
        leaseEndMs = 0;
        startedNanos = System.nanoTime();
        bornMs = Math.max(bornMs + 1, System.currentTimeMillis());
        up = true;
    }

    /** Starts to answer calls. */
    synchronized void listen() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 100);
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "runner-" + id);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Ends everything that runs and stops answering. */
    void crash() {
        synchronized (this) {
            up = false;
            for (Run run : List.copyOf(running.values())) {
                end(run, "crashed", System.nanoTime());
            }
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
    }

    /** Cuts the runner off from all hosts, or ends the cut; calls during a cut get no response. */
    void setCut(boolean cutOff) {
        cut = cutOff;
    }

    /** Leaves the next start order without a response and carries it out later. */
    void delayNextStart(long millis) {
        lateMs = millis;
    }

    boolean hasDelayedStart() {
        return lateMs == 0;
    }

    /** Begins a new life under the same id at the same address, of a kind that the labels state. */
    synchronized void beginAgain(List<String> newLabels) {
        labels = newLabels;
        begin();
    }

    /** Returns the runner's entry for the store. */
    synchronized String entry() {
        return write(entryFields());
    }

    /** Returns the fields of the entry. */
    synchronized Map<String, Object> entryFields() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("addr", address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("coldLeftMs", 0);
        entry.put("capacity", Map.of("cpu", cpu, "memMb", 131_072, "gpu", 0));
        entry.put("labels", labels);
        entry.put("clockMs", clockMs());
        entry.put("born", bornMs);
        entry.put("seq", ++entrySequence);
        return entry;
    }

    synchronized boolean isUp() {
        return up;
    }

    private long clockMs() {
        return 1 + (System.nanoTime() - startedNanos) / 1_000_000;
    }

    private void runClock() {
        try {
            while (true) {
                Thread.sleep(1);
                synchronized (this) {
                    advance();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the runs that are done, stopped or without a lease by now. */
    private void advance() {
        if (!up) {
            return;
        }
        long now = System.nanoTime();
        boolean lapsed = clockMs() > leaseEndMs;
        for (Run run : List.copyOf(running.values())) {
            long doneNanos = run.startNanos + run.workMs * 1_000_000;
            if (lapsed) {
                end(run, "lapsed", now);
            } else if (now >= run.stopAtNanos) {
                end(run, "stopped", now);
            } else if (now >= doneNanos) {
                end(run, "done", now);
            }
        }
    }

    private void end(Run run, String how, long now) {
        running.remove(run.task);
        highestClosed.merge(run.task, run.number, Math::max);
        ended.add(new Object[] {++lastEnd, run.task, run.number, how, ""});
        run.endNanos = now;
        run.how = how;
        record.line("run " + how + ": " + run.task + " run " + run.number + " on " + id);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        long delayMs = lateMs;
        if (delayMs > 0 && exchange.getRequestURI().getPath().equals("/api/run-start")) {
            lateMs = 0;
            record.line("no response to the start of " + body.path("task").asText() + " on " + id);
            carryOutLater(body, delayMs);
            awaitEndOfCut(delayMs);
            exchange.close();
            return;
        }
        if (cut) {
            awaitEndOfCut(Long.MAX_VALUE);
            exchange.close();
            return;
        }
        String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        int status = 200;
        String answer;
        synchronized (this) {
            if (!up) {
                exchange.close();
                return;
            }
            advance();
            String reason = "";
            if (instance != null && !instance.equals(id)) {
                status = 421;
                reason = "instance";
            } else if (body.path("fence").asLong(0) < fence) {
                reason = "fence";
            } else {
                fence = body.path("fence").asLong(0);
                switch (exchange.getRequestURI().getPath()) {
                    case "/api/run-start" -> reason = start(body);
                    case "/api/run-stop" -> stop(body);
                    case "/api/hold" -> hold(body);
                    default -> status = 404;
                }
            }
            if (!up) {
                exchange.close();
                return;
            }
            status = !reason.isEmpty() && status == 200 ? 409 : status;
            answer = reason.isEmpty() ? report() : write(Map.of("clockMs", clockMs(), "born", bornMs, "reason", reason));
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try {
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller is gone; its next call learns what was done.
        }
        exchange.close();
    }

    private void carryOutLater(JsonNode body, long delayMs) {
        Thread later = new Thread(() -> {
            sleep(delayMs);
            synchronized (this) {
                if (up && body.path("fence").asLong(0) >= fence) {
                    fence = body.path("fence").asLong(0);
                    String reason = start(body);
                    record.line("late start of " + body.path("task").asText() + " on " + id + ": "
                            + (reason.isEmpty() ? "carried out" : reason));
                } else {
                    record.line("late start of " + body.path("task").asText() + " on " + id + ": refused");
                }
            }
        });
        later.setDaemon(true);
        later.start();
    }

    private void awaitEndOfCut(long atMostMs) {
        long untilNanos = System.nanoTime() + Math.min(atMostMs, 60_000) * 1_000_000;
        while (System.nanoTime() < untilNanos && (cut || atMostMs < Long.MAX_VALUE)) {
            sleep(20);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.number == number) {
            extendLease(body);
            return "";
        }
        if (highestClosed.getOrDefault(task, 0) >= number) {
            extendLease(body);
            return "old";
        }
        if (body.path("deadlineMs").asLong(0) <= clockMs()) {
            return "late";
        }
        extendLease(body);
        Run run = new Run(this, task, number, Long.parseLong(body.path("spec").asText()));
        running.put(task, run);
        record.started(run);
        return "";
    }

    private void stop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.number <= number) {
            present.stopAtNanos = Math.min(present.stopAtNanos, System.nanoTime() + STOP_MS * 1_000_000);
        }
        highestClosed.merge(task, number, Math::max);
    }

    private void hold(JsonNode body) {
        extendLease(body);
        long acked = body.path("ackedUpto").asLong(0);
        ended.removeIf(end -> (Long) end[0] <= acked);
        long untilNanos = System.nanoTime() + body.path("waitMs").asLong(0) * 1_000_000;
        while (up && ended.isEmpty() && System.nanoTime() < untilNanos) {
            try {
                wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        advance();
    }

    private void extendLease(JsonNode body) {
        leaseEndMs = Math.max(leaseEndMs, Math.min(body.path("deadlineMs").asLong(0), clockMs() + HOLD_MAX_MS));
    }

    private String report() {
        List<Object> runningRows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(100, (System.nanoTime() - run.startNanos) / 10_000 / Math.max(1, run.workMs));
            runningRows.add(List.of(run.task, run.number, "", percent, 1_000));
        }
        return write(Map.of("clockMs", clockMs(), "born", bornMs, "running", runningRows, "ended", ended));
    }

    static String write(Object document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
