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
import org.mustardlink.core.policy.ExpectedFinishPlacement;
import org.mustardlink.directory.HostListing;
import org.mustardlink.directory.PlatformClient;
import org.mustardlink.entry.EntryHost;
import org.mustardlink.entry.Incarnations;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** A whole deployment in one process: a stand-in platform, stand-in targets and entry hosts in failure domains. */
public final class TestBed implements AutoCloseable {
    /** The service of every target. */
    public static final String SERVICE = "yard";

    /** Connections that each target accepts, divided evenly among the entry hosts of its domain. */
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
     * @param entryHostsPerDomain number of entry hosts in each domain
     * @param targetsPerDomain number of targets in each domain
     * @param slots number of slots of each target
     * @param speeds speeds of the targets of each domain, repeated cyclically
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
     * Options of a deployment other than its size.
     *
     * @param policyFactory creates the placement policy of each entry host
     * @param declaresSpeeds whether the configuration declares the true speeds of the targets; otherwise it declares
     *     speed 1
     * @param platformAddress address on which the platform listens; port 0 selects a free port
     */
    public record Options(
            Supplier<PlacementPolicy> policyFactory, boolean declaresSpeeds, InetSocketAddress platformAddress) {
        /**
         * Returns the default options: the placement policy of an entry host daemon, declared speeds, and a free port.
         */
        public static Options defaults() {
            return new Options(ExpectedFinishPlacement::create, true, loopback());
        }

        /** Returns these options with another address of the platform. */
        public Options withPlatform(InetSocketAddress address) {
            return new Options(policyFactory, declaresSpeeds, address);
        }
    }

    /** Starts a deployment with default options and waits until every entry host is ready and knows all others. */
    public static TestBed start(Shape shape) {
        return start(shape, Options.defaults());
    }

    /** Starts a deployment and waits until every entry host is ready and knows all others. */
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
                        EntrySettings.forLoopback(id, domain, platform.address(), settingChanges),
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

    /** Returns the number of tasks that were started more than once, counted over all targets. */
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
        while (entryHosts.stream().anyMatch(entry -> entry.aliveHostCount() < entryHosts.size() || !entry.ready())) {
            checkState(
                    System.nanoTime() < deadlineNanos,
                    "some entry hosts are not ready or do not know all others after %s",
                    READY_TIMEOUT);
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
        }
    }

    private static void publishConfig(StandInPlatform platform, ImmutableList<String> records) {
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls())) {
            PlatformClient.create(requester, platform.address())
                    .append(ConfigReader.CONFIG_STREAM, records)
                    .join();
        }
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
