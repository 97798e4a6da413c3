import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a client. */
final class Client implements AutoCloseable {
    static final String HOST = "yard.example";
    static final String PREFIX = "/jobs/";
    /** Result of an attempt without a response. */
    static final int NO_RESPONSE = 0;
    /** Result of an attempt whose connection broke. */
    static final int BROKEN = -1;

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 8);

    private final Socket socket = new Socket();
    private final Record record;
    private final String name;

    Client(InetSocketAddress host, String hostName, Record record) throws IOException {
        this.record = record;
        this.name = hostName;
        socket.connect(host, 1_000);
        socket.setTcpNoDelay(true);
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Returns a best-effort job of one step. */
    static String job(int tasks, int cpu, long workMs, String requires) {
        Map<String, Object> step = new java.util.LinkedHashMap<>();
        step.put("count", tasks);
        step.put("cpu", cpu);
        step.put("memMb", 64);
        step.put("estMs", workMs);
        if (!requires.isEmpty()) {
            step.put("requires", requires);
        }
        return Runner.write(Map.of("spec", Long.toString(workMs), "bestEffort", true, "steps", List.of(step)));
    }

    /** Sends a job. */
    void send(String id, String job, long deadlineMs) throws IOException {
        byte[] body = job.getBytes(StandardCharsets.UTF_8);
        String head = "POST " + PREFIX + id + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\n"
                + "X-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        record.line("sent: " + id + " to " + name);
        byte[] bytes = (head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Waits for the status of a response; the connection is closed if none comes. */
    int await(String id, long waitMs) {
        int status = read(waitMs);
        record.line("answered: " + id + " by " + name + ": "
                + (status == NO_RESPONSE ? "no response" : status == BROKEN ? "connection broken" : status));
        if (status <= 0) {
            close();
        }
        return status;
    }

    private int read(long waitMs) {
        try {
            socket.setSoTimeout((int) Math.max(1, waitMs));
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return BROKEN;
                }
                head.append((char) next);
            }
            int length = 0;
            for (String line : head.toString().split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
                }
            }
            in.readNBytes(length);
            return Integer.parseInt(head.substring(9, 12));
        } catch (SocketTimeoutException e) {
            return NO_RESPONSE;
        } catch (IOException e) {
            return BROKEN;
        }
    }

    /** Resets the connection, as a fault of the network does. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Already closed.
        }
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // A socket that can't be closed is of no further use either.
        }
    }
}
