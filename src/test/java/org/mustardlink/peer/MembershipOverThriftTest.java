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

/** Runs the membership of six hosts in two failure domains over Thrift on loopback. */
class MembershipOverThriftTest {
    private static final Duration DETECTION_TIMEOUT = Duration.ofSeconds(8);
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("utr-west", "amf-oost");

    private final List<MemberHost> hosts = new ArrayList<>();
    private volatile boolean partitioned;
    private SilentRelay relay;

    @BeforeEach
    void start() throws IOException {
        relay = SilentRelay.start();
        for (int i = 0; i < 6; i++) {
            String advertised = i == 5 ? relay.address() : "";
            MemberHost host = startHost(i, 1000, FreePorts.findPort(), advertised);
            hosts.add(host);
        }
        relay.setDestination(hosts.get(5).address());
        awaitStateOnAllHosts(hosts, MemberState.ALIVE);
    }

    @AfterEach
    void stop() {
        hosts.forEach(MemberHost::close);
        relay.close();
    }

    /** Guards against a crash that other hosts detect only by reading the platform's host list. */
    @Test
    void a_killed_host_is_gone_everywhere_within_seconds() {
        MemberHost killed = hosts.remove(1);
        killed.close();

        awaitStateOnAllHosts(ImmutableList.of(killed), MemberState.GONE);
        assertThat(hosts.get(0).membership().findOwner("host1", 1000)).isEqualTo(new Owner.Gone());
    }

    /** Guards against a planned stop after which the answers of the sessions that were handed over are reported as lost. */
    @Test
    void a_planned_leave_routes_to_the_successor_after_the_process_has_ended() {
        MemberHost leavingHost = hosts.remove(1);
        leavingHost.membership().announceLeave(Optional.of("host3")).join();
        awaitStateOnAllHosts(ImmutableList.of(leavingHost), MemberState.LEAVING);
        leavingHost.close();

        awaitStateOnAllHosts(ImmutableList.of(leavingHost), MemberState.GONE);
        hosts.forEach(
                host -> assertThat(host.membership().findOwner("host1", 1000)).isInstanceOf(Owner.HandedOver.class));
    }

    /** Guards against routing a session of a crashed process to the process that replaced it at the same address. */
    @Test
    void a_restart_under_the_same_address_makes_the_old_incarnation_gone() {
        MemberHost killed = hosts.remove(1);
        int port = Integer.parseInt(killed.address().substring(killed.address().indexOf(':') + 1));
        killed.close();
        MemberHost restarted = startHost(1, 2000, port, "");
        hosts.add(restarted);

        awaitStateOnAllHosts(ImmutableList.of(restarted), MemberState.ALIVE);
        assertThat(hosts.get(0).membership().findOwner("host1", 1000)).isEqualTo(new Owner.Gone());
        assertThat(hosts.get(0).membership().findOwner("host1", 2000)).isInstanceOf(Owner.Alive.class);
    }

    /** Guards against declaring a host gone that still calls other hosts while their calls do not reach it. */
    @Test
    void a_host_that_can_call_but_cannot_be_called_is_unreachable_and_never_gone() {
        relay.startDiscarding();

        await().atMost(DETECTION_TIMEOUT)
                .until(() -> hosts.get(0).membership().findOwner("host5", 1000) instanceof Owner.Unreachable);
        await().during(Duration.ofSeconds(6))
                .atMost(Duration.ofSeconds(10))
                .until(() -> hosts.stream().noneMatch(host -> host.sees(hosts.get(5), MemberState.GONE)));
        relay.stopDiscarding();
        await().atMost(Duration.ofSeconds(30))
                .until(() -> hosts.get(0).membership().findOwner("host5", 1000) instanceof Owner.Alive);
    }

    /** Guards against a partition after which the hosts of each domain declare those of the other domain gone. */
    @Test
    void a_partitioned_domain_stays_suspect_until_the_partition_ends() {
        List<MemberHost> remoteHosts = hosts.stream()
                .filter(host -> domainOf(host.id()).equals(DOMAINS.get(1)))
                .toList();
        partitioned = true;
        await().atMost(Duration.ofSeconds(15))
                .until(() -> remoteHosts.stream().allMatch(host -> hosts.get(0).sees(host, MemberState.SUSPECT)));
        await().during(Duration.ofSeconds(6))
                .atMost(Duration.ofSeconds(10))
                .until(() -> remoteHosts.stream().allMatch(host -> hosts.get(0).sees(host, MemberState.SUSPECT)));
        partitioned = false;

        await().atMost(Duration.ofSeconds(40)).until(() -> allHostsSee(hosts, MemberState.ALIVE));
    }

    private MemberHost startHost(int number, long incarnation, int port, String advertised) {
        String id = "host" + number;
        ImmutableSet<String> seeds =
                hosts.stream().limit(2).map(MemberHost::address).collect(ImmutableSet.toImmutableSet());
        UnaryOperator<ExchangeTransport> network = client -> new PartitionedTransport(client, domainOf(id));
        return MemberHost.start(
                new MemberHost.HostOptions(id, domainOf(id), incarnation, port, advertised, network), seeds);
    }

    private static String domainOf(String id) {
        return DOMAINS.get(Integer.parseInt(id.substring(4)) % DOMAINS.size());
    }

    private void awaitStateOnAllHosts(List<MemberHost> subjects, MemberState state) {
        await().atMost(DETECTION_TIMEOUT).until(() -> allHostsSee(subjects, state));
    }

    private boolean allHostsSee(List<MemberHost> subjects, MemberState state) {
        return hosts.stream().allMatch(host -> subjects.stream().allMatch(subject -> host.sees(subject, state)));
    }

    /** Lets calls between the failure domains time out while they are partitioned. */
    private final class PartitionedTransport implements ExchangeTransport {
        private final ExchangeTransport client;
        private final String ownDomain;

        private PartitionedTransport(ExchangeTransport client, String ownDomain) {
            this.client = client;
            this.ownDomain = ownDomain;
        }

        @Override
        public CompletableFuture<CallReply<ExchangeEnvelope>> exchange(
                String address, ExchangeEnvelope sent, Duration timeout) {
            return isPartitioned(address) ? timeOutSilently(timeout) : client.exchange(address, sent, timeout);
        }

        @Override
        public CompletableFuture<CallReply<CheckResult>> check(String address, Member subject, Duration timeout) {
            return isPartitioned(address) ? timeOutSilently(timeout) : client.check(address, subject, timeout);
        }

        private boolean isPartitioned(String address) {
            return partitioned
                    && hosts.stream()
                            .filter(host -> host.address().equals(address)
                                    || (host.id().equals("host5")
                                            && relay.address().equals(address)))
                            .anyMatch(host -> !domainOf(host.id()).equals(ownDomain));
        }

        private static <T> CompletableFuture<CallReply<T>> timeOutSilently(Duration timeout) {
            return new CompletableFuture<CallReply<T>>()
                    .completeOnTimeout(CallReply.failed(CheckResult.SILENT), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
