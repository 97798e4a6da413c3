package org.mustardlink.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import org.mustardlink.exercise.FaultInjectingProxy;
import org.mustardlink.http.Addresses;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.standin.StandInDocuments;
import org.mustardlink.platform.standin.StandInRunner;
import org.mustardlink.platform.standin.StandInStore;

/**
 * A deployment with the store and the targets in this process and each host as a separate process. All connections of a
 * host except those of its callers pass through relays, which inject network faults. Each host reads the store through
 * its own view, which lists the addresses of the relays in place of the real addresses.
 */
final class SoakDeployment implements AutoCloseable {
    static final String VIRTUAL_HOST = "jobs.example";
    static final String PATH_PREFIX = "/jobs/";
    /** Tasks that a target can run at once, the same number as in production. */
    static final int SLOTS_PER_TARGET = 8;

    private static final String SERVICE = "yard";
    /** Time-outs of the route in successive configurations, both longer than the callers' deadline. */
    private static final int[] ROUTE_TIMEOUTS_MS = {3_000, 2_500};

    private static final Duration RELAY_DELAY = Duration.ofMillis(150);
    /** The platform removes the entry of a target that has sent no heartbeat for this long. */
    private static final long ENTRY_EXPIRY_MS = 3_000;

    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:\\d+");

    private final SoakShape shape;
    private final StandInStore store = StandInStore.start(loopback());
    private final List<StandInRunner> targets = new ArrayList<>();
    private final List<TargetState> targetStates = new ArrayList<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<HostRelays> hostRelays = new ArrayList<>();
    private long configVersion;
    private boolean isStoreDown;

    private static final class TargetState {
        private boolean draining;
        private long crashedAtMs = -1;
        private boolean listed = true;
    }

    /** The relays of a host: those for its own connections, and those for its peers' connections to it. */
    private static final class HostRelays {
        private final List<FaultInjectingProxy> toTargets = new ArrayList<>();
        private final List<FaultInjectingProxy> toPeers = new ArrayList<>();
        private final List<FaultInjectingProxy> fromPeers = new ArrayList<>();
        private FaultInjectingProxy toStore;

        private ImmutableList<FaultInjectingProxy> outbound() {
            return ImmutableList.<FaultInjectingProxy>builder()
                    .add(toStore)
                    .addAll(toTargets)
                    .addAll(toPeers)
                    .build();
        }

        private ImmutableList<FaultInjectingProxy> toAndFromPeers() {
            return ImmutableList.<FaultInjectingProxy>builder()
                    .addAll(toPeers)
                    .addAll(fromPeers)
                    .build();
        }

        private ImmutableList<FaultInjectingProxy> all() {
            return ImmutableList.<FaultInjectingProxy>builder()
                    .addAll(outbound())
                    .addAll(fromPeers)
                    .build();
        }
    }

    private SoakDeployment(SoakShape shape) {
        this.shape = shape;
    }

    /**
     * Starts a deployment.
     *
     * @param directory directory of the hosts' settings and logs
     * @param runListener receives the starts and ends of runs on the targets
     * @param exitListener receives unexpected exits of host processes
     * @throws IOException if a file or a socket cannot be opened
     */
    static SoakDeployment start(
            SoakShape shape, Path directory, StandInRunner.RunListener runListener, HostExitListener exitListener)
            throws IOException {
        SoakDeployment deployment = new SoakDeployment(shape);
        deployment.changeConfig();
        for (int i = 0; i < shape.targets(); i++) {
            deployment.targets.add(StandInRunner.startAtProtocolLimits(
                    "target-" + i, SLOTS_PER_TARGET, loopback(), runListener, shape.seed() + i));
            deployment.targetStates.add(new TargetState());
        }
        deployment.writeTargetEntries(0);
        for (int i = 0; i < shape.hosts(); i++) {
            String id = "host-" + i;
            deployment.hosts.add(HostProcess.create(id, directory, code -> exitListener.onUnexpectedExit(id, code)));
            deployment.hostRelays.add(new HostRelays());
        }
        deployment.connectThroughRelays();
        deployment.hosts.forEach(HostProcess::start);
        return deployment;
    }

    /** Receives the exits of host processes that were not asked to stop. */
    @FunctionalInterface
    interface HostExitListener {
        void onUnexpectedExit(String host, int exitCode);
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void connectThroughRelays() throws IOException {
        int count = hosts.size();
        FaultInjectingProxy[][] peerRelays = new FaultInjectingProxy[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                if (from != to) {
                    peerRelays[from][to] =
                            FaultInjectingProxy.start(hosts.get(to).peerAddress());
                    hostRelays.get(from).toPeers.add(peerRelays[from][to]);
                    hostRelays.get(to).fromPeers.add(peerRelays[from][to]);
                }
            }
        }
        for (int host = 0; host < count; host++) {
            Map<String, String> relayedAddresses = new HashMap<>();
            for (StandInRunner target : targets) {
                FaultInjectingProxy relay = FaultInjectingProxy.start(target.address());
                hostRelays.get(host).toTargets.add(relay);
                relayedAddresses.put(Addresses.format(target.address()), Addresses.format(relay.address()));
            }
            for (int other = 0; other < count; other++) {
                if (other != host) {
                    String address = Addresses.format(hosts.get(other).peerAddress());
                    String relayed = Addresses.format(peerRelays[host][other].address());
                    relayedAddresses.put(address, relayed);
                    // A host's greeting contains its own address. The peer would connect to it and bypass the relay.
                    peerRelays[other][host].rewriteFirstBytes(replacementOf(address, relayed));
                }
            }
            InetSocketAddress view = store.openView(text -> ADDRESS.matcher(text)
                    .replaceAll(found -> relayedAddresses.getOrDefault(found.group(), found.group())));
            hostRelays.get(host).toStore = FaultInjectingProxy.start(view);
            hosts.get(host)
                    .writeSettings(
                            shape.domainOf(host), hostRelays.get(host).toStore.address());
        }
    }

    private static UnaryOperator<byte[]> replacementOf(String text, String replacement) {
        // Both addresses have ports of five digits, so the length fields in the surrounding bytes stay valid.
        return bytes -> new String(bytes, StandardCharsets.ISO_8859_1)
                .replace(text, replacement)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    ImmutableList<HostProcess> hosts() {
        return ImmutableList.copyOf(hosts);
    }

    /** Writes a new version of the configuration to the store. */
    synchronized void changeConfig() {
        configVersion++;
        int timeoutMs = ROUTE_TIMEOUTS_MS[(int) (configVersion % ROUTE_TIMEOUTS_MS.length)];
        store.put(
                StoreTopics.OPERATOR,
                StoreTopics.CONFIG_KEY,
                StandInDocuments.config(configVersion, VIRTUAL_HOST, PATH_PREFIX, SERVICE, timeoutMs));
    }

    /** Writes the heartbeats of running targets and removes the expired entries of crashed ones. */
    synchronized void writeTargetEntries(long nowMs) {
        if (isStoreDown) {
            return;
        }
        for (int i = 0; i < targets.size(); i++) {
            StandInRunner target = targets.get(i);
            TargetState state = targetStates.get(i);
            if (state.crashedAtMs < 0) {
                store.put(
                        StoreTopics.TARGETS,
                        target.id(),
                        target.entryJson(SERVICE, shape.domainOf(i), state.draining ? "draining" : "ready"));
                state.listed = true;
            } else if (state.listed && nowMs - state.crashedAtMs > ENTRY_EXPIRY_MS) {
                store.put(StoreTopics.TARGETS, target.id(), "");
                state.listed = false;
            }
        }
    }

    /** Begins a fault and returns once it is in effect. A burst of the callers has no effect here. */
    void beginFault(Fault fault, long nowMs) {
        int victimIndex = fault.victimIndex();
        switch (fault.kind()) {
            case HOST_STOP -> hosts.get(victimIndex).stop();
            case HOST_KILL -> hosts.get(victimIndex).kill();
            case HOST_PAUSE -> hosts.get(victimIndex).pause();
            case HOST_CUT -> hostRelays.get(victimIndex).all().forEach(FaultInjectingProxy::cutConnections);
            case STORE_CUT -> hostRelays.get(victimIndex).toStore.cutConnections();
            case TARGETS_CUT -> hostRelays.get(victimIndex).toTargets.forEach(FaultInjectingProxy::cutConnections);
            case PEERS_CUT -> hostRelays.get(victimIndex).toAndFromPeers().forEach(FaultInjectingProxy::cutConnections);
            case HOST_MUTE -> {
                hostRelays.get(victimIndex).outbound().forEach(FaultInjectingProxy::dropForwardData);
                hostRelays.get(victimIndex).fromPeers.forEach(FaultInjectingProxy::dropBackwardData);
            }
            case HOST_DEAF -> {
                hostRelays.get(victimIndex).outbound().forEach(FaultInjectingProxy::dropBackwardData);
                hostRelays.get(victimIndex).fromPeers.forEach(FaultInjectingProxy::dropForwardData);
            }
            case HOST_SILENCE -> hostRelays.get(victimIndex).all().forEach(FaultInjectingProxy::silenceOpenConnections);
            case HOST_RESET -> hostRelays.get(victimIndex).all().forEach(FaultInjectingProxy::resetOpenConnections);
            case HOST_DELAY -> hostRelays.get(victimIndex).all().forEach(relay -> relay.delayData(RELAY_DELAY));
            case TARGET_CRASH -> crashTarget(victimIndex, nowMs);
            case TARGET_BREAKS_OFF -> targets.get(victimIndex).setMode(StandInRunner.Mode.BREAKS_OFF);
            case TARGET_LATE -> targets.get(victimIndex).setMode(StandInRunner.Mode.LATE);
            case TARGET_REFUSES -> targets.get(victimIndex).setMode(StandInRunner.Mode.REFUSES);
            case TARGET_FAILS -> targets.get(victimIndex).setMode(StandInRunner.Mode.FAILS);
            case TARGET_HANGS -> targets.get(victimIndex).setMode(StandInRunner.Mode.HANGS);
            case TARGET_SLOW -> targets.get(victimIndex).setMode(StandInRunner.Mode.SLOW);
            case TARGET_DRAINS -> setDraining(victimIndex, true, nowMs);
            case STORE_DOWN -> setStoreMode(StandInStore.Mode.DOWN);
            case STORE_SLOW -> setStoreMode(StandInStore.Mode.SLOW);
            case STORE_BREAKS_OFF -> setStoreMode(StandInStore.Mode.BREAKS_OFF);
            case STORE_FORGETS ->
                ImmutableList.of(StoreTopics.OPERATOR, StoreTopics.TARGETS, StoreTopics.HOSTS, StoreTopics.CLAIMS)
                        .forEach(store::dropHistory);
            case CONFIG_CHANGE -> changeConfig();
            case BURST -> {}
        }
    }

    private synchronized void setStoreMode(StandInStore.Mode mode) {
        isStoreDown = mode == StandInStore.Mode.DOWN;
        store.setMode(mode);
    }

    private synchronized void crashTarget(int target, long nowMs) {
        targets.get(target).crash();
        targetStates.get(target).crashedAtMs = nowMs;
    }

    private synchronized void setDraining(int target, boolean draining, long nowMs) {
        targetStates.get(target).draining = draining;
        writeTargetEntries(nowMs);
    }

    private synchronized void reviveTarget(int target) {
        if (targetStates.get(target).crashedAtMs >= 0) {
            targets.get(target).restart();
            targetStates.get(target).crashedAtMs = -1;
        }
    }

    /** Ends a fault and restores its victim. */
    void endFault(Fault fault, long nowMs) {
        int victimIndex = fault.victimIndex();
        switch (fault.kind().victimKind()) {
            case HOST -> {
                hosts.get(victimIndex).resume();
                hosts.get(victimIndex).start();
                hostRelays.get(victimIndex).all().forEach(FaultInjectingProxy::clearFaults);
            }
            case TARGET -> {
                reviveTarget(victimIndex);
                targets.get(victimIndex).setMode(StandInRunner.Mode.NORMAL);
                setDraining(victimIndex, false, nowMs);
            }
            case STORE -> setStoreMode(StandInStore.Mode.NORMAL);
            case NOTHING -> {}
        }
    }

    /** Ends every active fault. */
    void endAllFaults(long nowMs) {
        for (int i = 0; i < hosts.size(); i++) {
            endFault(new Fault(0, 0, FaultKind.HOST_CUT, i), nowMs);
        }
        for (int i = 0; i < targets.size(); i++) {
            endFault(new Fault(0, 0, FaultKind.TARGET_CRASH, i), nowMs);
        }
        endFault(new Fault(0, 0, FaultKind.STORE_DOWN, 0), nowMs);
    }

    /** Records the end of each run whose lease has expired. */
    void endExpiredRuns() {
        targets.forEach(StandInRunner::expireLapsedRuns);
    }

    @Override
    public void close() {
        hosts.forEach(HostProcess::close);
        hostRelays.forEach(link -> link.outbound().forEach(FaultInjectingProxy::close));
        targets.forEach(StandInRunner::close);
        store.close();
    }
}
