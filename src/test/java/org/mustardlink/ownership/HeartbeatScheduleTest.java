package org.mustardlink.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.pool.PoolId;

/** Tests which hosts receive heartbeats at which interval. */
final class HeartbeatScheduleTest {
    private static final int DOMAINS = 5;
    /** Size of a heartbeat without claims and loads, including TCP and IP headers. */
    private static final int HEARTBEAT_BYTES = 90;

    private static final int CONTROL_BYTES_PER_SECOND = 10 * 1_024;

    private static List<HostInfo> fleet(int size) {
        List<HostInfo> hosts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            // The first host of each domain has the most CPU and is the master of the pool.
            hosts.add(new HostInfo(
                    "host-" + i, "domain-" + i % DOMAINS, i + 1, "127.0.0.1:1", i < DOMAINS ? 1_500 : 270));
        }
        return hosts;
    }

    private static PoolId pool(int domain) {
        return new PoolId("yard", "domain-" + domain);
    }

    /** Returns the state of a host in a fleet in which every pool has a master. */
    private static PoolOwnership ownershipAsSeenBy(HostInfo self, List<HostInfo> fleet) {
        PoolOwnership ownership = new PoolOwnership(self, new NoOpOwnershipActions(), Duration.ofSeconds(1), 0);
        ImmutableSet.Builder<PoolId> pools = ImmutableSet.builder();
        for (HostInfo host : fleet) {
            ownership.addHost(host, true, 0);
            ownership.recordHeartbeat(host.id(), host.incarnation(), Duration.ofSeconds(1), false, 0);
        }
        for (int i = 0; i < DOMAINS; i++) {
            pools.add(pool(i));
            ownership.recordClaim(new Claim(pool(i), "host-" + i, i + 1, 1), 0);
        }
        ownership.setPools(pools.build());
        return ownership;
    }

    /** Returns the state of the first host, which has claimed the pool of its domain. */
    private static PoolOwnership ownershipOfFirstMaster(List<HostInfo> fleet) {
        PoolOwnership ownership = ownershipAsSeenBy(fleet.get(0), fleet);
        // A host becomes a master only through a claim that it has written itself.
        long now = Duration.ofSeconds(2).toNanos();
        ownership.tick(now);
        ownership.completeClaimWrite(new Claim(pool(0), "host-0", 1, 2), PoolOwnership.ClaimOutcome.WRITTEN, now);
        assertWithMessage("the host has claimed the pool of its domain")
                .that(ownership.owns(pool(0)))
                .isTrue();
        return ownership;
    }

    /**
     * Guards against frequent heartbeats from every host to every other one, whose cost per host grows with the fleet.
     */
    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 1_000})
    void the_frequent_heartbeats_of_a_host_without_a_pool_do_not_grow_with_the_fleet(int size) {
        List<HostInfo> fleet = fleet(size);
        HostInfo self = fleet.get(size - 1);

        HeartbeatSchedule schedule =
                HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of("host-4"), 1);

        assertThat(schedule.urgent()).isEmpty();
        assertThat(schedule.frequent()).containsExactly("host-4");
        assertThat(schedule.masterOrCandidate()).isFalse();
    }

    /**
     * Guards against control traffic that grows with the number of hosts. The users' limit for control traffic is 10 KB
     * a second per host.
     */
    @ParameterizedTest
    @ValueSource(ints = {30, 47, 100, 300})
    void the_heartbeats_of_a_host_without_a_pool_stay_within_the_limit_for_control_traffic(int size) {
        List<HostInfo> fleet = fleet(size);
        HostInfo self = fleet.get(size - 1);

        HeartbeatSchedule schedule = HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of(), 1);

        double sentPerSecond = fleet.stream()
                .filter(host -> !host.equals(self))
                .mapToDouble(
                        host -> 1_000.0 / schedule.heartbeatInterval(host.id()).toMillis())
                .sum();
        double bytesBothWays = 2 * sentPerSecond * HEARTBEAT_BYTES;
        assertThat(bytesBothWays).isAtMost(CONTROL_BYTES_PER_SECOND);
    }

    /** Guards against the failure of a master being detected late by the hosts of its domain or by other masters. */
    @Test
    void a_master_sends_frequent_heartbeats_to_its_domain_and_to_the_other_masters() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);

        HeartbeatSchedule schedule = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(schedule.masterOrCandidate()).isTrue();
        assertThat(schedule.urgent()).containsAtLeast("host-1", "host-2", "host-3", "host-4");
        for (HostInfo host : fleet) {
            if (host.domain().equals("domain-0") && !host.id().equals("host-0")) {
                assertThat(schedule.mustDetectFailureSoon(host.id())).isTrue();
            }
        }
        assertThat(schedule.mustDetectFailureSoon("host-6")).isFalse();
    }

    /**
     * Guards against a pool without a master for more than half a second because its candidates detect the loss
     * too late.
     */
    @Test
    void the_hosts_that_may_take_a_pool_over_receive_the_most_frequent_heartbeats_of_its_master() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);
        Set<String> successors = new HashSet<>(ownership.candidates(pool(0), 1));
        successors.remove("host-0");

        HeartbeatSchedule schedule = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(successors).isNotEmpty();
        assertThat(schedule.urgent()).containsAtLeastElementsIn(successors);
    }

    /**
     * Guards against broken connections to masters or within a domain that are detected only when the first job
     * is lost.
     */
    @Test
    void hosts_without_a_pool_check_the_connections_that_carry_jobs_and_no_others() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(49);

        HeartbeatSchedule schedule = HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of(), 1);

        assertThat(schedule.usual()).containsAtLeast("host-0", "host-1", "host-2", "host-3");
        for (HostInfo host : fleet) {
            boolean needed = host.domain().equals(self.domain()) || host.cpuMillis() == 1_500;
            assertWithMessage(host.id())
                    .that(schedule.usual().contains(host.id()) || schedule.mustDetectFailureSoon(host.id()))
                    .isEqualTo(needed && !host.equals(self));
        }
    }

    /** Guards against sending heartbeats at the interval for a takeover to hosts that only send jobs to the master. */
    @Test
    void hosts_of_a_domain_that_are_not_candidates_receive_fewer_heartbeats_of_its_master() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);
        ImmutableSet<String> successors = ownership.candidates(pool(0), 1);

        HeartbeatSchedule schedule = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(fleet.stream()
                        .filter(host -> host.domain().equals("domain-0") && !successors.contains(host.id()))
                        .map(HostInfo::id)
                        .toList())
                .containsExactlyElementsIn(Sets.intersection(
                        schedule.frequent(),
                        fleet.stream()
                                .filter(host -> host.domain().equals("domain-0"))
                                .map(HostInfo::id)
                                .collect(ImmutableSet.toImmutableSet())));
    }

    /**
     * Guards against jobs that keep running without a caller because their master detects the loss of the entry
     * host late.
     */
    @Test
    void masters_that_run_jobs_of_this_host_receive_frequent_heartbeats() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(49);

        assertThat(HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of("host-0"), 1)
                        .mustDetectFailureSoon("host-0"))
                .isTrue();
    }

    /** Guards against heartbeats to an unknown host: its claim remains in the store after the host is gone. */
    @Test
    void a_host_that_is_known_only_by_its_claim_receives_no_frequent_heartbeats() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(4);
        PoolOwnership ownership = ownershipAsSeenBy(self, fleet);
        ownership.recordClaim(new Claim(pool(4), "removed", 99, 7), 0);

        assertThat(HeartbeatSchedule.of(self, ownership, ImmutableSet.of(), 1).mustDetectFailureSoon("removed"))
                .isFalse();
    }
}
