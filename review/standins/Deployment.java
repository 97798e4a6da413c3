import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.mustardlink.platform.standin.StandInStore;

/**
 * A small deployment on loopback addresses: the store and the runners in this process, and each dispatch host as a
 * separate process with the command of the deploy file.
 */
final class Deployment implements AutoCloseable {
    static final String SERVICE = "patio";
    static final String OTHER_SERVICE = "taller";
    /** The bound resendMs of the pages. */
    static final long RESEND_MS = 1_300;
    /** The deadline of the clients in all deployments. */
    static final long DEADLINE_MS = 1_500;

    private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();
    private static final long HEARTBEAT_MS = 1_500;
    private static final long START_TIMEOUT_MS = 25_000;
    private static final String CLAIMS_TOPIC = "keyed.mustardlink-claims";

    /** A dispatch host. */
    final class Host {
        final String id;
        final String zone;
        final InetSocketAddress front = loopback(freePort());
        final InetSocketAddress ready = loopback(freePort());
        final InetSocketAddress peer = loopback(freePort());
        private final InetSocketAddress metrics = loopback(freePort());
        private InetSocketAddress storeAddress = store.address();
        private Process process;

        private Host(String id, String zone) {
            this.id = id;
            this.zone = zone;
        }

        /** Reads the store through a view in which values are rewritten, for example with the addresses of proxies. */
        void readStoreThrough(UnaryOperator<String> rewrite) {
            storeAddress = store.openView(rewrite);
        }

        void readStoreAt(InetSocketAddress address) {
            storeAddress = address;
        }

        void start() throws IOException {
            Path settings = directory.resolve(id + ".ini");
            Files.writeString(
                    settings,
                    """
                    [host]
                    id = %s
                    domain = %s
                    address = 127.0.0.1
                    cpu-share = 0.75
                    cores = 1
                    [callers]
                    address = %s
                    [readiness]
                    address = %s
                    [peers]
                    address = %s
                    [metrics]
                    address = %s
                    [store]
                    address = %s
                    [targets]
                    lease-ms = 1000
                    [stop]
                    grace-s = 6
                    [logs]
                    level = INFO
                    """
                            .formatted(
                                    id,
                                    zone,
                                    text(front),
                                    text(ready),
                                    text(peer),
                                    text(metrics),
                                    text(storeAddress)));
            List<String> command = new ArrayList<>(runLine());
            command.replaceAll(word -> word.equals("/etc/mustardlink/node.toml") ? settings.toString() : word);
            record.line("host " + id + " starts");
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(id + ".log").toFile()))
                    .start();
        }

        void signal(String name) throws IOException, InterruptedException {
            record.line("host " + id + " gets " + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Ends the process with SIGKILL. */
        void kill() throws InterruptedException {
            record.line("host " + id + " is killed");
            process.destroyForcibly();
            process.waitFor();
        }

        /** Waits until the process has ended after a request to stop. */
        void awaitEnd() throws InterruptedException {
            if (process.isAlive() && !process.waitFor(6, TimeUnit.SECONDS)) {
                kill();
            }
        }

        /**
         * Stops the process as planned. Afterwards its machine is gone: connections to its address hang, because a
         * socket listens there whose queue of new connections is full.
         */
        void leaveForGood() throws IOException, InterruptedException {
            signal("TERM");
            awaitEnd();
            ServerSocket silent = new ServerSocket();
            silent.setReuseAddress(true);
            silent.bind(peer, 1);
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(peer);
                silentSockets.add(filler);
            }
            silentSockets.add(silent);
            record.line("the machine of " + id + " is gone for good");
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            try {
                HttpURLConnection call = (HttpURLConnection)
                        URI.create("http://" + text(ready) + "/api/ready").toURL().openConnection();
                call.setConnectTimeout(200);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        Client connect() throws IOException {
            return new Client(front, id, record);
        }
    }

    final Record record;
    final StandInStore store = StandInStore.start(loopback(0));
    final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<Runner> runners = new ArrayList<>();
    private final List<Closeable> silentSockets = new ArrayList<>();
    private final Path directory;
    private volatile boolean closed;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("mustardlink-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        store.put(
                "keyed.op",
                "config",
                Runner.write(Map.of(
                        "version",
                        3,
                        "routes",
                        List.of(
                                route("lohu", Client.HOST, Client.PREFIX, SERVICE),
                                route("niba", Client.HOST, "/other/", OTHER_SERVICE)),
                        "services",
                        List.of(
                                Map.of("name", SERVICE, "enforcesCapacity", false),
                                Map.of("name", OTHER_SERVICE, "enforcesCapacity", false)),
                        "limits",
                        Map.of("bodyBytes", 262_144))));
        Thread heartbeats = new Thread(this::writeEntries, "heartbeats");
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    private static Map<String, Object> route(String name, String host, String prefix, String service) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", host);
        route.put("pathPrefix", prefix);
        route.put("timeoutMs", 3_000);
        route.put("latencySloMs", 60);
        route.put("stretch", 1.6);
        route.put("priority", 0);
        route.put("maxAttempts", 3);
        route.put("service", service);
        return route;
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    /** Returns a free port of five digits, below those that the system gives to outgoing connections. */
    static int freePort() {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (GIVEN_PORTS.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // The port is in use; the next one may be free.
            }
        }
        throw new IllegalStateException("no free port");
    }

    /** Returns the command of the deploy file. */
    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    Host addHost(String id, String zone) {
        Host host = new Host(id, zone);
        hosts.put(id, host);
        return host;
    }

    Runner addRunner(String id, String zone, int cpu, List<String> labels) throws IOException {
        return addRunner(id, SERVICE, zone, cpu, labels);
    }

    Runner addRunner(String id, String service, String zone, int cpu, List<String> labels) throws IOException {
        Runner runner = new Runner(id, service, zone, cpu, labels, record);
        synchronized (runners) {
            runners.add(runner);
        }
        publish(runner);
        runner.listen();
        return runner;
    }

    /** Starts a store that answers every call with status 503, and returns its address. */
    InetSocketAddress startRefusingStore() throws IOException {
        HttpServer server = HttpServer.create(loopback(0), 100);
        server.createContext("/", exchange -> {
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
        });
        server.start();
        return server.getAddress();
    }

    /** Writes a runner's entry to the store. */
    void publish(Runner runner) {
        store.put("keyed.servers", runner.id, runner.entry());
    }

    private void writeEntries() {
        try {
            while (!closed) {
                Thread.sleep(HEARTBEAT_MS);
                List<Runner> known;
                synchronized (runners) {
                    known = List.copyOf(runners);
                }
                known.stream().filter(Runner::isUp).forEach(this::publish);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void startHosts() throws IOException {
        for (Host host : hosts.values()) {
            host.start();
        }
    }

    /** Waits until every host is ready and answers jobs with success; returns whether that was so in time. */
    boolean awaitService() throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        for (Host host : hosts.values()) {
            int successes = 0;
            while (successes < 4) {
                if (System.nanoTime() > untilNanos) {
                    return false;
                }
                successes = host.isReady() && answers(host) ? successes + 1 : 0;
                Thread.sleep(50);
            }
        }
        // The hosts have been in touch with each other and with the platform for longer than contactMs.
        Thread.sleep(4_000);
        record.line("the hosts are in service");
        return true;
    }

    private static boolean answers(Host host) {
        try (Client client = host.connect()) {
            String id = Client.newId();
            client.send(id, Client.job(2, 14_000, 200, ""), DEADLINE_MS);
            return client.await(id, DEADLINE_MS) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the host that the newest claim of a zone's pool in the store names. */
    Optional<Host> master(String zone) throws IOException {
        HttpURLConnection call = (HttpURLConnection) URI.create(
                        "http://" + text(store.address()) + "/api/log-newest?part=0&topic=" + CLAIMS_TOPIC)
                .toURL()
                .openConnection();
        JsonNode items = new ObjectMapper().readTree(call.getInputStream()).path("items");
        for (JsonNode item : items) {
            JsonNode claim = new ObjectMapper()
                    .readTree(Base64.getDecoder().decode(item.path("value").asText()));
            if (claim.path("service").asText().equals(SERVICE)
                    && claim.path("domain").asText().equals(zone)) {
                return Optional.ofNullable(hosts.get(claim.path("host").asText()));
            }
        }
        return Optional.empty();
    }

    private void endProcesses() {
        for (Host host : hosts.values()) {
            if (host.isRunning()) {
                host.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endProcesses();
        for (Closeable socket : silentSockets) {
            socket.close();
        }
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("logs of the hosts: " + directory);
        }
    }
}
