package org.mustardlink.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.errors.CodedException;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/**
 * A stand-in for the platform: an in-memory log with offsets and a list of hosts, over HTTP.
 *
 * <p>{@code PUT /faults} takes {@link Faults}; {@code PUT /hosts} takes a list of {@link HostListing.Host}; {@code POST
 * /expire/{stream}?before=} drops old records.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int THREADS = 8;

    private final Map<String, Stream> streams = new HashMap<>();
    private final Deque<TimedList> lists = new ArrayDeque<>();
    private final ScheduledExecutorService timer;
    private final HttpServer server;
    private Faults faults = Faults.none();

    private StandInPlatform(InetSocketAddress address) {
        lists.add(new TimedList(System.nanoTime(), ImmutableList.of()));
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "standin-platform");
            thread.setDaemon(true);
            return thread;
        });
        server = HttpServers.start(address, THREADS, new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                handle(request, response);
            }
        });
    }

    /**
     * Faults of the stand-in.
     *
     * @param down whether every call is refused with status 503
     * @param slowMs delay of every call in milliseconds
     * @param loseAnswers whether appends take effect and their answer is lost
     * @param listLagMs how far the list of hosts lags, in milliseconds
     */
    public record Faults(boolean down, long slowMs, boolean loseAnswers, long listLagMs) {
        /** Returns no fault. */
        public static Faults none() {
            return new Faults(false, 0, false, 0);
        }
    }

    private record TimedList(long sinceNanos, ImmutableList<HostListing.Host> hosts) {}

    private record Waiter(Response response, long from, int max) {}

    private static final class Stream {
        private final List<String> records = new ArrayList<>();
        private final List<Waiter> waiters = new ArrayList<>();
        private long earliest;

        private long end() {
            return earliest + records.size();
        }
    }

    /** Starts a stand-in. */
    public static StandInPlatform start(InetSocketAddress address) {
        return new StandInPlatform(address);
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Switches faults. */
    public synchronized void inject(Faults injected) {
        faults = injected;
    }

    /** Replaces the list of hosts. */
    public synchronized void publishHosts(ImmutableList<HostListing.Host> hosts) {
        lists.add(new TimedList(System.nanoTime(), hosts));
    }

    /** Drops records of a stream below an offset. */
    public synchronized void expire(String name, long before) {
        Stream stream = stream(name);
        long until = Math.min(before, stream.end());
        while (stream.earliest < until) {
            stream.records.remove(0);
            stream.earliest++;
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
        timer.shutdownNow();
    }

    private void handle(Request request, Response response) {
        try {
            String path = request.getRequestURI();
            if (!path.startsWith("/v1/")) {
                administer(request, response, path);
                return;
            }
            String body = HttpServers.readBody(request, MAX_BODY_BYTES);
            Faults active = faults();
            if (active.down()) {
                HttpServers.write(response, 503, "text/plain", "down");
                return;
            }
            response.suspend();
            Future<?> _pending = timer.schedule(
                    () -> serve(request, response, path, body, active), active.slowMs(), TimeUnit.MILLISECONDS);
        } catch (CodedException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
        }
    }

    private synchronized Faults faults() {
        return faults;
    }

    private void administer(Request request, Response response, String path) {
        String body = HttpServers.readBody(request, MAX_BODY_BYTES);
        try {
            if (path.equals("/faults")) {
                inject(Json.read(body, Faults.class));
            } else if (path.equals("/hosts")) {
                publishHosts(ImmutableList.copyOf(Json.read(body, HostListing.Host[].class)));
            } else if (path.startsWith("/expire/")) {
                expire(path.substring("/expire/".length()), number(request, "before", 0));
            }
            HttpServers.write(response, 200, "application/json", "{}");
        } catch (JsonProcessingException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
        }
    }

    private void serve(Request request, Response response, String path, String body, Faults active) {
        if (path.equals("/v1/hosts")) {
            answer(response, listing(active.listLagMs()));
            return;
        }
        String name = path.substring("/v1/streams/".length(), path.lastIndexOf('/'));
        if (request.getMethod().getMethodString().equals("POST")) {
            append(response, name, body, active);
        } else {
            int max = Ints.saturatedCast(number(request, "max", 1000));
            read(new Waiter(response, number(request, "from", 0), max), name, number(request, "waitMs", 0));
        }
    }

    private static long number(Request request, String name, long otherwise) {
        return Optional.ofNullable(request.getParameter(name))
                .map(Longs::tryParse)
                .orElse(otherwise);
    }

    private synchronized PlatformClient.ListingReply listing(long lagMs) {
        long asOf = System.nanoTime() - Duration.ofMillis(lagMs).toNanos();
        TimedList seen = lists.getFirst();
        for (TimedList list : lists) {
            if (list.sinceNanos() <= asOf) {
                seen = list;
            }
        }
        return new PlatformClient.ListingReply(lagMs, seen.hosts());
    }

    private synchronized void append(Response response, String name, String body, Faults active) {
        Stream stream = stream(name);
        long first = stream.end();
        try {
            stream.records.addAll(
                    Json.read(body, PlatformClient.AppendBody.class).records());
        } catch (JsonProcessingException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
            response.resume();
            return;
        }
        if (active.loseAnswers()) {
            HttpServers.write(response, 504, "text/plain", "answer lost");
            response.resume();
        } else {
            answer(response, new PlatformClient.AppendReply(first));
        }
        List<Waiter> ready = List.copyOf(stream.waiters);
        stream.waiters.clear();
        ready.forEach(waiter -> answerPage(waiter, stream));
    }

    private synchronized void read(Waiter waiter, String name, long waitMs) {
        Stream stream = stream(name);
        if (waitMs <= 0 || stream.end() > waiter.from()) {
            answerPage(waiter, stream);
            return;
        }
        stream.waiters.add(waiter);
        Future<?> _pending = timer.schedule(() -> timeOut(waiter, stream), waitMs, TimeUnit.MILLISECONDS);
    }

    private synchronized void timeOut(Waiter waiter, Stream stream) {
        if (stream.waiters.remove(waiter)) {
            answerPage(waiter, stream);
        }
    }

    private static void answerPage(Waiter waiter, Stream stream) {
        long first = Math.min(Math.max(waiter.from(), stream.earliest), stream.end());
        long next = Math.min(first + waiter.max(), stream.end());
        List<String> records = stream.records.subList((int) (first - stream.earliest), (int) (next - stream.earliest));
        answer(
                waiter.response(),
                new PlatformClient.PageReply(first, List.copyOf(records), next, stream.earliest, stream.end()));
    }

    private static void answer(Response response, Object value) {
        HttpServers.write(response, 200, "application/json", Json.write(value));
        response.resume();
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, _unused -> new Stream());
    }
}
