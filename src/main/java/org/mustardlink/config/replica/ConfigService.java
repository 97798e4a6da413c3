package org.mustardlink.config.replica;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.mustardlink.directory.LogService;

/** Keeps a replica up to date: runs the log reader, the peer poller and the snapshot writer on one thread. */
public final class ConfigService implements AutoCloseable {
    private final ScheduledExecutorService executor;
    private final PeerPoller poller;

    private ConfigService(ScheduledExecutorService executor, PeerPoller poller) {
        this.executor = executor;
        this.poller = poller;
    }

    /**
     * Starts to keep a replica up to date.
     *
     * @param replica the replica to update
     * @param log the platform's log
     * @param peers the other entry hosts
     * @param settings time-outs and limits
     * @param random source of random numbers for the choice of peers and for jitter
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
     * Fetches the configuration of a peer immediately, for example after the peer reported a higher offset.
     *
     * @return whether the peer was ready and its page was processed
     */
    public CompletableFuture<Boolean> pullFrom(ConfigPeers.Peer peer) {
        return poller.pullFrom(peer);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
