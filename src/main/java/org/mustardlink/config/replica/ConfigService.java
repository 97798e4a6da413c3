package org.mustardlink.config.replica;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.mustardlink.directory.LogService;

/** Keeps a replica current: the reader, the questions to peers and the snapshots, on one thread. */
public final class ConfigService implements AutoCloseable {
    private final ScheduledExecutorService executor;
    private final PeerPoller poller;

    private ConfigService(ScheduledExecutorService executor, PeerPoller poller) {
        this.executor = executor;
        this.poller = poller;
    }

    /**
     * Starts to keep a replica current.
     *
     * @param replica the copy
     * @param log the platform's log
     * @param peers the other entry hosts
     * @param settings times and bounds
     * @param random chooses peers and jitter
     */
    public static ConfigService start(
            ConfigReplica replica, LogService log, ConfigPeers peers, ReplicaSettings settings, Random random) {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "config");
            thread.setDaemon(true);
            return thread;
        });
        ConfigReader reader = new ConfigReader(log, replica, settings, executor);
        PeerPoller poller = new PeerPoller(peers, replica, settings, executor, reader::isLogReachable, random);
        if (settings.readsLog()) {
            reader.start();
            new SnapshotWriter(log, reader, replica, settings, executor, random).start();
        }
        poller.start();
        return new ConfigService(executor, poller);
    }

    /**
     * Asks a peer at once, after it reported an offset ahead of the replica's.
     *
     * @return whether it answered with its configuration
     */
    public CompletableFuture<Boolean> pullFrom(ConfigPeers.Peer peer) {
        return poller.pullFrom(peer);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
