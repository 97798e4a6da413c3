import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.standin.StandInDocuments;
import org.mustardlink.platform.standin.StandInStore;

/**
 * A small deployment on loopback: the project's stand-in of the store and the runners in this process, and each
 * dispatch host as a process of its own, started with the command of the deploy file. The connections between two hosts
 * pass through relays.
 */
final class Deployment implements AutoCloseable {
    static final String VIRTUAL_HOST = "jobs.example";
    static final String PATH_PREFIX = "/jobs/";
    private static final String SERVICE = "yard";
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:\\d+");
    private static final int ROUTE_TIMEOUT_MS = 30_000;
    static final long HEARTBEAT_MS = 1_500;

    private final Path directory;
    private final Record record;
    private final StandInStore store =
            StandInStore.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private final Map<Runner, String> runnerZones = new LinkedHashMap<>();
    private final Map<Runner, Long> downSinceNanos = new HashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private volatile boolean closed;
    private static int nextPort = 12_000 + (int) (ProcessHandle.current().pid() % 180) * 100;

    /** One dispatch host. */
    static final class Host {
        final String id;
        final String zone;
        final int callerPort;
        final int readyPort;
        final int peerPort;
        final int metricsPort;
        final Path settings;
        final Path log;
        Process process;

        private Host(String id, String zone, Path directory, List<Integer> ports) {
            this.id = id;
            this.zone = zone;
            this.callerPort = ports.get(0);
            this.readyPort = ports.get(1);
            this.peerPort = ports.get(2);
            this.metricsPort = ports.get(3);
            this.settings = directory.resolve(id + ".ini");
            this.log = directory.resolve(id + ".log");
        }

        String peerAddress() {
            return "127.0.0.1:" + peerPort;
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Starts the deployment, and returns once every host is ready.
     *
     * @param hostZones zone of each host
     * @param runners the runners, with their zones
     * @param relayedRunners runners that the hosts reach through relays
     */
    Deployment(
            Record record,
            Path directory,
            List<String> hostZones,
            Map<Runner, String> runners,
            List<Runner> relayedRunners)
            throws IOException, InterruptedException {
        this.record = record;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        this.directory = directory;
        store.put(
                StoreTopics.OPERATOR,
                StoreTopics.CONFIG_KEY,
                StandInDocuments.config(1, VIRTUAL_HOST, PATH_PREFIX, SERVICE, ROUTE_TIMEOUT_MS));
        runnerZones.putAll(runners);
        Thread beats = new Thread(this::writeRunnerEntries, "runner-entries");
        beats.setDaemon(true);
        beats.start();
        for (int i = 0; i < hostZones.size(); i++) {
            hosts.add(new Host("host-" + i, hostZones.get(i), directory, freePorts(4)));
        }
        for (Host from : hosts) {
            for (Host to : hosts) {
                if (from != to) {
                    relays.put(
                            from.id + ">" + to.id,
                            Relay.start(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), to.peerPort)));
                }
            }
        }
        for (Host host : hosts) {
            Map<String, String> shown = new HashMap<>();
            for (Host other : hosts) {
                if (other != host) {
                    String relayed = relay(host, other).address();
                    shown.put(other.peerAddress(), relayed);
                    relay(other, host).showAddress(other.peerAddress(), relayed);
                }
            }
            for (Runner runner : relayedRunners) {
                Relay relay = Relay.start(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), runner.port()));
                relays.put(host.id + ">" + runner.id, relay);
                shown.put("127.0.0.1:" + runner.port(), relay.address());
            }
            InetSocketAddress view = store.openView(text ->
                    ADDRESS.matcher(text).replaceAll(found -> shown.getOrDefault(found.group(), found.group())));
            writeSettings(host, view);
            start(host);
        }
        try {
            for (Host host : hosts) {
                awaitReady(host);
            }
        } catch (IOException | InterruptedException e) {
            close();
            throw e;
        }
    }

    /**
     * Starts a deployment with runners of one kind.
     *
     * @param runnerZones zone of each runner
     * @param cores cores of each runner
     */
    static Deployment start(
            Record record, Path directory, List<String> hostZones, List<String> runnerZones, int cores)
            throws IOException, InterruptedException {
        Map<Runner, String> runners = new LinkedHashMap<>();
        for (String zone : runnerZones) {
            Runner.Kind kind = new Runner.Kind(1_000 * cores, 1_024, List.of("a"));
            runners.put(new Runner("runner-" + runners.size(), kind, record), zone);
        }
        return new Deployment(record, directory, hostZones, runners, List.of());
    }

    /**
     * Returns free ports of five digits, all different. They lie below the range from which the system takes the ports
     * of outgoing connections, in a block that depends on the process, so that cases that run side by side use others.
     */
    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(socket.getLocalPort());
            } catch (BindException e) {
                // Another process listens on this port.
            }
        }
        return ports;
    }

    /** Renders the settings as the template of the deploy file does; only the address of the metrics is added. */
    private static void writeSettings(Host host, InetSocketAddress storeAddress) throws IOException {
        String text = Files.readString(Path.of("deploy/host.ini"))
                .replace("{{node}}", host.id)
                .replace("{{zone}}", host.zone)
                .replace("{{internalPortRange.0}}", Integer.toString(host.peerPort))
                .replace("{{ip}}", "127.0.0.1")
                .replace("{{limits.cpuShare}}", "0.75")
                .replace("{{limits.cores}}", "1")
                .replace("{{listen.front}}", "127.0.0.1:" + host.callerPort)
                .replace("{{listen.ready}}", "127.0.0.1:" + host.readyPort)
                .replace("{{bounds.resendMs}}", "1300")
                .replace("{{bounds.holdMaxMs}}", "1000")
                .replace("{{bounds.graceS}}", "6")
                .replace("{{platform.addr}}", "127.0.0.1:" + storeAddress.getPort());
        Files.writeString(host.settings, text + "\n[metrics]\naddress = 127.0.0.1:" + host.metricsPort + "\n");
    }

    /** Starts the process of a host with the command of the deploy file. */
    void start(Host host) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals("/etc/mustardlink/node.toml") ? host.settings.toString() : word);
        }
        host.process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(host.log.toFile()))
                .start();
    }

    void awaitReady(Host host) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (Client.get(host.readyPort, "/api/ready", 1_000).status() != 200) {
            if (System.nanoTime() > untilNanos) {
                throw new IOException(host.id + " was not ready within 20 s");
            }
            Thread.sleep(50);
        }
    }

    private void writeRunnerEntries() {
        while (!closed) {
            runnerZones.forEach(this::writeEntry);
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes the entry of a runner, or removes it three heartbeats after the runner has gone silent. */
    void writeEntry(Runner runner, String zone) {
        synchronized (downSinceNanos) {
            if (runner.up()) {
                downSinceNanos.remove(runner);
                store.put(StoreTopics.TARGETS, runner.id, runner.entry(SERVICE, zone));
                return;
            }
            long sinceNanos = downSinceNanos.computeIfAbsent(runner, down -> System.nanoTime());
            if (System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(3 * HEARTBEAT_MS)) {
                store.put(StoreTopics.TARGETS, runner.id, "");
            }
        }
    }

    List<Host> hosts() {
        return hosts;
    }

    List<Runner> runners() {
        return new ArrayList<>(runnerZones.keySet());
    }

    private Relay relay(Host from, Host to) {
        return relays.get(from.id + ">" + to.id);
    }

    /** Cuts a host off from all other hosts. */
    void cutOff(Host host) {
        record.line("cut: " + host.id + " is cut off from all other hosts");
        pathsOf(host).forEach(Relay::cut);
    }

    void reconnect(Host host) {
        record.line("cut ends: " + host.id);
        pathsOf(host).forEach(Relay::heal);
    }

    private List<Relay> pathsOf(Host host) {
        List<Relay> paths = new ArrayList<>();
        relays.forEach((path, relay) -> {
            boolean toRunner = path.contains(">runner-");
            if (!toRunner && (path.startsWith(host.id + ">") || path.endsWith(">" + host.id))) {
                paths.add(relay);
            }
        });
        return paths;
    }

    /** Returns the relays through which the hosts reach a runner. */
    List<Relay> pathsTo(Runner runner) {
        return hosts.stream()
                .map(host -> relays.get(host.id + ">" + runner.id))
                .toList();
    }

    /** Returns the host that has acquired a pool last, by the logs of the hosts. */
    Host masterOf(String pool) throws IOException {
        Host master = hosts.get(0);
        String latest = "";
        for (Host host : hosts) {
            for (String line : Files.readAllLines(host.log, StandardCharsets.ISO_8859_1)) {
                if (line.contains("\"pool.acquired\"") && line.contains("\"" + pool + "\"") && line.compareTo(latest) > 0) {
                    latest = line;
                    master = host;
                }
            }
        }
        return master;
    }

    /** Ends the processes of the hosts, also when this process is ended by a signal. */
    private void endProcesses() {
        for (Host host : hosts) {
            if (host.process != null) {
                host.process.destroyForcibly();
                host.process.onExit().join();
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endProcesses();
        for (Relay relay : relays.values()) {
            relay.close();
        }
        runnerZones.keySet().forEach(Runner::close);
        store.close();
    }
}
