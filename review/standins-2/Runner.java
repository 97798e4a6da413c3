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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A runner: starts whatever it is told to start, under a lease and a fencing token. The spec of a task is its running
 * time in milliseconds.
 */
final class Runner implements AutoCloseable {
    private static final long HOLD_MAX_MS = 1_000;
    private static final int STOP_MS = 20;
    private static final double CLOCK_RATE = 0.98;

    /** Is told of the starts and ends of runs while the runner's lock is held. */
    interface Listener {
        void onStart(Runner runner, String task, int run, String spec, List<String> present);

        void onEnd(Runner runner, String task, int run, String how);
    }

    /** Kind of a life of the runner. */
    record Kind(int cpu, int memMb, List<String> labels) {}

    private record Running(String task, int run, long startedMs, long durationMs, Object key) {}

    private record Ended(long number, String task, int run, String how) {}

    final String id;
    private HttpServer server;
    private int port;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Listener listener;
    private Kind kind;
    private boolean up = true;
    private boolean draining;
    private long bornMs = System.currentTimeMillis();
    private long startedNanos = System.nanoTime();
    private long fence;
    private long leaseEndMs;
    private long lastEnd;
    private long seq;
    private int life;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Integer> highest = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();

    Runner(String id, Kind kind, Listener listener) throws IOException {
        this.id = id;
        this.kind = kind;
        this.listener = listener;
        listen();
    }

    /** Listens on a free port, and on the same one again after a crash. */
    private void listen() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        port = server.getAddress().getPort();
    }

    int port() {
        return port;
    }

    synchronized Kind kind() {
        return kind;
    }

    synchronized boolean up() {
        return up;
    }

    synchronized void drain(boolean now) {
        draining = now;
    }

    private long clockMs() {
        return 1 + (long) (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) * CLOCK_RATE);
    }

    /** Returns the entry of the runner in the store. */
    synchronized String entry(String service, String zone) {
        StringBuilder labels = new StringBuilder();
        kind.labels().forEach(label -> labels.append(labels.length() == 0 ? "" : ",").append('"').append(label).append('"'));
        return "{\"service\":\"" + service + "\",\"addr\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + (draining ? "draining" : "ready")
                + "\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" + kind.cpu() + ",\"memMb\":" + kind.memMb()
                + ",\"gpu\":0},\"labels\":[" + labels + "],\"seq\":" + ++seq + ",\"born\":" + bornMs + "}";
    }

    /** Ends the process: everything that runs ends, and every connection is closed. */
    void crash() {
        endLife();
        server.stop(0);
    }

    private synchronized void endLife() {
        lapse();
        up = false;
        life++;
        new ArrayList<>(running.values()).forEach(run -> {
            running.remove(run.task());
            listener.onEnd(this, run.task(), run.run(), "crashed");
        });
        notifyAll();
    }

    /** Starts again under the same id, as a runner of a kind that may differ, without any memory. */
    synchronized void restart(Kind newKind) throws IOException {
        listen();
        kind = newKind;
        highest.clear();
        ended.clear();
        lastEnd = 0;
        fence = 0;
        leaseEndMs = 0;
        startedNanos = System.nanoTime();
        bornMs = System.currentTimeMillis();
        up = true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        int status = 200;
        String answer;
        synchronized (this) {
            int lifeBefore = life;
            if (!up) {
                exchange.close();
                return;
            }
            lapse();
            String refusal = "";
            if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (number(body, "fence") < fence) {
                refusal = "fence";
            } else {
                fence = number(body, "fence");
                switch (exchange.getRequestURI().getPath()) {
                    case "/api/run-start" -> refusal = start(body);
                    case "/api/run-stop" -> stop(text(body, "task"), (int) number(body, "run"));
                    default -> hold(body);
                }
            }
            if (life != lifeBefore) {
                exchange.close();
                return;
            }
            status = status == 421 ? 421 : refusal.isEmpty() ? 200 : 409;
            answer = !refusal.isEmpty()
                    ? "{\"clockMs\":" + clockMs() + ",\"reason\":\"" + refusal + "\"}"
                    : exchange.getRequestURI().getPath().equals("/api/hold")
                            ? lists()
                            : "{\"clockMs\":" + clockMs() + "}";
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static long number(String body, String field) {
        Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : 0;
    }

    private static String text(String body, String field) {
        Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
        return found.find() ? found.group(1) : "";
    }

    private void extend(String body) {
        leaseEndMs = Math.max(leaseEndMs, Math.min(number(body, "deadlineMs"), clockMs() + HOLD_MAX_MS));
    }

    private String start(String body) {
        String task = text(body, "task");
        int run = (int) number(body, "run");
        if (number(body, "deadlineMs") < clockMs()) {
            return "late";
        }
        extend(body);
        Running present = running.get(task);
        if (present != null && present.run() == run) {
            return "";
        }
        if (highest.getOrDefault(task, 0) >= run || present != null) {
            return "old";
        }
        String spec = text(body, "spec");
        long durationMs = Long.parseLong(spec);
        listener.onStart(this, task, run, spec, new ArrayList<>(running.keySet()));
        Object key = new Object();
        running.put(task, new Running(task, run, clockMs(), durationMs, key));
        timer.schedule(() -> end(task, key, "done"), durationMs, TimeUnit.MILLISECONDS);
        return "";
    }

    private void stop(String task, int run) {
        highest.merge(task, run, Math::max);
        Running present = running.get(task);
        if (present != null && present.run() <= run) {
            timer.schedule(() -> end(task, present.key(), "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void end(String task, Object key, String how) {
        lapse();
        Running present = running.get(task);
        if (present != null && present.key() == key) {
            running.remove(task);
            highest.merge(task, present.run(), Math::max);
            ended.add(new Ended(++lastEnd, task, present.run(), how));
            listener.onEnd(this, task, present.run(), how);
            notifyAll();
        }
    }

    /** Ends everything if the lease is over. */
    synchronized void lapse() {
        if (up && clockMs() > leaseEndMs) {
            new ArrayList<>(running.values()).forEach(run -> {
                running.remove(run.task());
                highest.merge(run.task(), run.run(), Math::max);
                ended.add(new Ended(++lastEnd, run.task(), run.run(), "lapsed"));
                listener.onEnd(this, run.task(), run.run(), "lapsed");
            });
        }
    }

    private void hold(String body) {
        extend(body);
        long acked = number(body, "ackedUpto");
        ended.removeIf(end -> end.number() <= acked);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(number(body, "waitMs"));
        int lifeBefore = life;
        while (life == lifeBefore && ended.isEmpty() && System.nanoTime() < untilNanos) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, untilNanos - System.nanoTime()));
            } catch (InterruptedException e) {
                return;
            }
        }
        lapse();
    }

    private String lists() {
        StringBuilder text = new StringBuilder("{\"clockMs\":" + clockMs() + ",\"born\":" + bornMs + ",\"running\":[");
        String comma = "";
        for (Running run : running.values()) {
            long percent = run.durationMs() == 0 ? 0 : Math.min(100, (clockMs() - run.startedMs()) * 100 / run.durationMs());
            text.append(comma).append("[\"" + run.task() + "\"," + run.run() + ",\"\"," + percent + "]");
            comma = ",";
        }
        text.append("],\"ended\":[");
        comma = "";
        for (Ended end : ended) {
            text.append(comma).append("[" + end.number() + ",\"" + end.task() + "\"," + end.run() + ",\"" + end.how() + "\",\"\"]");
            comma = ",";
        }
        return text.append("]}").toString();
    }

    @Override
    public void close() {
        server.stop(0);
        timer.shutdownNow();
        threads.shutdownNow();
    }
}
