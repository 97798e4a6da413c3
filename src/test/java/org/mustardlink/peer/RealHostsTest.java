package org.mustardlink.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.exercise.FreePorts;
import org.mustardlink.membership.CheckResult;
import org.mustardlink.membership.ExchangeEnvelope;
import org.mustardlink.membership.ExchangeTransport;
import org.mustardlink.membership.Member;
import org.mustardlink.membership.MemberState;
import org.mustardlink.membership.Owner;
import org.mustardlink.peer.bench.MemberHost;

/** Six hosts in two domains that run the membership over Thrift on loopback. */
class RealHostsTest {
    private static final Duration DETECTED = Duration.ofSeconds(8);
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("utr-west", "amf-oost");

    private final List<MemberHost> hosts = new ArrayList<>();
    private volatile boolean cut;
    private SilentRelay relay;

    @BeforeEach
    void start() throws IOException {
        relay = SilentRelay.start();
        for (int i = 0; i < 6; i++) {
            String advertised = i == 5 ? relay.address() : "";
            MemberHost host = start(i, 1000, FreePorts.findPort(), advertised);
            hosts.add(host);
        }
        relay.pointTo(hosts.get(5).address());
        everyoneSees(hosts, MemberState.ALIVE);
    }

    @AfterEach
    void stop() {
        hosts.forEach(MemberHost::close);
        relay.close();
    }

    /** Guards against a crash that other hosts learn of only by the platform's list. */
    @Test
    void a_killed_host_is_gone_everywhere_within_seconds() {
        MemberHost killed = hosts.remove(1);
        killed.close();

        everyoneSees(ImmutableList.of(killed), MemberState.GONE);
        assertThat(hosts.get(0).membership().find("host1", 1000)).isEqualTo(new Owner.Gone());
    }

    /** Guards against a planned stop after which callers are told that their answers are lost. */
    @Test
    void a_planned_leave_routes_to_the_successor_also_after_the_process_ended() {
        MemberHost leaver = hosts.remove(1);
        leaver.membership().leaving(Optional.of("host3")).join();
        everyoneSees(ImmutableList.of(leaver), MemberState.LEAVING);
        leaver.close();

        everyoneSees(ImmutableList.of(leaver), MemberState.GONE);
        hosts.forEach(host -> assertThat(host.membership().find("host1", 1000)).isInstanceOf(Owner.HandedOver.class));
    }

    /** Guards against a session of a crashed process being sent to the process that took its place. */
    @Test
    void a_restart_under_the_same_address_makes_the_old_incarnation_gone() {
        MemberHost killed = hosts.remove(1);
        int port = Integer.parseInt(killed.address().substring(killed.address().indexOf(':') + 1));
        killed.close();
        MemberHost restarted = start(1, 2000, port, "");
        hosts.add(restarted);

        everyoneSees(ImmutableList.of(restarted), MemberState.ALIVE);
        assertThat(hosts.get(0).membership().find("host1", 1000)).isEqualTo(new Owner.Gone());
        assertThat(hosts.get(0).membership().find("host1", 2000)).isInstanceOf(Owner.Alive.class);
    }

    /** Guards against declaring a host dead that still calls others while nobody's calls reach it. */
    @Test
    void a_host_that_can_call_and_cannot_be_called_is_unreachable_and_never_gone() {
        relay.silence();

        await().atMost(DETECTED)
                .until(() -> hosts.get(0).membership().find("host5", 1000) instanceof Owner.Unreachable);
        await().during(Duration.ofSeconds(6))
                .atMost(Duration.ofSeconds(10))
                .until(() -> hosts.stream().noneMatch(host -> host.sees(hosts.get(5), MemberState.GONE)));
        relay.heal();
        await().atMost(Duration.ofSeconds(30))
                .until(() -> hosts.get(0).membership().find("host5", 1000) instanceof Owner.Alive);
    }

    /** Guards against a partition between domains that ends in two halves that call each other dead. */
    @Test
    void a_domain_that_is_cut_off_is_suspect_until_the_partition_heals() {
        List<MemberHost> farAway = hosts.stream()
                .filter(host -> domain(host.id()).equals(DOMAINS.get(1)))
                .toList();
        cut = true;
        await().atMost(Duration.ofSeconds(15))
                .until(() -> farAway.stream().allMatch(host -> hosts.get(0).sees(host, MemberState.SUSPECT)));
        await().during(Duration.ofSeconds(6))
                .atMost(Duration.ofSeconds(10))
                .until(() -> farAway.stream().allMatch(host -> hosts.get(0).sees(host, MemberState.SUSPECT)));
        cut = false;

        await().atMost(Duration.ofSeconds(40)).until(() -> allSee(hosts, MemberState.ALIVE));
    }

    private MemberHost start(int number, long incarnation, int port, String advertised) {
        String id = "host" + number;
        ImmutableSet<String> seeds =
                hosts.stream().limit(2).map(MemberHost::address).collect(ImmutableSet.toImmutableSet());
        UnaryOperator<ExchangeTransport> network = client -> new CutTransport(client, domain(id));
        return MemberHost.start(new MemberHost.Place(id, domain(id), incarnation, port, advertised, network), seeds);
    }

    private static String domain(String id) {
        return DOMAINS.get(Integer.parseInt(id.substring(4)) % DOMAINS.size());
    }

    private void everyoneSees(List<MemberHost> subjects, MemberState state) {
        await().atMost(DETECTED).until(() -> allSee(subjects, state));
    }

    private boolean allSee(List<MemberHost> subjects, MemberState state) {
        return hosts.stream().allMatch(host -> subjects.stream().allMatch(subject -> host.sees(subject, state)));
    }

    /** Lets calls between the domains time out while they are cut off from each other. */
    private final class CutTransport implements ExchangeTransport {
        private final ExchangeTransport client;
        private final String own;

        private CutTransport(ExchangeTransport client, String own) {
            this.client = client;
            this.own = own;
        }

        @Override
        public CompletableFuture<CallReply<ExchangeEnvelope>> exchange(
                String address, ExchangeEnvelope sent, Duration timeout) {
            return blocked(address) ? silent(timeout) : client.exchange(address, sent, timeout);
        }

        @Override
        public CompletableFuture<CallReply<CheckResult>> check(String address, Member subject, Duration timeout) {
            return blocked(address) ? silent(timeout) : client.check(address, subject, timeout);
        }

        private boolean blocked(String address) {
            return cut
                    && hosts.stream()
                            .filter(host -> host.address().equals(address)
                                    || (host.id().equals("host5")
                                            && relay.address().equals(address)))
                            .anyMatch(host -> !domain(host.id()).equals(own));
        }

        private static <T> CompletableFuture<CallReply<T>> silent(Duration timeout) {
            return new CompletableFuture<CallReply<T>>()
                    .completeOnTimeout(CallReply.failed(CheckResult.SILENT), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
