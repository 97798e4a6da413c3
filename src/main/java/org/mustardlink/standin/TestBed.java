package org.mustardlink.standin;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.mustardlink.config.replica.ConfigReader;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.policy.ExpectedFinish;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.entry.EntryHost;
import org.mustardlink.entry.Incarnations;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** A whole deployment inside one process: a stand-in platform, stand-in targets and entry hosts in failure domains. */
public final class TestBed implements AutoCloseable {
    /** The service that every target serves. */
    public static final String SERVICE = "yard";

    /** Connections that each target accepts, divided over the entry hosts of its domain. */
    private static final int CONNECTIONS_PER_TARGET = 64;

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);

    private final StandInPlatform platform;
    private final ImmutableList<StandInTarget> targets;
    private final ImmutableList<EntryHost> entryHosts;

    private TestBed(
            StandInPlatform platform, ImmutableList<StandInTarget> targets, ImmutableList<EntryHost> entryHosts) {
        this.platform = platform;
        this.targets = targets;
        this.entryHosts = entryHosts;
    }

    /**
     * Size of a deployment.
     *
     * @param domains names of the failure domains
     * @param entryHostsPerDomain entry hosts in each
     * @param targetsPerDomain targets in each
     * @param slots slots of each target
     * @param speeds speeds of the targets of a domain, repeated as needed
     */
    public record Shape(
            ImmutableList<String> domains,
            int entryHostsPerDomain,
            int targetsPerDomain,
            int slots,
            ImmutableList<Double> speeds) {
        /** Returns a small deployment with three failure domains. */
        public static Shape demo() {
            return new Shape(
                    ImmutableList.of("balanza", "galpon", "oficina"), 2, 3, 8, ImmutableList.of(1.0, 2.0, 4.0));
        }
    }

    /**
     * What a deployment may vary beside its size.
     *
     * @param policyFactory makes the placement policy of one entry host
     * @param declaresSpeeds whether configuration declares the true speeds; otherwise it declares 1 for each target
     * @param platformAddress where the platform listens; port 0 takes a free one
     */
    public record Options(
            Supplier<PlacementPolicy> policyFactory, boolean declaresSpeeds, InetSocketAddress platformAddress) {
        /** Returns the policy of the daemon with declared speeds. */
        public static Options defaults() {
            return new Options(ExpectedFinish::create, true, loopback());
        }

        /** Returns the same options with another address of the platform. */
        public Options withPlatform(InetSocketAddress address) {
            return new Options(policyFactory, declaresSpeeds, address);
        }
    }

    /** Starts a deployment and waits until the platform knows all of it. */
    public static TestBed start(Shape shape) {
        return start(shape, Options.defaults());
    }

    /** Starts a deployment with options and waits until the platform knows all of it. */
    public static TestBed start(Shape shape, Options options) {
        StandInPlatform platform = StandInPlatform.start(options.platformAddress());
        List<StandInTarget> targets = new ArrayList<>();
        List<EntryHost> entryHosts = new ArrayList<>();
        List<String> records = new ArrayList<>();
        List<HostListing.Host> hosts = new ArrayList<>();
        for (String domain : shape.domains()) {
            for (int i = 0; i < shape.targetsPerDomain(); i++) {
                double speed = shape.speeds().get(i % shape.speeds().size());
                StandInTarget target =
                        StandInTarget.start(loopback(), new StandInTarget.Settings(shape.slots(), speed));
                targets.add(target);
                String id = domain + "-target-" + i;
                TargetSpec spec = new TargetSpec(
                        id,
                        SERVICE,
                        domain,
                        Addresses.format(target.address()),
                        shape.slots(),
                        CONNECTIONS_PER_TARGET,
                        options.declaresSpeeds() ? speed : 1.0);
                records.add(Json.write(ImmutableMap.of(
                        "schema", 1, "change", "change-" + id, "kind", "target", "name", id, "body", spec)));
            }
        }
        publishConfig(platform, ImmutableList.copyOf(records));
        ImmutableMap<String, String> settingChanges = ImmutableMap.of(
                "limits.target-connections",
                Integer.toString(CONNECTIONS_PER_TARGET / Math.max(1, shape.entryHostsPerDomain())));
        for (String domain : shape.domains()) {
            for (int i = 0; i < shape.entryHostsPerDomain(); i++) {
                String id = domain + "-entry-" + i;
                EntryHost entryHost = EntryHost.start(
                        EntrySettings.local(id, domain, platform.address(), settingChanges),
                        Incarnations.next(Clock.systemUTC()),
                        options.policyFactory().get());
                entryHosts.add(entryHost);
                hosts.add(new HostListing.Host(
                        id,
                        HostListing.Kind.ENTRY,
                        domain,
                        Addresses.format(entryHost.peerAddress()),
                        HostListing.State.LIVE));
            }
        }
        platform.publishHosts(ImmutableList.copyOf(hosts));
        awaitReady(entryHosts);
        return new TestBed(platform, ImmutableList.copyOf(targets), ImmutableList.copyOf(entryHosts));
    }

    /** Returns the stand-in platform. */
    public StandInPlatform platform() {
        return platform;
    }

    /** Returns the stand-in targets, domain by domain. */
    public ImmutableList<StandInTarget> targets() {
        return targets;
    }

    /** Returns the entry hosts, domain by domain. */
    public ImmutableList<EntryHost> entryHosts() {
        return entryHosts;
    }

    /** Returns the caller addresses of the entry hosts, domain by domain. */
    public ImmutableList<InetSocketAddress> callerAddresses() {
        return entryHosts.stream().map(EntryHost::callerAddress).collect(ImmutableList.toImmutableList());
    }

    /** Returns how many tasks were started more than once, counted over all targets. */
    public long repeatedStarts() {
        Map<String, Integer> startsByTask = new HashMap<>();
        targets.forEach(target ->
                target.startsByTask().forEach((task, count) -> startsByTask.merge(task, count, Integer::sum)));
        return startsByTask.values().stream().filter(count -> count > 1).count();
    }

    @Override
    public void close() {
        entryHosts.forEach(EntryHost::close);
        targets.forEach(StandInTarget::close);
        platform.close();
    }

    private static void awaitReady(List<EntryHost> entryHosts) {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (entryHosts.stream().anyMatch(entry -> entry.knownPeers() < entryHosts.size() || !entry.ready())) {
            checkState(
                    System.nanoTime() < deadlineNanos,
                    "the entry hosts do not know each other after %s",
                    READY_TIMEOUT);
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
        }
    }

    private static void publishConfig(StandInPlatform platform, ImmutableList<String> records) {
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.small())) {
            PlatformClient.create(requester, platform.address())
                    .append(ConfigReader.STREAM, records)
                    .join();
        }
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
