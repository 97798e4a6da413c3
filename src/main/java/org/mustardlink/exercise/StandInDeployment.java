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

/** A whole deployment in one process on loopback: a stand-in store, stand-in targets, and dispatch hosts. */
public final class StandInDeployment implements AutoCloseable {
    /** The service of all targets and of the queue. */
    public static final String SERVICE = "yard";

    private static final String VIRTUAL_HOST = "jobs.example";
    private static final Duration LEASE_DURATION = Duration.ofSeconds(1);
    private static final Duration RESEND_DELAY = Duration.ofMillis(1_300);
    private static final Duration STOP_GRACE = Duration.ofSeconds(6);

    private final StandInStore store;
    private final List<StandInRunner> runners = new ArrayList<>();
    private final Map<String, DispatchHost> hosts = new LinkedHashMap<>();
    private final Map<String, HostSettings> settingsById = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> callerAddresses = new LinkedHashMap<>();
    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
    private final AtomicLong lastIncarnation = new AtomicLong(1);
    private long configVersion;

    private StandInDeployment() {
        store = StandInStore.start(loopback());
    }

    /** Starts a deployment with a configuration of one queue and without targets or hosts. */
    public static StandInDeployment start() {
        StandInDeployment deployment = new StandInDeployment();
        deployment.publishConfig("/jobs/");
        return deployment;
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.findPort());
    }

    /** Publishes a configuration of one queue with a path prefix. */
    public void publishConfig(String pathStart) {
        configVersion++;
        store.put(
                StoreTopics.OPERATOR,
                StoreTopics.CONFIG_KEY,
                StandInDocuments.config(configVersion, VIRTUAL_HOST, pathStart, SERVICE));
    }

    /** Starts a target and lists it in the store as ready. */
    public StandInRunner addTarget(String id, String domain, int slots) {
        StandInRunner runner = StandInRunner.start(id, slots, loopback());
        runners.add(runner);
        store.put(StoreTopics.TARGETS, id, runner.entryJson(SERVICE, domain, "ready"));
        return runner;
    }

    /** Lists a target in the store as draining. */
    public void listAsDraining(StandInRunner runner, String domain) {
        store.put(StoreTopics.TARGETS, runner.id(), runner.entryJson(SERVICE, domain, "draining"));
    }

    /** Closes a dispatch host without a graceful stop and starts it again at the same addresses. */
    public DispatchHost restartHost(String id, String domain) {
        hosts.get(id).close();
        return addHost(id, domain);
    }

    /** Starts a dispatch host. */
    public DispatchHost addHost(String id, String domain) {
        HostSettings settings = settingsById.computeIfAbsent(id, _id -> createSettings(id, domain));
        DispatchHost host = DispatchHost.start(settings, lastIncarnation.incrementAndGet());
        hosts.put(id, host);
        callerAddresses.put(id, settings.callerAddress());
        return host;
    }

    private HostSettings createSettings(String id, String domain) {
        return new HostSettings(
                id,
                domain,
                1_000,
                freeAddress(),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                store.address(),
                LEASE_DURATION,
                RESEND_DELAY,
                STOP_GRACE,
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

    /** Returns the dispatch host with an id. */
    public DispatchHost host(String id) {
        return hosts.get(id);
    }

    /**
     * Submits a job of equal tasks.
     *
     * @param host id of the dispatch host to which the job is sent
     * @param job id of the job, 16 hexadecimal digits
     * @param tasks number of tasks
     * @param taskMs run time of each task in milliseconds
     */
    public CompletableFuture<HttpReply> submit(String host, String job, int tasks, int taskMs) {
        String body = StandInDocuments.job(tasks, taskMs);
        return sendRequest(host, "POST", "/jobs/" + job, body);
    }

    /** Sends a request to the caller address of a dispatch host. */
    public CompletableFuture<HttpReply> sendRequest(String host, String method, String path, String body) {
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
