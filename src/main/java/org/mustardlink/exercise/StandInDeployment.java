package org.mustardlink.exercise;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardlink.config.settings.HostSettings;
import org.mustardlink.host.DispatchHost;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.standin.StandInDocuments;
import org.mustardlink.platform.standin.StandInRunner;
import org.mustardlink.platform.standin.StandInStore;

/** A whole deployment in one process on loopback: a store, targets, and dispatch hosts. */
public final class StandInDeployment implements AutoCloseable {
    /** The one service. */
    public static final String SERVICE = "yard";

    private static final String VIRTUAL_HOST = "jobs.example";
    private static final Duration LEASE = Duration.ofSeconds(1);
    private static final Duration GRACE = Duration.ofSeconds(6);

    private final StandInStore store;
    private final List<StandInRunner> runners = new ArrayList<>();
    private final Map<String, DispatchHost> hosts = new LinkedHashMap<>();
    private final Map<String, HostSettings> settingsOf = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> callerAddresses = new LinkedHashMap<>();
    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.small());
    private final AtomicLong incarnations = new AtomicLong(1);
    private long configVersion;

    private StandInDeployment() {
        store = StandInStore.start(loopback());
    }

    /** Starts a deployment without targets and hosts, with a configuration of one queue. */
    public static StandInDeployment start() {
        StandInDeployment deployment = new StandInDeployment();
        deployment.configure("/jobs/");
        return deployment;
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    /** Publishes a configuration in which the one queue has a path prefix. */
    public void configure(String pathStart) {
        configVersion++;
        store.put(
                StoreTopics.OPERATOR,
                StoreTopics.CONFIG_KEY,
                StandInDocuments.config(configVersion, VIRTUAL_HOST, pathStart, SERVICE));
    }

    /** Starts a target and lists it. */
    public StandInRunner addTarget(String id, String domain, int slots) {
        StandInRunner runner = StandInRunner.start(id, slots, loopback());
        runners.add(runner);
        store.put(StoreTopics.TARGETS, id, runner.entryJson(SERVICE, domain, "ready"));
        return runner;
    }

    /** Lists a target as draining. */
    public void drain(StandInRunner runner, String domain) {
        store.put(StoreTopics.TARGETS, runner.id(), runner.entryJson(SERVICE, domain, "draining"));
    }

    /** Ends a dispatch host at once and starts it again at the same addresses. */
    public DispatchHost restartHost(String id, String domain) {
        hosts.get(id).close();
        return addHost(id, domain);
    }

    /** Starts a dispatch host. */
    public DispatchHost addHost(String id, String domain) {
        HostSettings settings = settingsOf.computeIfAbsent(id, _id -> newSettings(id, domain));
        DispatchHost host = DispatchHost.start(settings, incarnations.incrementAndGet());
        hosts.put(id, host);
        callerAddresses.put(id, settings.callers());
        return host;
    }

    private HostSettings newSettings(String id, String domain) {
        return new HostSettings(
                id,
                domain,
                1_000,
                freeAddress(),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                store.address(),
                LEASE,
                GRACE,
                new HostSettings.Logs("INFO", "WARN", 200));
    }

    /** Returns the store. */
    public StandInStore store() {
        return store;
    }

    /** Returns the targets. */
    public ImmutableList<StandInRunner> targets() {
        return ImmutableList.copyOf(runners);
    }

    /** Returns a host. */
    public DispatchHost host(String id) {
        return hosts.get(id);
    }

    /**
     * Submits a job of equal tasks.
     *
     * @param host the host to send it to
     * @param job 16 hexadecimal digits
     * @param tasks number of tasks
     * @param taskMs running time of a task
     */
    public CompletableFuture<HttpReply> submit(String host, String job, int tasks, int taskMs) {
        String body = StandInDocuments.job(tasks, taskMs);
        return call(host, "POST", "/jobs/" + job, body);
    }

    /** Sends a request as a caller. */
    public CompletableFuture<HttpReply> call(String host, String method, String path, String body) {
        HttpCall call = new HttpCall(
                method,
                path,
                ImmutableMap.of("Host", VIRTUAL_HOST, "Content-Type", "application/json"),
                body,
                Duration.ofSeconds(5));
        return requester.send(callerAddresses.get(host), call);
    }

    @Override
    public void close() {
        hosts.values().forEach(DispatchHost::close);
        runners.forEach(StandInRunner::close);
        store.close();
        requester.close();
    }
}
