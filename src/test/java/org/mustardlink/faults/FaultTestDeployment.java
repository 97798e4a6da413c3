package org.mustardlink.faults;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.awaitility.Awaitility;
import org.mustardlink.config.replica.ConfigReader;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.entry.EntryHost;
import org.mustardlink.entry.Incarnations;
import org.mustardlink.exercise.FaultInjectingProxy;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;
import org.mustardlink.standin.StandInPlatform;
import org.mustardlink.standin.StandInTarget;

/**
 * A deployment with two entry hosts and two targets in domain a and one of each in domain b. Connections to the
 * platform, the entry hosts' peer ports and the targets pass through relays, which inject network faults.
 */
final class FaultTestDeployment implements AutoCloseable {
    static final String SERVICE = "yard";
    private static final ImmutableList<String> ENTRIES = ImmutableList.of("a-0", "a-1", "b-0");

    final StandInPlatform platform = StandInPlatform.start(loopback());
    final Map<String, EntryHost> entries = new LinkedHashMap<>();
    final Map<String, StandInTarget> targets = new LinkedHashMap<>();
    final Map<String, FaultInjectingProxy> peerRelays = new HashMap<>();
    final Map<String, FaultInjectingProxy> platformRelays = new HashMap<>();
    final Map<String, FaultInjectingProxy> targetRelays = new HashMap<>();
    final HttpRequester requester =
            HttpRequester.start(new HttpRequester.Limits(512, 2048, Duration.ofSeconds(1), Duration.ofSeconds(10), 1));

    FaultTestDeployment() throws IOException {
        for (String id : ImmutableList.of("target-0", "target-1", "target-2")) {
            targets.put(id, StandInTarget.start(loopback(), new StandInTarget.Settings(8, 1.0)));
            targetRelays.put(id, FaultInjectingProxy.start(targets.get(id).address()));
            declareTarget(id, targetRelays.get(id).address());
        }
        for (String id : ENTRIES) {
            platformRelays.put(id, FaultInjectingProxy.start(platform.address()));
            peerRelays.put(id, FaultInjectingProxy.start(platform.address()));
        }
        publishHosts();
        for (String id : ENTRIES) {
            startEntry(id);
        }
        awaitPeers();
    }

    private void declareTarget(String id, InetSocketAddress address) {
        TargetSpec spec =
                new TargetSpec(id, SERVICE, id.equals("target-2") ? "b" : "a", Addresses.format(address), 8, 64, 1.0);
        String record = Json.write(
                ImmutableMap.of("schema", 1, "change", "change-" + id, "kind", "target", "name", id, "body", spec));
        PlatformClient.create(requester, platform.address())
                .append(ConfigReader.CONFIG_STREAM, ImmutableList.of(record))
                .join();
    }

    /** Starts an entry host, or its next incarnation if the host ran before. */
    void startEntry(String id) throws IOException {
        EntrySettings settings = EntrySettings.forLoopback(
                id, id.substring(0, 1), platformRelays.get(id).address(), ImmutableMap.of());
        EntryHost entry = EntryHost.start(settings, Incarnations.next(Clock.systemUTC()));
        entries.put(id, entry);
        peerRelays.get(id).redirectTo(entry.peerAddress());
    }

    private void publishHosts() {
        platform.publishHosts(ENTRIES.stream()
                .map(id -> new HostListing.Host(
                        id,
                        HostListing.Kind.ENTRY,
                        id.substring(0, 1),
                        Addresses.format(peerRelays.get(id).address()),
                        HostListing.State.LIVE))
                .collect(ImmutableList.toImmutableList()));
    }

    void awaitPeers() {
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> entries.values().stream()
                        .allMatch(entry -> entry.ready() && entry.aliveHostCount() == ENTRIES.size()));
    }

    /** Returns the number of starts of each task on all targets. */
    Map<String, Integer> startCounts() {
        Map<String, Integer> total = new HashMap<>();
        targets.values()
                .forEach(target ->
                        target.startsByTask().forEach((task, count) -> total.merge(task, count, Integer::sum)));
        return total;
    }

    @Override
    public void close() {
        entries.values().forEach(EntryHost::close);
        ImmutableList.of(peerRelays, platformRelays, targetRelays)
                .forEach(relays -> relays.values().forEach(FaultInjectingProxy::close));
        targets.values().forEach(StandInTarget::close);
        platform.close();
        requester.close();
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
