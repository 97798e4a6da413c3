package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Schemas;

/** Configuration replicas of several hosts that call each other directly and run on one thread, step by step. */
final class FakeHosts {
    private static final ReplicaSettings SETTINGS = new ReplicaSettings(
            true,
            Duration.ZERO,
            Duration.ZERO,
            Duration.ZERO,
            Duration.ofMillis(1),
            5,
            Duration.ofHours(1),
            Duration.ofMillis(3));

    private final FakeLog log;
    private final List<Host> hosts = new ArrayList<>();

    FakeHosts(FakeLog log, int count) {
        this.log = log;
        for (int i = 0; i < count; i++) {
            hosts.add(null);
            restart(i);
        }
    }

    /** One process of a host, with its replica. */
    static final class Host {
        private final Deque<Runnable> pendingSteps = new ArrayDeque<>();
        private final List<Long> servedOffsets = new ArrayList<>();
        private final ConfigReplica replica;
        private boolean failsNextUpdate;

        private Host(Schemas schemas) {
            replica = new ConfigReplica(schemas, this::recordServed);
        }

        ConfigReplica replica() {
            return replica;
        }

        List<Long> servedOffsets() {
            return servedOffsets;
        }

        void runSteps(int count) {
            for (int i = 0; i < count && !pendingSteps.isEmpty(); i++) {
                pendingSteps.removeFirst().run();
            }
        }

        void failNextUpdate() {
            failsNextUpdate = true;
        }

        private void recordServed(ConfigView view) {
            if (failsNextUpdate) {
                failsNextUpdate = false;
                throw new IllegalStateException("fault");
            }
            servedOffsets.add(view.offset());
        }

        private ScheduledExecutorService executor() {
            return (ScheduledExecutorService) Proxy.newProxyInstance(
                    Host.class.getClassLoader(),
                    new Class<?>[] {ScheduledExecutorService.class},
                    (_proxy, method, arguments) -> {
                        if (method.getName().equals("isShutdown")) {
                            return false;
                        }
                        pendingSteps.add((Runnable) arguments[0]);
                        return null;
                    });
        }
    }

    Host host(int index) {
        return hosts.get(index);
    }

    ImmutableList<Host> hosts() {
        return ImmutableList.copyOf(hosts);
    }

    /** Replaces the process of a host by a new one with an empty replica. */
    Host restart(int index) {
        Host host = new Host(index % 2 == 0 ? Schemas.SUPPORTED : new Schemas(1, Schemas.SUPPORTED.features()));
        hosts.set(index, host);
        ScheduledExecutorService executor = host.executor();
        Random random = new Random(index);
        ConfigReader reader = new ConfigReader(log, host.replica, SETTINGS, executor);
        reader.start();
        new SnapshotWriter(log, reader, host.replica, SETTINGS, executor, random).start();
        new PeerPoller(new OtherHosts(index), host.replica, SETTINGS, executor, reader::isLogReachable, random).start();
        return host;
    }

    private final class OtherHosts implements ConfigPeers {
        private final int self;

        private OtherHosts(int self) {
            this.self = self;
        }

        @Override
        public Optional<ImmutableList<Peer>> peers() {
            ImmutableList.Builder<Peer> others = ImmutableList.builder();
            for (int i = 0; i < hosts.size(); i++) {
                if (i != self) {
                    others.add(new Peer(
                            Integer.toString(i), "d", new InetSocketAddress(InetAddress.getLoopbackAddress(), i)));
                }
            }
            return Optional.of(others.build());
        }

        @Override
        public CompletableFuture<ConfigPage> fetchPage(Peer peer, long from, String change, Duration _timeout) {
            Host other = hosts.get(peer.address().getPort());
            return other == null
                    ? CompletableFuture.failedFuture(new IllegalStateException("not started"))
                    : CompletableFuture.completedFuture(other.replica.pageSince(from, change));
        }
    }
}
