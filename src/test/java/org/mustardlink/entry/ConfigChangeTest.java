package org.mustardlink.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.config.replica.ApplyResult.Result;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.Reason;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;
import org.mustardlink.standin.StandInPlatform;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** Tests configuration changes by operators on entry hosts that run over loopback. */
class ConfigChangeTest {
    private static final String TARGET = "balanza-target-2";
    private static final ImmutableMap<String, Object> TASK =
            ImmutableMap.of("payload", "{\"runMs\":60,\"answer\":\"ok\"}", "declaredMs", 60);
    private static final ImmutableMap<String, Object> JOB =
            ImmutableMap.of("service", TestBed.SERVICE, "team", "clerks", "tasks", ImmutableList.of(TASK, TASK, TASK));

    private final Map<Reason, Integer> reasonCounts = Collections.synchronizedMap(new EnumMap<>(Reason.class));
    private final List<EntryHost> replacements = new ArrayList<>();
    private TestBed bed;
    private HttpRequester requester;
    private CallerClient caller;

    @BeforeEach
    void start() {
        bed = TestBed.start(TestBed.Shape.demo());
        requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        caller = new CallerClient(requester);
    }

    @AfterEach
    void stop() {
        requester.close();
        replacements.forEach(EntryHost::close);
        bed.close();
    }

    /** Guards against a change that is late on some host, and against a reply that leaves out unreachable hosts. */
    @Test
    void a_change_is_in_force_on_all_hosts_within_three_seconds_and_the_reply_lists_them() {
        long start = System.nanoTime();
        ChangeReply first = applyChange(0, teamChange("a", "", 5)).join();
        assertThat(first.result()).isEqualTo(Result.IN_FORCE);
        assertThat(first.hosts().get("inForce")).hasSize(6);
        assertThat(System.nanoTime() - start).isLessThan(Duration.ofSeconds(3).toNanos());

        bed.entryHosts().get(5).close();
        ChangeReply second = applyChange(1, teamChange("b", ",\"base\":" + first.offset(), 6))
                .join();
        assertThat(second.result()).isEqualTo(Result.IN_FORCE);
        assertThat(second.hosts().get("unreachable")).containsExactly("oficina-entry-1");

        ChangeReply rejected = applyChange(2, teamChange("c", ",\"base\":" + first.offset(), 7))
                .join();
        assertThat(rejected.result()).isEqualTo(Result.REJECTED);
        assertThat(rejected.winner()).isEqualTo("b");
    }

    /**
     * Guards against a change that is lost, applied twice or reported as in force while the platform answers late or
     * not at all.
     */
    @Test
    void a_change_survives_a_slow_platform_lost_answers_and_an_outage() {
        bed.platform().injectFaults(new StandInPlatform.Faults(false, 1500, false, 0));
        assertThat(applyChange(0, teamChange("slow", "", 5)).join().result())
                .isAnyOf(Result.IN_FORCE, Result.UNSETTLED);
        bed.platform().injectFaults(new StandInPlatform.Faults(false, 0, true, 0));
        assertThat(applyChange(1, teamChange("slow", "", 5)).join().result()).isEqualTo(Result.IN_FORCE);
        ChangeReply next = applyChange(2, drainOrder("lost")).join();
        assertThat(next.result()).isEqualTo(Result.IN_FORCE);

        bed.platform().injectFaults(new StandInPlatform.Faults(true, 0, false, 0));
        assertThat(applyChange(3, teamChange("down", "", 7)).join().result()).isNotEqualTo(Result.IN_FORCE);
        assertThat(bed.entryHosts().stream().map(EntryHost::configOffset).distinct())
                .containsExactly(next.offset() + 1);
    }

    /**
     * Guards against failed requests, and task starts more than 2 s after the order, while a target is drained under
     * load.
     */
    @Test
    void a_target_is_drained_under_load_without_a_failed_request() {
        AtomicBoolean stopped = new AtomicBoolean();
        CompletableFuture<Void> load = startLoad(bed.callerAddresses(), stopped);
        await().until(() -> startCount(2) > 20);

        long marked = System.nanoTime();
        ChangeReply drain = applyChange(5, drainOrder("d")).join();
        assertThat(drain.result()).isEqualTo(Result.IN_FORCE);
        await().until(() -> System.nanoTime() - marked > Duration.ofSeconds(2).toNanos());
        int startsAtBound = startCount(2);
        await().atMost(Duration.ofSeconds(5)).until(() -> targetStatus().contains("DRAINED"));
        stopped.set(true);
        load.join();

        assertThat(startCount(2)).isEqualTo(startsAtBound);
        assertThat(startCount(0) + startCount(1)).isGreaterThan(0);
        assertThat(reasonCounts.keySet()).containsExactly(Reason.OK);

        bed.entryHosts().get(2).close();
        assertThat(targetStatus()).contains("UNKNOWN");
        assertThat(targetStatus()).contains("galpon-entry-0");
    }

    /** Guards against a configuration that reverts, and requests that are cut off, while hosts are replaced. */
    @Test
    void all_hosts_can_be_replaced_under_load_while_the_platform_is_down() {
        ChangeReply change = applyChange(0, drainOrder("d")).join();
        bed.platform().injectFaults(new StandInPlatform.Faults(true, 0, false, 0));
        List<EntryHost> hosts = Collections.synchronizedList(new ArrayList<>(bed.entryHosts()));
        AtomicBoolean stopped = new AtomicBoolean();
        List<InetSocketAddress> addresses = Collections.synchronizedList(new ArrayList<>(bed.callerAddresses()));
        CompletableFuture<Void> load = startLoad(addresses, stopped);

        for (int i = 0; i < 6; i++) {
            EntryHost old = hosts.get(i);
            EntryHost next = startReplacement(hosts, i);
            await().atMost(Duration.ofSeconds(5)).until(next::ready);
            assertThat(next.configOffset()).isAtLeast(change.offset() + 1);
            hosts.set(i, next);
            addresses.set(i, next.callerAddress());
            old.stop(Duration.ofSeconds(2));
        }
        stopped.set(true);
        load.join();

        assertWithMessage("verdicts %s", reasonCounts)
                .that(reasonCounts.keySet())
                .containsNoneIn(mayHaveRunReasons());
        assertThat(reasonCounts.get(Reason.OK)).isGreaterThan(50);
        assertThat(bed.repeatedStarts()).isEqualTo(0);
    }

    private record ChangeReply(Result result, String winner, long offset, Map<String, List<String>> hosts) {}

    private CompletableFuture<ChangeReply> applyChange(int host, String change) {
        InetSocketAddress entry = bed.entryHosts().get(host).operatorAddress();
        return requester
                .send(entry, HttpCall.post("/v1/config/changes", change, Duration.ofSeconds(15)))
                .thenApply(reply -> {
                    try {
                        return Json.read(reply.body(), ChangeReply.class);
                    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                        throw new IllegalStateException(reply.body(), e);
                    }
                });
    }

    private String targetStatus() {
        InetSocketAddress entry = bed.entryHosts().get(0).operatorAddress();
        return requester
                .send(entry, HttpCall.get("/v1/targets/" + TARGET, Duration.ofSeconds(5)))
                .join()
                .body();
    }

    private EntryHost startReplacement(List<EntryHost> hosts, int index) {
        String seeds =
                hosts.stream().map(host -> Addresses.format(host.peerAddress())).collect(Collectors.joining(", "));
        EntrySettings settings = EntrySettings.forLoopback(
                "replaced-" + index, "balanza", bed.platform().address(), Map.of("peers.seeds", seeds));
        EntryHost host = EntryHost.start(settings, Incarnations.next(Clock.systemUTC()));
        replacements.add(host);
        return host;
    }

    /** Starts one thread for each address, which submits one job after another there until stopped. */
    private CompletableFuture<Void> startLoad(List<InetSocketAddress> addresses, AtomicBoolean stopped) {
        return CompletableFuture.allOf(java.util.stream.IntStream.range(0, addresses.size())
                .mapToObj(i -> CompletableFuture.runAsync(
                        () -> {
                            while (!stopped.get()) {
                                submit(addresses.get(i));
                            }
                        },
                        task -> new Thread(task, "caller").start()))
                .toArray(CompletableFuture[]::new));
    }

    private void submit(InetSocketAddress entry) {
        try {
            String session = caller.openSession(entry).join();
            if (session != null) {
                reasonCounts.merge(
                        caller.submit(entry, session, 0, JOB, Duration.ofSeconds(5))
                                .join()
                                .reason(),
                        1,
                        Integer::sum);
            }
        } catch (java.util.concurrent.CompletionException e) {
            boolean refused = e.getCause() instanceof org.mustardlink.errors.CodedException coded
                    && coded.code() == org.mustardlink.errors.ErrorCode.NOT_SENT;
            reasonCounts.merge(refused ? Reason.HOST_LEAVING : Reason.OWNER_GONE, 1, Integer::sum);
        }
    }

    private static List<Reason> mayHaveRunReasons() {
        return java.util.Arrays.stream(Reason.values())
                .filter(reason -> reason.outcome() == org.mustardlink.core.Outcome.MAY_HAVE_RUN)
                .toList();
    }

    private int startCount(int target) {
        StandInTarget started = bed.targets().get(target);
        return started.startsByTask().size();
    }

    private static String teamChange(String change, String base, int quota) {
        return "{\"schema\":2,\"change\":\"%s\",\"kind\":\"team\",\"name\":\"clerks\"%s,\"body\":{\"quota\":%d,\"weight\":1}}"
                .formatted(change, base, quota);
    }

    private static String drainOrder(String change) {
        return "{\"schema\":2,\"change\":\"%s\",\"kind\":\"drain\",\"name\":\"%s\",\"body\":{\"target\":\"%s\",\"action\":\"DRAIN\"}}"
                .formatted(change, TARGET, TARGET);
    }
}
