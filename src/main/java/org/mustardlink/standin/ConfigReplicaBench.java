package org.mustardlink.standin;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.config.replica.ConfigPeers;
import org.mustardlink.config.replica.ConfigReader;
import org.mustardlink.config.replica.ConfigReplica;
import org.mustardlink.config.replica.ConfigService;
import org.mustardlink.config.replica.ReplicaSettings;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.drain.TargetReport;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.peer.ConfigPeerClient;
import org.mustardlink.peer.ConfigResponder;
import org.mustardlink.peer.PeerServer;

/**
 * Measures the cost of replicating the configuration and the propagation delay of changes, with replicas in one
 * process that communicate over sockets. In relay mode, one replica of each failure domain reads the log and the
 * others poll only that replica.
 */
public final class ConfigReplicaBench implements AutoCloseable {
    private static final int DOMAINS = 3;
    private static final long MAX_DELAY_NANOS = Duration.ofMinutes(1).toNanos();

    private final StandInPlatform platform = StandInPlatform.start(loopback());
    private final List<Node> nodes = new CopyOnWriteArrayList<>();
    private final Histogram propagationDelays = new ConcurrentHistogram(MAX_DELAY_NANOS, 3);
    private final boolean usesRelay;
    private volatile long appendedNanos;

    private ConfigReplicaBench(boolean usesRelay) {
        this.usesRelay = usesRelay;
    }

    /**
     * Result of a measurement.
     *
     * @param nodes number of replicas
     * @param relay whether one replica of each failure domain reads the log for the others
     * @param idleBytes bytes per second that the process, with the platform, reads and writes while nothing changes
     * @param idleCpu processor time of the process while nothing changes, in microseconds per second
     * @param changeBytes additional bytes for each change
     * @param changeCpu additional processor time for each change, in microseconds
     * @param p50Ms median time from the append of a change until a replica applies it, over all replicas, in
     *     milliseconds
     * @param p99Ms 99th percentile of that time, in milliseconds
     * @param maxMs maximum of that time, in milliseconds
     */
    public record Cost(
            int nodes,
            boolean relay,
            double idleBytes,
            double idleCpu,
            double changeBytes,
            double changeCpu,
            double p50Ms,
            double p99Ms,
            double maxMs) {}

    private record Sample(long nanos, long bytes, long cpuNanos) {
        private static Sample now() {
            return new Sample(
                    System.nanoTime(),
                    ioBytes(),
                    ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                            .getProcessCpuTime());
        }

        private static long ioBytes() {
            try {
                return Splitter.on('\n')
                        .splitToStream(Files.readString(Path.of("/proc/self/io"), StandardCharsets.US_ASCII))
                        .filter(line -> line.startsWith("rchar") || line.startsWith("wchar"))
                        .mapToLong(line ->
                                Long.parseLong(CharMatcher.inRange('0', '9').retainFrom(line)))
                        .sum();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * Starts replicas and measures them without changes and with changes.
     *
     * @param count number of replicas
     * @param usesRelay whether one replica of each failure domain reads the log for the others
     * @param pullPeriod mean time between two polls of a peer
     * @param idle duration of the measurement without changes
     * @param changes number of changes to append, one at a time at random intervals
     */
    public static Cost measure(int count, boolean usesRelay, Duration pullPeriod, Duration idle, int changes) {
        try (ConfigReplicaBench bench = new ConfigReplicaBench(usesRelay)) {
            for (int i = 0; i < count; i++) {
                bench.addNode(i, pullPeriod);
            }
            bench.awaitReady();
            bench.appendChanges(changes / 4);
            bench.propagationDelays.reset();
            Sample start = Sample.now();
            Uninterruptibles.sleepUninterruptibly(idle);
            Sample middle = Sample.now();
            bench.appendChanges(changes);
            Sample end = Sample.now();
            return bench.computeCost(start, middle, end, changes);
        }
    }

    private Cost computeCost(Sample start, Sample middle, Sample end, int changes) {
        double idleSeconds = (middle.nanos() - start.nanos()) / 1e9;
        double busySeconds = (end.nanos() - middle.nanos()) / 1e9;
        double idleBytes = (middle.bytes() - start.bytes()) / idleSeconds;
        double idleCpu = (middle.cpuNanos() - start.cpuNanos()) / 1e3 / idleSeconds;
        return new Cost(
                nodes.size(),
                usesRelay,
                idleBytes,
                idleCpu,
                (end.bytes() - middle.bytes() - idleBytes * busySeconds) / changes,
                ((end.cpuNanos() - middle.cpuNanos()) / 1e3 - idleCpu * busySeconds) / changes,
                propagationDelays.getValueAtPercentile(50) / 1e6,
                propagationDelays.getValueAtPercentile(99) / 1e6,
                propagationDelays.getMaxValue() / 1e6);
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
        platform.close();
    }

    private void addNode(int index, Duration pullPeriod) {
        boolean readsLog = !usesRelay || index < DOMAINS;
        ReplicaSettings defaults = ReplicaSettings.defaults();
        ReplicaSettings settings = new ReplicaSettings(
                readsLog,
                defaults.logWait(),
                defaults.retryPause(),
                pullPeriod,
                defaults.peerTimeout(),
                defaults.snapshotRecords(),
                defaults.snapshotAge(),
                defaults.snapshotJitter());
        nodes.add(new Node(index, settings));
    }

    private void awaitReady() {
        while (nodes.stream().anyMatch(node -> !node.replica.isReady())) {
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
        }
    }

    private void appendChanges(int changes) {
        Random random = new Random(1);
        for (int i = 0; i < changes; i++) {
            long offset = nodes.get(0).replica.offset() + 1;
            String record =
                    "{\"schema\":2,\"change\":\"c%d\",\"kind\":\"team\",\"name\":\"t%d\",\"body\":{\"quota\":9,\"weight\":1}}"
                            .formatted(offset, offset);
            appendedNanos = System.nanoTime();
            nodes.get(0)
                    .platform
                    .append(ConfigReader.CONFIG_STREAM, ImmutableList.of(record))
                    .join();
            while (nodes.stream().anyMatch(node -> node.replica.offset() < offset)) {
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(5));
            }
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(random.nextInt(300)));
        }
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** A replica with its own server and clients. */
    private final class Node implements ConfigPeers, ConfigResponder, AutoCloseable {
        private final int index;
        private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        private final PlatformClient platform =
                PlatformClient.create(requester, ConfigReplicaBench.this.platform.address(), Duration.ofSeconds(3));
        private final ConfigPeerClient client = ConfigPeerClient.start();
        private final ConfigReplica replica = new ConfigReplica(Schemas.SUPPORTED, this::recordDelay);
        private final PeerServer server = PeerServer.start(loopback(), null, this, null);
        private final ConfigService service;

        private Node(int index, ReplicaSettings settings) {
            this.index = index;
            this.service = ConfigService.start(replica, platform, this, settings, new Random(index));
        }

        private void recordDelay(ConfigView _view) {
            propagationDelays.recordValue(Math.min(System.nanoTime() - appendedNanos, MAX_DELAY_NANOS));
        }

        @Override
        public Optional<ImmutableList<Peer>> peers() {
            return Optional.of(nodes.stream()
                    .filter(node -> node != this)
                    .filter(node -> !usesRelay || (index >= DOMAINS && node.index == index % DOMAINS))
                    .map(node -> new Peer(
                            Integer.toString(node.index),
                            "d" + node.index % DOMAINS,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), node.server.port())))
                    .collect(ImmutableList.toImmutableList()));
        }

        @Override
        public CompletableFuture<ConfigPage> fetchPage(Peer peer, long from, String change, Duration timeout) {
            return client.fetchPage(peer.address(), from, change, timeout);
        }

        @Override
        public ConfigPage pageSince(long from, String change) {
            return replica.pageSince(from, change);
        }

        @Override
        public TargetReport drainReport(String _target) {
            return new TargetReport(false, 0, Duration.ZERO, "");
        }

        @Override
        public void close() {
            service.close();
            server.close();
            client.close();
            requester.close();
        }
    }
}
