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

/** Operators' changes at real entry hosts over loopback. */
class ConfigChangeTest {
    private static final String TARGET = "balanza-target-2";
    private static final ImmutableMap<String, Object> TASK =
            ImmutableMap.of("payload", "{\"runMs\":60,\"answer\":\"ok\"}", "declaredMs", 60);
    private static final ImmutableMap<String, Object> JOB =
            ImmutableMap.of("service", TestBed.SERVICE, "team", "clerks", "tasks", ImmutableList.of(TASK, TASK, TASK));

    private final Map<Reason, Integer> verdicts = Collections.synchronizedMap(new EnumMap<>(Reason.class));
    private final List<EntryHost> replacements = new ArrayList<>();
    private TestBed bed;
    private HttpRequester requester;
    private CallerClient caller;

    @BeforeEach
    void start() {
        bed = TestBed.start(TestBed.Shape.demo());
        requester = HttpRequester.start(HttpRequester.Limits.small());
        caller = new CallerClient(requester);
    }

    @AfterEach
    void stop() {
        requester.close();
        replacements.forEach(EntryHost::close);
        bed.close();
    }

    /** Guards against a change that is late on some host, and against a success that hides hosts nobody could ask. */
    @Test
    void a_change_is_in_force_everywhere_within_three_seconds_and_the_hosts_are_named() {
        long start = System.nanoTime();
        Applied first = apply(0, team("a", "", 5)).join();
        assertThat(first.result()).isEqualTo(Result.IN_FORCE);
        assertThat(first.hosts().get("inForce")).hasSize(6);
        assertThat(System.nanoTime() - start).isLessThan(Duration.ofSeconds(3).toNanos());

        bed.entryHosts().get(5).close();
        Applied second = apply(1, team("b", ",\"base\":" + first.offset(), 6)).join();
        assertThat(second.result()).isEqualTo(Result.IN_FORCE);
        assertThat(second.hosts().get("unreachable")).containsExactly("oficina-entry-1");

        Applied lost = apply(2, team("c", ",\"base\":" + first.offset(), 7)).join();
        assertThat(lost.result()).isEqualTo(Result.REJECTED);
        assertThat(lost.winner()).isEqualTo("b");
    }

    /** Guards against a change that is lost, doubled or called done while the platform answers late or not at all. */
    @Test
    void a_change_survives_a_slow_platform_lost_answers_and_an_outage() {
        bed.platform().injectFaults(new StandInPlatform.Faults(false, 1500, false, 0));
        assertThat(apply(0, team("slow", "", 5)).join().result()).isAnyOf(Result.IN_FORCE, Result.UNSETTLED);
        bed.platform().injectFaults(new StandInPlatform.Faults(false, 0, true, 0));
        assertThat(apply(1, team("slow", "", 5)).join().result()).isEqualTo(Result.IN_FORCE);
        Applied next = apply(2, order("lost")).join();
        assertThat(next.result()).isEqualTo(Result.IN_FORCE);

        bed.platform().injectFaults(new StandInPlatform.Faults(true, 0, false, 0));
        assertThat(apply(3, team("down", "", 7)).join().result()).isNotEqualTo(Result.IN_FORCE);
        assertThat(bed.entryHosts().stream().map(EntryHost::configOffset).distinct())
                .containsExactly(next.offset() + 1);
    }

    /** Guards against failed requests, or starts long after the mark, while a target is emptied under load. */
    @Test
    void a_target_is_drained_under_load_without_a_failed_request() {
        AtomicBoolean ended = new AtomicBoolean();
        CompletableFuture<Void> load = load(bed.callerAddresses(), ended);
        await().until(() -> starts(2) > 20);

        long marked = System.nanoTime();
        Applied drain = apply(5, order("d")).join();
        assertThat(drain.result()).isEqualTo(Result.IN_FORCE);
        await().until(() -> System.nanoTime() - marked > Duration.ofSeconds(2).toNanos());
        int atBound = starts(2);
        await().atMost(Duration.ofSeconds(5)).until(() -> status().contains("DRAINED"));
        ended.set(true);
        load.join();

        assertThat(starts(2)).isEqualTo(atBound);
        assertThat(starts(0) + starts(1)).isGreaterThan(0);
        assertThat(verdicts.keySet()).containsExactly(Reason.OK);

        bed.entryHosts().get(2).close();
        assertThat(status()).contains("UNKNOWN");
        assertThat(status()).contains("galpon-entry-0");
    }

    /** Guards against a configuration that goes back, or requests that are cut, while hosts are replaced. */
    @Test
    void every_host_is_replaced_under_load_with_the_platform_down() {
        Applied change = apply(0, order("d")).join();
        bed.platform().injectFaults(new StandInPlatform.Faults(true, 0, false, 0));
        List<EntryHost> hosts = Collections.synchronizedList(new ArrayList<>(bed.entryHosts()));
        AtomicBoolean ended = new AtomicBoolean();
        List<InetSocketAddress> addresses = Collections.synchronizedList(new ArrayList<>(bed.callerAddresses()));
        CompletableFuture<Void> load = load(addresses, ended);

        for (int i = 0; i < 6; i++) {
            EntryHost old = hosts.get(i);
            EntryHost next = replace(hosts, i);
            await().atMost(Duration.ofSeconds(5)).until(next::ready);
            assertThat(next.configOffset()).isAtLeast(change.offset() + 1);
            hosts.set(i, next);
            addresses.set(i, next.callerAddress());
            old.stop(Duration.ofSeconds(2));
        }
        ended.set(true);
        load.join();

        assertWithMessage("verdicts %s", verdicts).that(verdicts.keySet()).containsNoneIn(uncertain());
        assertThat(verdicts.get(Reason.OK)).isGreaterThan(50);
        assertThat(bed.repeatedStarts()).isEqualTo(0);
    }

    private record Applied(Result result, String winner, long offset, Map<String, List<String>> hosts) {}

    private CompletableFuture<Applied> apply(int host, String change) {
        InetSocketAddress entry = bed.entryHosts().get(host).operatorAddress();
        return requester
                .send(entry, HttpCall.post("/v1/config/changes", change, Duration.ofSeconds(15)))
                .thenApply(reply -> {
                    try {
                        return Json.read(reply.body(), Applied.class);
                    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                        throw new IllegalStateException(reply.body(), e);
                    }
                });
    }

    private String status() {
        InetSocketAddress entry = bed.entryHosts().get(0).operatorAddress();
        return requester
                .send(entry, HttpCall.get("/v1/targets/" + TARGET, Duration.ofSeconds(5)))
                .join()
                .body();
    }

    private EntryHost replace(List<EntryHost> hosts, int index) {
        String seeds =
                hosts.stream().map(host -> Addresses.format(host.peerAddress())).collect(Collectors.joining(", "));
        EntrySettings settings = EntrySettings.local(
                "replaced-" + index, "balanza", bed.platform().address(), Map.of("peers.seeds", seeds));
        EntryHost host = EntryHost.start(settings, Incarnations.next(Clock.systemUTC()));
        replacements.add(host);
        return host;
    }

    /** Submits one job after another at each address in turn until it is told to end. */
    private CompletableFuture<Void> load(List<InetSocketAddress> addresses, AtomicBoolean ended) {
        return CompletableFuture.allOf(java.util.stream.IntStream.range(0, addresses.size())
                .mapToObj(i -> CompletableFuture.runAsync(
                        () -> {
                            while (!ended.get()) {
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
                verdicts.merge(
                        caller.submit(entry, session, 0, JOB, Duration.ofSeconds(5))
                                .join()
                                .reason(),
                        1,
                        Integer::sum);
            }
        } catch (java.util.concurrent.CompletionException e) {
            boolean refused = e.getCause() instanceof org.mustardlink.errors.CodedException coded
                    && coded.code() == org.mustardlink.errors.ErrorCode.NOT_SENT;
            verdicts.merge(refused ? Reason.HOST_LEAVING : Reason.OWNER_GONE, 1, Integer::sum);
        }
    }

    private static List<Reason> uncertain() {
        return java.util.Arrays.stream(Reason.values())
                .filter(reason -> reason.outcome() == org.mustardlink.core.Outcome.MAY_HAVE_RUN)
                .toList();
    }

    private int starts(int target) {
        StandInTarget started = bed.targets().get(target);
        return started.startsByTask().size();
    }

    private static String team(String change, String base, int quota) {
        return "{\"schema\":2,\"change\":\"%s\",\"kind\":\"team\",\"name\":\"clerks\"%s,\"body\":{\"quota\":%d,\"weight\":1}}"
                .formatted(change, base, quota);
    }

    private static String order(String change) {
        return "{\"schema\":2,\"change\":\"%s\",\"kind\":\"drain\",\"name\":\"%s\",\"body\":{\"target\":\"%s\",\"action\":\"DRAIN\"}}"
                .formatted(change, TARGET, TARGET);
    }
}
