package org.mustardlink.platform.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/**
 * An in-memory stand-in for the platform's store, with keyed topics of one partition. Thread-safe.
 *
 * <p>{@link #setMode} selects a failure mode. {@link #openView} serves the same records at another address with
 * rewritten values, for example with the addresses of proxies in place of those that the records contain.
 */
public final class StandInStore implements AutoCloseable {
    private static final int THREADS = 16;
    private static final int OK = 200;
    private static final int MAX_WAIT_MS = 30_000;
    /**
     * Delay of answers in mode SLOW: two orders of magnitude longer than usual, shorter than the clients' time-outs.
     */
    private static final int SLOW_DELAY_MS = 400;

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer server;
    private final List<HttpServer> views = new CopyOnWriteArrayList<>();
    private Mode mode = Mode.NORMAL;

    /** Failure modes. */
    public enum Mode {
        /** Answers every call without delay. */
        NORMAL,
        /** Answers every call with status 503 without carrying it out. */
        DOWN,
        /** Carries out appends but answers them with status 500, as if the answer had been lost. */
        LOSES_ANSWERS,
        /** Carries out appends but closes the connection instead of answering. */
        BREAKS_OFF,
        /** Delays every answer by {@link #SLOW_DELAY_MS}. */
        SLOW
    }

    private static final class StoredRecord {
        private final String key;
        private final byte[] value;

        private StoredRecord(String key, byte[] value) {
            this.key = key;
            this.value = value;
        }
    }

    private static final class Topic {
        private final List<StoredRecord> records = new ArrayList<>();
        private long firstOffset;

        private long endOffset() {
            return firstOffset + records.size();
        }
    }

    private StandInStore(InetSocketAddress address) {
        server = startServer(address, UnaryOperator.identity());
    }

    private HttpServer startServer(InetSocketAddress address, UnaryOperator<String> rewrite) {
        return HttpServers.start(address, THREADS, new HttpHandler() {
            @Override
            public void service(Request request, Response response) throws IOException {
                handle(request, response, rewrite);
            }
        });
    }

    /**
     * Serves the same records at another address, with each value rewritten.
     *
     * <p>The view accepts appends as well, which are stored without being rewritten.
     *
     * @param rewrite applied to each value that is read through the view
     */
    public InetSocketAddress openView(UnaryOperator<String> rewrite) {
        HttpServer view = startServer(new InetSocketAddress(address().getAddress(), 0), rewrite);
        views.add(view);
        return HttpServers.address(view);
    }

    /** Starts a store; port 0 selects a free port. */
    public static StandInStore start(InetSocketAddress address) {
        return new StandInStore(address);
    }

    /** Returns the address that the store listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Sets the failure mode. */
    public synchronized void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Appends a record as an operator or a target does; an empty value deletes the key. */
    public synchronized void put(String topic, String key, String value) {
        append(topic(topic), key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Expires the history of a topic; the newest record of each key remains readable under a new offset. */
    public synchronized void dropHistory(String topic) {
        Topic known = topic(topic);
        Map<String, StoredRecord> newest = newest(known);
        long end = known.endOffset();
        known.records.clear();
        known.firstOffset = end;
        newest.values().forEach(record -> append(known, record.key, record.value));
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, _name -> new Topic());
    }

    private void append(Topic topic, String key, byte[] value) {
        topic.records.add(new StoredRecord(key, value));
        notifyAll();
    }

    private static Map<String, StoredRecord> newest(Topic topic) {
        Map<String, StoredRecord> newest = new LinkedHashMap<>();
        for (StoredRecord record : topic.records) {
            newest.remove(record.key);
            if (record.value.length > 0) {
                newest.put(record.key, record);
            }
        }
        return newest;
    }

    private void handle(Request request, Response response, UnaryOperator<String> rewrite) throws IOException {
        Mode currentMode;
        synchronized (this) {
            currentMode = mode;
        }
        if (currentMode == Mode.DOWN) {
            write(response, 503, new byte[0]);
            return;
        }
        if (currentMode == Mode.SLOW) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(SLOW_DELAY_MS));
        }
        switch (request.getRequestURI()) {
            case "/api/log-append" -> append(request, response, currentMode);
            case "/api/log-read" -> read(request, response, rewrite);
            case "/api/log-newest" -> newest(request, response, rewrite);
            default -> write(response, 404, new byte[0]);
        }
    }

    private void append(Request request, Response response, Mode currentMode) throws IOException {
        byte[] body;
        try (InputStream in = request.getInputStream()) {
            body = in.readAllBytes();
        }
        String expectedEnd = request.getParameter("asOf");
        long offset;
        long end;
        boolean stored;
        synchronized (this) {
            Topic topic = topic(request.getParameter("topic"));
            offset = topic.endOffset();
            stored = expectedEnd == null || Long.parseLong(expectedEnd) == offset;
            for (int position = 0; stored && position < body.length; ) {
                int length = Ints.fromBytes(body[position], body[position + 1], body[position + 2], body[position + 3]);
                int keyLength = body[position + Integer.BYTES] & 0xff;
                int keyStart = position + Integer.BYTES + 1;
                String key = new String(body, keyStart, keyLength, StandardCharsets.UTF_8);
                byte[] value = new byte[length - 1 - keyLength];
                System.arraycopy(body, keyStart + keyLength, value, 0, value.length);
                append(topic, key, value);
                position += Integer.BYTES + length;
            }
            end = topic.endOffset();
        }
        if (currentMode == Mode.LOSES_ANSWERS) {
            write(response, 500, new byte[0]);
        } else if (currentMode == Mode.BREAKS_OFF) {
            request.getContext().getConnection().terminateSilently();
        } else {
            writeJson(response, stored ? OK : 412, ImmutableMap.of("offset", offset, "end", end));
        }
    }

    private void read(Request request, Response response, UnaryOperator<String> rewrite) throws IOException {
        long fromOffset = Long.parseLong(request.getParameter("from"));
        long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(request.getParameter("waitMs")));
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(request.getParameter("topic"));
            while (topic.endOffset() <= fromOffset && System.nanoTime() < untilNanos) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(this, untilNanos - System.nanoTime());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            if (fromOffset < topic.firstOffset) {
                writeJson(response, 410, ImmutableMap.of("first", topic.firstOffset));
                return;
            }
            out.writeBytes(Longs.toByteArray(topic.endOffset()));
            out.writeBytes(Longs.toByteArray(topic.firstOffset));
            for (long offset = fromOffset; offset < topic.endOffset(); offset++) {
                StoredRecord record = topic.records.get((int) (offset - topic.firstOffset));
                byte[] key = record.key.getBytes(StandardCharsets.UTF_8);
                byte[] value = rewrite(record.value, rewrite);
                out.writeBytes(Ints.toByteArray(1 + key.length + value.length));
                out.write(key.length);
                out.writeBytes(key);
                out.writeBytes(value);
            }
        }
        write(response, OK, out.toByteArray());
    }

    private static byte[] rewrite(byte[] value, UnaryOperator<String> rewrite) {
        // ISO-8859-1 maps each byte to one character, so values that are not UTF-8 text are preserved.
        return rewrite.apply(new String(value, StandardCharsets.ISO_8859_1)).getBytes(StandardCharsets.ISO_8859_1);
    }

    private void newest(Request request, Response response, UnaryOperator<String> rewrite) throws IOException {
        ImmutableList.Builder<Object> items = ImmutableList.builder();
        long end;
        synchronized (this) {
            Topic topic = topic(request.getParameter("topic"));
            end = topic.endOffset();
            newest(topic)
                    .values()
                    .forEach(record -> items.add(ImmutableMap.of(
                            "key",
                            record.key,
                            "value",
                            Base64.getEncoder().encodeToString(rewrite(record.value, rewrite)),
                            "offset",
                            0)));
        }
        writeJson(response, OK, ImmutableMap.of("items", items.build(), "more", false, "end", end));
    }

    private static void writeJson(Response response, int status, Object document) throws IOException {
        write(response, status, Json.write(document).getBytes(StandardCharsets.UTF_8));
    }

    private static void write(Response response, int status, byte[] body) throws IOException {
        response.setStatus(status);
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    @Override
    public void close() {
        try {
            server.shutdownNow();
            views.forEach(HttpServer::shutdownNow);
        } catch (RuntimeException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot stop the store", e);
        }
    }
}
