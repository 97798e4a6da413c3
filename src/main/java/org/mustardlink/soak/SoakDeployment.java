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
import org.mustardlink.exercise.Relay;
import org.mustardlink.http.Addresses;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.standin.StandInDocuments;
import org.mustardlink.platform.standin.StandInRunner;
import org.mustardlink.platform.standin.StandInStore;

/**
 * Store and targets in this process and hosts as processes, with a relay on every way between a host and anything else but
 * its callers. Each host reads the store through a view of its own, which names the relays instead of the true addresses.
 */
final class SoakDeployment implements AutoCloseable {
    static final String VIRTUAL_HOST = "jobs.example";
    static final String PREFIX = "/jobs/";
    /** Tasks that fit on a target at once; the users' targets have as many. */
    static final int SLOTS = 8;

    private static final String SERVICE = "yard";
    /** Time-outs of a route that configurations take in turn; both are beyond the callers' deadline. */
    private static final int[] TIMEOUTS_MS = {3_000, 2_500};

    private static final Duration DELAY = Duration.ofMillis(150);
    /** The platform drops the entry of a target that has been silent for this long. */
    private static final long LISTED_MS = 3_000;

    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:\\d+");

    private final SoakShape shape;
    private final StandInStore store = StandInStore.start(loopback());
    private final List<StandInRunner> targets = new ArrayList<>();
    private final List<TargetState> states = new ArrayList<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<Links> links = new ArrayList<>();
    private long configVersion;
    private boolean storeDown;

    private static final class TargetState {
        private boolean draining;
        private long crashedMs = -1;
        private boolean listed = true;
    }

    /** A host's relays: those on which it connects, and those on which peers connect to it. */
    private static final class Links {
        private final List<Relay> toTargets = new ArrayList<>();
        private final List<Relay> toPeers = new ArrayList<>();
        private final List<Relay> fromPeers = new ArrayList<>();
        private Relay toStore;

        private ImmutableList<Relay> outward() {
            return ImmutableList.<Relay>builder()
                    .add(toStore)
                    .addAll(toTargets)
                    .addAll(toPeers)
                    .build();
        }

        private ImmutableList<Relay> peers() {
            return ImmutableList.<Relay>builder()
                    .addAll(toPeers)
                    .addAll(fromPeers)
                    .build();
        }

        private ImmutableList<Relay> all() {
            return ImmutableList.<Relay>builder()
                    .addAll(outward())
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
     * @param directory where hosts keep their logs
     * @param listener hears of the targets' runs
     * @param ownEnds hears of hosts whose process ended without being asked to
     * @throws IOException if a file or a socket can't be opened
     */
    static SoakDeployment start(SoakShape shape, Path directory, StandInRunner.RunListener listener, OwnEnds ownEnds)
            throws IOException {
        SoakDeployment deployment = new SoakDeployment(shape);
        deployment.changeConfig();
        for (int i = 0; i < shape.targets(); i++) {
            deployment.targets.add(
                    StandInRunner.startAtProtocolLimits("target-" + i, SLOTS, loopback(), listener, shape.seed() + i));
            deployment.states.add(new TargetState());
        }
        deployment.heartbeat(0);
        for (int i = 0; i < shape.hosts(); i++) {
            String id = "host-" + i;
            deployment.hosts.add(HostProcess.create(id, directory, code -> ownEnds.ended(id, code)));
            deployment.links.add(new Links());
        }
        deployment.connect();
        deployment.hosts.forEach(HostProcess::start);
        return deployment;
    }

    /** Hears of processes that ended without being asked to. */
    @FunctionalInterface
    interface OwnEnds {
        void ended(String host, int exitCode);
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void connect() throws IOException {
        int count = hosts.size();
        Relay[][] between = new Relay[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                if (from != to) {
                    between[from][to] = Relay.to(hosts.get(to).peers());
                    links.get(from).toPeers.add(between[from][to]);
                    links.get(to).fromPeers.add(between[from][to]);
                }
            }
        }
        for (int host = 0; host < count; host++) {
            Map<String, String> seen = new HashMap<>();
            for (StandInRunner target : targets) {
                Relay relay = Relay.to(target.address());
                links.get(host).toTargets.add(relay);
                seen.put(Addresses.format(target.address()), Addresses.format(relay.address()));
            }
            for (int other = 0; other < count; other++) {
                if (other != host) {
                    String address = Addresses.format(hosts.get(other).peers());
                    String relayed = Addresses.format(between[host][other].address());
                    seen.put(address, relayed);
                    // A host introduces itself by its own address, which the other would use past the relay.
                    between[other][host].rewriteGreeting(replacing(address, relayed));
                }
            }
            InetSocketAddress view = store.openView(
                    text -> ADDRESS.matcher(text).replaceAll(found -> seen.getOrDefault(found.group(), found.group())));
            links.get(host).toStore = Relay.to(view);
            hosts.get(host)
                    .configure(shape.domainOf(host), links.get(host).toStore.address());
        }
    }

    private static UnaryOperator<byte[]> replacing(String text, String other) {
        // Both have five digits in their ports, so that the lengths in the bytes around them stay true.
        return bytes -> new String(bytes, StandardCharsets.ISO_8859_1)
                .replace(text, other)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    ImmutableList<HostProcess> hosts() {
        return ImmutableList.copyOf(hosts);
    }

    /** Writes a new version of the configuration. */
    synchronized void changeConfig() {
        configVersion++;
        int timeoutMs = TIMEOUTS_MS[(int) (configVersion % TIMEOUTS_MS.length)];
        store.put(
                StoreTopics.OPERATOR,
                StoreTopics.CONFIG_KEY,
                StandInDocuments.config(configVersion, VIRTUAL_HOST, PREFIX, SERVICE, timeoutMs));
    }

    /** Writes the targets' entries, as they do about every second. */
    synchronized void heartbeat(long nowMs) {
        if (storeDown) {
            return;
        }
        for (int i = 0; i < targets.size(); i++) {
            StandInRunner target = targets.get(i);
            TargetState state = states.get(i);
            if (state.crashedMs < 0) {
                store.put(
                        StoreTopics.TARGETS,
                        target.id(),
                        target.entryJson(SERVICE, shape.domainOf(i), state.draining ? "draining" : "ready"));
                state.listed = true;
            } else if (state.listed && nowMs - state.crashedMs > LISTED_MS) {
                store.put(StoreTopics.TARGETS, target.id(), "");
                state.listed = false;
            }
        }
    }

    /** Begins a fault that isn't one of the callers; returns when it has begun. */
    void begin(Fault fault, long nowMs) {
        int victim = fault.victim();
        switch (fault.kind()) {
            case HOST_STOP -> hosts.get(victim).stop();
            case HOST_KILL -> hosts.get(victim).kill();
            case HOST_PAUSE -> hosts.get(victim).pause();
            case HOST_CUT -> links.get(victim).all().forEach(Relay::cut);
            case STORE_CUT -> links.get(victim).toStore.cut();
            case TARGETS_CUT -> links.get(victim).toTargets.forEach(Relay::cut);
            case PEERS_CUT -> links.get(victim).peers().forEach(Relay::cut);
            case HOST_MUTE -> {
                links.get(victim).outward().forEach(Relay::dropForward);
                links.get(victim).fromPeers.forEach(Relay::dropBackward);
            }
            case HOST_DEAF -> {
                links.get(victim).outward().forEach(Relay::dropBackward);
                links.get(victim).fromPeers.forEach(Relay::dropForward);
            }
            case HOST_SILENCE -> links.get(victim).all().forEach(Relay::silenceOpen);
            case HOST_RESET -> links.get(victim).all().forEach(Relay::resetOpen);
            case HOST_DELAY -> links.get(victim).all().forEach(relay -> relay.delay(DELAY));
            case TARGET_CRASH -> crash(victim, nowMs);
            case TARGET_BREAKS_OFF -> targets.get(victim).setMode(StandInRunner.Mode.BREAKS_OFF);
            case TARGET_LATE -> targets.get(victim).setMode(StandInRunner.Mode.LATE);
            case TARGET_REFUSES -> targets.get(victim).setMode(StandInRunner.Mode.REFUSES);
            case TARGET_FAILS -> targets.get(victim).setMode(StandInRunner.Mode.FAILS);
            case TARGET_HANGS -> targets.get(victim).setMode(StandInRunner.Mode.HANGS);
            case TARGET_SLOW -> targets.get(victim).setMode(StandInRunner.Mode.SLOW);
            case TARGET_DRAINS -> drain(victim, true, nowMs);
            case STORE_DOWN -> setStore(StandInStore.Mode.DOWN);
            case STORE_SLOW -> setStore(StandInStore.Mode.SLOW);
            case STORE_BREAKS_OFF -> setStore(StandInStore.Mode.BREAKS_OFF);
            case STORE_FORGETS ->
                ImmutableList.of(StoreTopics.OPERATOR, StoreTopics.TARGETS, StoreTopics.HOSTS, StoreTopics.CLAIMS)
                        .forEach(store::dropHistory);
            case CONFIG_CHANGE -> changeConfig();
            case BURST -> {}
        }
    }

    private synchronized void setStore(StandInStore.Mode mode) {
        storeDown = mode == StandInStore.Mode.DOWN;
        store.setMode(mode);
    }

    private synchronized void crash(int target, long nowMs) {
        targets.get(target).crash();
        states.get(target).crashedMs = nowMs;
    }

    private synchronized void drain(int target, boolean draining, long nowMs) {
        states.get(target).draining = draining;
        heartbeat(nowMs);
    }

    private synchronized void revive(int target) {
        if (states.get(target).crashedMs >= 0) {
            targets.get(target).restart();
            states.get(target).crashedMs = -1;
        }
    }

    /** Ends a fault. */
    void end(Fault fault, long nowMs) {
        int victim = fault.victim();
        switch (fault.kind().victim()) {
            case HOST -> {
                hosts.get(victim).resume();
                hosts.get(victim).start();
                links.get(victim).all().forEach(Relay::heal);
            }
            case TARGET -> {
                revive(victim);
                targets.get(victim).setMode(StandInRunner.Mode.NORMAL);
                drain(victim, false, nowMs);
            }
            case STORE -> setStore(StandInStore.Mode.NORMAL);
            case NOTHING -> {}
        }
    }

    /** Ends whatever fault lasts. */
    void healAll(long nowMs) {
        for (int i = 0; i < hosts.size(); i++) {
            end(new Fault(0, 0, FaultKind.HOST_CUT, i), nowMs);
        }
        for (int i = 0; i < targets.size(); i++) {
            end(new Fault(0, 0, FaultKind.TARGET_CRASH, i), nowMs);
        }
        end(new Fault(0, 0, FaultKind.STORE_DOWN, 0), nowMs);
    }

    /** Notes the ends of runs whose lease is over. */
    void settle() {
        targets.forEach(StandInRunner::expireLapsedRuns);
    }

    @Override
    public void close() {
        hosts.forEach(HostProcess::close);
        links.forEach(link -> link.outward().forEach(Relay::close));
        targets.forEach(StandInRunner::close);
        store.close();
    }
}
