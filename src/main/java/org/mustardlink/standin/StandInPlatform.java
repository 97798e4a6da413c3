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
 * A stand-in for the platform that serves an in-memory log with offsets and a list of hosts over HTTP.
 *
 * <p>{@code PUT /faults} takes {@link Faults}, {@code PUT /hosts} takes a list of {@link HostListing.Host}, and {@code
 * POST /expire/{stream}?before=} drops the records below an offset.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int THREADS = 8;

    private final Map<String, Stream> streams = new HashMap<>();
    private final Deque<TimedHostList> hostLists = new ArrayDeque<>();
    private final ScheduledExecutorService timer;
    private final HttpServer server;
    private Faults faults = Faults.none();

    private StandInPlatform(InetSocketAddress address) {
        hostLists.add(new TimedHostList(System.nanoTime(), ImmutableList.of()));
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "standin-platform");
            thread.setDaemon(true);
            return thread;
        });
        server = HttpServers.start(address, THREADS, new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                handleRequest(request, response);
            }
        });
    }

    /**
     * Faults that the stand-in can simulate.
     *
     * @param down whether every request is refused with status 503
     * @param slowMs delay of every request in milliseconds
     * @param loseAnswers whether appends take effect but are answered with status 504
     * @param listLagMs age of the list of hosts that is served, in milliseconds
     */
    public record Faults(boolean down, long slowMs, boolean loseAnswers, long listLagMs) {
        /** Returns the value without any fault. */
        public static Faults none() {
            return new Faults(false, 0, false, 0);
        }
    }

    private record TimedHostList(long sinceNanos, ImmutableList<HostListing.Host> hosts) {}

    private record PendingRead(Response response, long from, int max) {}

    private static final class Stream {
        private final List<String> records = new ArrayList<>();
        private final List<PendingRead> pendingReads = new ArrayList<>();
        private long earliestOffset;

        private long endOffset() {
            return earliestOffset + records.size();
        }
    }

    /** Starts a stand-in that listens on an address. */
    public static StandInPlatform start(InetSocketAddress address) {
        return new StandInPlatform(address);
    }

    /** Returns the address on which the stand-in listens. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Replaces the active faults. */
    public synchronized void injectFaults(Faults newFaults) {
        faults = newFaults;
    }

    /** Replaces the list of hosts. */
    public synchronized void publishHosts(ImmutableList<HostListing.Host> hosts) {
        hostLists.add(new TimedHostList(System.nanoTime(), hosts));
    }

    /** Drops the records of a stream below an offset. */
    public synchronized void expireRecords(String name, long before) {
        Stream stream = stream(name);
        long newEarliest = Math.min(before, stream.endOffset());
        while (stream.earliestOffset < newEarliest) {
            stream.records.remove(0);
            stream.earliestOffset++;
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
        timer.shutdownNow();
    }

    private void handleRequest(Request request, Response response) {
        try {
            String path = request.getRequestURI();
            if (!path.startsWith("/v1/")) {
                handleAdminRequest(request, response, path);
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
                    () -> servePlatformRequest(request, response, path, body, active),
                    active.slowMs(),
                    TimeUnit.MILLISECONDS);
        } catch (CodedException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
        }
    }

    private synchronized Faults faults() {
        return faults;
    }

    private void handleAdminRequest(Request request, Response response, String path) {
        String body = HttpServers.readBody(request, MAX_BODY_BYTES);
        try {
            if (path.equals("/faults")) {
                injectFaults(Json.read(body, Faults.class));
            } else if (path.equals("/hosts")) {
                publishHosts(ImmutableList.copyOf(Json.read(body, HostListing.Host[].class)));
            } else if (path.startsWith("/expire/")) {
                expireRecords(path.substring("/expire/".length()), longParameter(request, "before", 0));
            }
            HttpServers.write(response, 200, "application/json", "{}");
        } catch (JsonProcessingException e) {
            HttpServers.write(response, 400, "text/plain", e.getMessage());
        }
    }

    private void servePlatformRequest(Request request, Response response, String path, String body, Faults active) {
        if (path.equals("/v1/hosts")) {
            respond(response, hostListing(active.listLagMs()));
            return;
        }
        String name = path.substring("/v1/streams/".length(), path.lastIndexOf('/'));
        if (request.getMethod().getMethodString().equals("POST")) {
            appendRecords(response, name, body, active);
        } else {
            int max = Ints.saturatedCast(longParameter(request, "max", 1000));
            readOrWait(
                    new PendingRead(response, longParameter(request, "from", 0), max),
                    name,
                    longParameter(request, "waitMs", 0));
        }
    }

    private static long longParameter(Request request, String name, long defaultValue) {
        return Optional.ofNullable(request.getParameter(name))
                .map(Longs::tryParse)
                .orElse(defaultValue);
    }

    private synchronized PlatformClient.ListingReply hostListing(long lagMs) {
        long asOf = System.nanoTime() - Duration.ofMillis(lagMs).toNanos();
        TimedHostList visible = hostLists.getFirst();
        for (TimedHostList list : hostLists) {
            if (list.sinceNanos() <= asOf) {
                visible = list;
            }
        }
        return new PlatformClient.ListingReply(lagMs, visible.hosts());
    }

    private synchronized void appendRecords(Response response, String name, String body, Faults active) {
        Stream stream = stream(name);
        long first = stream.endOffset();
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
            respond(response, new PlatformClient.AppendReply(first));
        }
        List<PendingRead> waiting = List.copyOf(stream.pendingReads);
        stream.pendingReads.clear();
        waiting.forEach(pendingRead -> respondWithPage(pendingRead, stream));
    }

    private synchronized void readOrWait(PendingRead pendingRead, String name, long waitMs) {
        Stream stream = stream(name);
        if (waitMs <= 0 || stream.endOffset() > pendingRead.from()) {
            respondWithPage(pendingRead, stream);
            return;
        }
        stream.pendingReads.add(pendingRead);
        Future<?> _pending = timer.schedule(() -> endWait(pendingRead, stream), waitMs, TimeUnit.MILLISECONDS);
    }

    private synchronized void endWait(PendingRead pendingRead, Stream stream) {
        if (stream.pendingReads.remove(pendingRead)) {
            respondWithPage(pendingRead, stream);
        }
    }

    private static void respondWithPage(PendingRead pendingRead, Stream stream) {
        long first = Math.min(Math.max(pendingRead.from(), stream.earliestOffset), stream.endOffset());
        long next = Math.min(first + pendingRead.max(), stream.endOffset());
        List<String> records =
                stream.records.subList((int) (first - stream.earliestOffset), (int) (next - stream.earliestOffset));
        respond(
                pendingRead.response(),
                new PlatformClient.PageReply(
                        first, List.copyOf(records), next, stream.earliestOffset, stream.endOffset()));
    }

    private static void respond(Response response, Object value) {
        HttpServers.write(response, 200, "application/json", Json.write(value));
        response.resume();
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, _unused -> new Stream());
    }
}
