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

/** Tests which hosts hear a host's heartbeats often. */
final class HeartbeatScheduleTest {
    private static final int DOMAINS = 5;
    /** A heartbeat without claims and loads, with the headers of TCP and IP. */
    private static final int HEARTBEAT_BYTES = 90;

    private static final int CONTROL_BYTES_PER_SECOND = 10 * 1_024;

    private static List<HostInfo> fleet(int size) {
        List<HostInfo> hosts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            // The first host of each domain has most processors and is the master of its pool.
            hosts.add(new HostInfo(
                    "host-" + i, "domain-" + i % DOMAINS, i + 1, "127.0.0.1:1", i < DOMAINS ? 1_500 : 270));
        }
        return hosts;
    }

    private static PoolId pool(int domain) {
        return new PoolId("yard", "domain-" + domain);
    }

    /** Returns what a host knows of a fleet in which every pool has its master. */
    private static PoolOwnership ownershipAsSeenBy(HostInfo self, List<HostInfo> fleet) {
        PoolOwnership ownership = new PoolOwnership(self, new NoOpOwnershipActions(), 0);
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

    /** Returns what the first host knows, which has claimed the pool of its domain. */
    private static PoolOwnership ownershipOfFirstMaster(List<HostInfo> fleet) {
        PoolOwnership ownership = ownershipAsSeenBy(fleet.get(0), fleet);
        // A host becomes a master by a claim that it has written itself.
        long now = Duration.ofSeconds(2).toNanos();
        ownership.tick(now);
        ownership.completeClaimWrite(new Claim(pool(0), "host-0", 1, 2), PoolOwnership.ClaimOutcome.WRITTEN, now);
        assertWithMessage("the host has claimed the pool of its domain")
                .that(ownership.owns(pool(0)))
                .isTrue();
        return ownership;
    }

    /** Guards against heartbeats from every host to every other one, whose cost a host grows with the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 1_000})
    void the_watchers_of_a_host_without_a_pool_do_not_grow_with_the_fleet(int size) {
        List<HostInfo> fleet = fleet(size);
        HostInfo self = fleet.get(size - 1);

        HeartbeatSchedule watchers =
                HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of("host-4"), 1);

        assertThat(watchers.urgent()).isEmpty();
        assertThat(watchers.frequent()).containsExactly("host-4");
        assertThat(watchers.masterOrCandidate()).isFalse();
    }

    /**
     * Guards against processor time that follows the number of hosts: control may cost a host 10 KB a second, by the users'
     * target.
     */
    @ParameterizedTest
    @ValueSource(ints = {30, 47, 100, 300})
    void the_heartbeats_of_a_host_without_a_pool_cost_less_than_control_may(int size) {
        List<HostInfo> fleet = fleet(size);
        HostInfo self = fleet.get(size - 1);

        HeartbeatSchedule watchers = HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of(), 1);

        double sentPerSecond = fleet.stream()
                .filter(host -> !host.equals(self))
                .mapToDouble(
                        host -> 1_000.0 / watchers.heartbeatInterval(host.id()).toMillis())
                .sum();
        double bytesBothWays = 2 * sentPerSecond * HEARTBEAT_BYTES;
        assertThat(bytesBothWays).isAtMost(CONTROL_BYTES_PER_SECOND);
    }

    /** Guards against a master whose end the hosts of its own domain or other masters learn of late. */
    @Test
    void a_master_is_watched_by_its_domain_and_by_the_other_masters() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);

        HeartbeatSchedule watchers = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(watchers.masterOrCandidate()).isTrue();
        assertThat(watchers.urgent()).containsAtLeast("host-1", "host-2", "host-3", "host-4");
        for (HostInfo host : fleet) {
            if (host.domain().equals("domain-0") && !host.id().equals("host-0")) {
                assertThat(watchers.mustNoticeSoon(host.id())).isTrue();
            }
        }
        assertThat(watchers.mustNoticeSoon("host-6")).isFalse();
    }

    /** Guards against a pool without a master for longer than half a second: its successors notice the loss too late. */
    @Test
    void the_hosts_that_may_take_a_pool_over_hear_its_master_most_often() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);
        Set<String> successors = new HashSet<>(ownership.candidates(pool(0), 1));
        successors.remove("host-0");

        HeartbeatSchedule watchers = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(successors).isNotEmpty();
        assertThat(watchers.urgent()).containsAtLeastElementsIn(successors);
    }

    /** Guards against links to masters or within a domain that went silent and are noticed with the first lost job. */
    @Test
    void links_that_carry_jobs_are_tried_by_hosts_without_a_pool_and_others_are_not() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(49);

        HeartbeatSchedule watchers = HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of(), 1);

        assertThat(watchers.usual()).containsAtLeast("host-0", "host-1", "host-2", "host-3");
        for (HostInfo host : fleet) {
            boolean needed = host.domain().equals(self.domain()) || host.cpuMillis() == 1_500;
            assertWithMessage(host.id())
                    .that(watchers.usual().contains(host.id()) || watchers.mustNoticeSoon(host.id()))
                    .isEqualTo(needed && !host.equals(self));
        }
    }

    /** Guards against heartbeats to hosts that only send jobs here at the pace that a takeover needs. */
    @Test
    void a_domains_other_hosts_hear_its_master_less_often() {
        List<HostInfo> fleet = fleet(50);
        PoolOwnership ownership = ownershipOfFirstMaster(fleet);
        ImmutableSet<String> successors = ownership.candidates(pool(0), 1);

        HeartbeatSchedule watchers = HeartbeatSchedule.of(fleet.get(0), ownership, ImmutableSet.of(), 1);

        assertThat(fleet.stream()
                        .filter(host -> host.domain().equals("domain-0") && !successors.contains(host.id()))
                        .map(HostInfo::id)
                        .toList())
                .containsExactlyElementsIn(Sets.intersection(
                        watchers.frequent(),
                        fleet.stream()
                                .filter(host -> host.domain().equals("domain-0"))
                                .map(HostInfo::id)
                                .collect(ImmutableSet.toImmutableSet())));
    }

    /** Guards against jobs that go on for nobody because their master learns of the front's end late. */
    @Test
    void masters_that_run_jobs_of_this_host_watch_it() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(49);

        assertThat(HeartbeatSchedule.of(self, ownershipAsSeenBy(self, fleet), ImmutableSet.of("host-0"), 1)
                        .mustNoticeSoon("host-0"))
                .isTrue();
    }

    /** Guards against heartbeats to a host that nobody has introduced: its claim outlives it in the store. */
    @Test
    void a_host_that_is_known_by_a_claim_alone_is_no_watcher() {
        List<HostInfo> fleet = fleet(50);
        HostInfo self = fleet.get(4);
        PoolOwnership ownership = ownershipAsSeenBy(self, fleet);
        ownership.recordClaim(new Claim(pool(4), "removed", 99, 7), 0);

        assertThat(HeartbeatSchedule.of(self, ownership, ImmutableSet.of(), 1).mustNoticeSoon("removed"))
                .isFalse();
    }
}
