package org.mustardlink.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.Addresses;

/** Tests the rules of docs/membership.md with nine tables in three domains, without sockets or threads. */
class MembershipRulesTest {
    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(8);
    private static final Duration DETECTION_TIME = Duration.ofSeconds(3);

    private final FakeNetwork network = new FakeNetwork(20_240_611);

    @BeforeEach
    void start() {
        for (String domain : ImmutableList.of("balanza", "galpon", "oficina")) {
            for (int i = 0; i < 3; i++) {
                network.start(
                        domain + i, domain, address(domain, i), 1000, address("balanza", 0), address("galpon", 0));
            }
        }
        network.run(CONVERGENCE_TIME);
        network.nodes()
                .forEach(
                        node -> assertThat(network.view(node.initialMember.id()).hosts())
                                .hasSize(9));
    }

    /** Guards against a killed process that stays a routing target because no member can mark it as gone. */
    @Test
    void a_process_that_refuses_two_members_is_gone_within_seconds() {
        network.node("galpon1").mode = FakeNetwork.Mode.KILLED;

        network.run(DETECTION_TIME);

        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);
        assertThat(network.view("balanza0").findOwner("galpon1", 1000)).isEqualTo(new Owner.Gone());
    }

    /** Guards against marking a silent host as gone before the host had time to retract the suspicion. */
    @Test
    void a_silent_host_is_suspected_first_and_gone_once_its_domain_confirms() {
        network.node("galpon1").mode = FakeNetwork.Mode.DISCONNECTED;

        network.run(DETECTION_TIME);
        assertThat(network.state("galpon0", "galpon1")).isEqualTo(MemberState.SUSPECT);
        assertThat(network.view("balanza0").findOwner("galpon1", 1000)).isEqualTo(new Owner.Unreachable());

        network.run(Duration.ofSeconds(15));
        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);
    }

    /** Guards against a suspicion that the host cannot retract, and against a retraction without a higher version. */
    @Test
    void a_paused_host_that_resumes_retracts_the_suspicion_with_a_higher_version() {
        network.node("galpon1").mode = FakeNetwork.Mode.PAUSED;
        network.run(Duration.ofSeconds(30));
        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);

        network.node("galpon1").mode = FakeNetwork.Mode.RUNNING;
        network.run(Duration.ofSeconds(5));

        assertStateOnAllRunningHosts("galpon1", MemberState.ALIVE);
        assertThat(network.view("balanza0").hosts().get("galpon1").member().version())
                .isAtLeast(2L);
        assertThat(network.node("galpon1").actions).contains(new MembershipAction.ProcessPauseDetected());
    }

    /** Guards against a host that was paused and suspects its peers because their answers are overdue. */
    @Test
    void a_host_suspects_no_peer_after_its_own_pause() {
        network.node("galpon1").mode = FakeNetwork.Mode.PAUSED;
        network.run(Duration.ofSeconds(20));
        network.node("galpon1").mode = FakeNetwork.Mode.RUNNING;
        network.run(Duration.ofSeconds(5));

        assertThat(network.node("galpon1").actions.stream()
                        .filter(action -> action instanceof MembershipAction.MemberChanged changed
                                && changed.member().state() == MemberState.SUSPECT)
                        .toList())
                .isEmpty();
    }

    /** Guards against a planned leave that is handled like a crash, which would lose the successor. */
    @Test
    void the_successor_of_a_planned_leave_is_kept_after_the_process_ends() {
        network.enqueueEvent("galpon1", new MembershipEvent.LeaveRequested(1, Optional.of("galpon2")));
        network.run(Duration.ofSeconds(1));
        assertStateOnAllRunningHosts("galpon1", MemberState.LEAVING);

        network.node("galpon1").mode = FakeNetwork.Mode.KILLED;
        network.run(DETECTION_TIME);
        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);
        assertThat(network.view("balanza0").findOwner("galpon1", 1000)).isEqualTo(handedOver("galpon2"));
    }

    /** Guards against losing the hand-over when the host restarts under the same id, as in every upgrade. */
    @Test
    void a_restart_after_a_planned_leave_keeps_the_successor_of_the_old_incarnation() {
        network.enqueueEvent("galpon1", new MembershipEvent.LeaveRequested(1, Optional.of("galpon2")));
        network.run(Duration.ofSeconds(1));
        network.start("galpon1", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        network.run(DETECTION_TIME);

        assertStateOnAllRunningHosts("galpon1", MemberState.ALIVE);
        assertThat(network.view("balanza0").findOwner("galpon1", 1000)).isEqualTo(handedOver("galpon2"));
        assertThat(network.view("balanza0").findOwner("galpon1", 2000)).isInstanceOf(Owner.Alive.class);
    }

    /**
     * Guards against a replaced incarnation that counts as reachable because its successor answers at the same address.
     */
    @Test
    void the_old_incarnation_of_a_restarted_host_is_gone() {
        network.start("galpon1", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        network.run(DETECTION_TIME);

        assertStateOnAllRunningHosts("galpon1", MemberState.ALIVE);
        assertThat(network.view("oficina2").findOwner("galpon1", 1000)).isEqualTo(new Owner.Gone());
        assertThat(network.view("oficina2").findOwner("galpon1", 2000)).isInstanceOf(Owner.Alive.class);
        assertThat(network.view("oficina2").findOwner("galpon1", 3000)).isEqualTo(new Owner.Unreachable());
    }

    /** Guards against two hosts at one address after a new host with another id took over the address. */
    @Test
    void a_host_whose_address_answers_as_another_host_is_gone() {
        network.start("galpon9", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        network.run(DETECTION_TIME);

        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);
        assertStateOnAllRunningHosts("galpon9", MemberState.ALIVE);
    }

    /** Guards against an outdated process that keeps contradicting the record of its replacement. */
    @Test
    void a_process_whose_id_runs_under_a_later_incarnation_reports_that_it_is_replaced() {
        FakeNetwork.Node old = network.node("galpon1");
        network.start("galpon1", "galpon", "10.9.9.9:7000", 2000, address("balanza", 0));
        network.run(CONVERGENCE_TIME);
        ExchangeMessage update =
                new ExchangeMessage(network.node("galpon1").initialMember, ImmutableList.of(), 0, false);

        ImmutableList<MembershipAction> actions =
                old.table.tick(ImmutableList.of(new MembershipEvent.ExchangeReceived(1, update)), Long.MAX_VALUE / 2);

        assertThat(actions).contains(new MembershipAction.SelfReplaced(network.node("galpon1").initialMember));
    }

    /** Guards against marking hosts as gone that are only on the other side of a network partition. */
    @Test
    void a_domain_that_is_cut_off_stays_suspect_and_returns_when_the_partition_heals() {
        network.setLinkFilter((from, to) -> from.domain.equals("galpon") == to.domain.equals("galpon"));
        network.run(Duration.ofSeconds(60));

        for (int i = 0; i < 3; i++) {
            assertThat(network.state("balanza0", "galpon" + i)).isEqualTo(MemberState.SUSPECT);
            assertThat(network.state("galpon0", "balanza" + i)).isEqualTo(MemberState.SUSPECT);
            assertThat(network.state("galpon0", "galpon" + i)).isEqualTo(MemberState.ALIVE);
            assertThat(network.view("balanza0").findOwner("galpon" + i, 1000)).isEqualTo(new Owner.Unreachable());
        }

        network.setLinkFilter((_from, _to) -> true);
        network.run(Duration.ofSeconds(20));
        network.nodes().forEach(node -> assertStateOnAllRunningHosts(node.initialMember.id(), MemberState.ALIVE));
    }

    /** Guards against suspecting a host that other members reach because one link is down in one direction. */
    @Test
    void a_host_that_one_member_cannot_call_stays_alive_and_counts_as_unreachable_only_there() {
        network.setLinkFilter((from, to) -> !(from.initialMember.id().equals("galpon1")
                && to.initialMember.id().equals("balanza0")));
        network.run(Duration.ofSeconds(30));

        assertStateOnAllRunningHosts("galpon1", MemberState.ALIVE);
        assertThat(network.view("balanza0").findOwner("galpon1", 1000)).isEqualTo(new Owner.Unreachable());
        assertThat(network.view("balanza1").findOwner("galpon1", 1000)).isInstanceOf(Owner.Alive.class);
    }

    /** Guards against a host that is itself cut off and spreads suspicions of all other hosts. */
    @Test
    void a_host_that_reaches_no_peer_suspects_no_peer() {
        network.setLinkFilter((from, to) -> !from.initialMember.id().equals("galpon1")
                && !to.initialMember.id().equals("galpon1"));
        network.run(Duration.ofSeconds(30));

        assertThat(network.state("galpon1", "balanza0")).isEqualTo(MemberState.ALIVE);
        assertThat(network.view("galpon1").findOwner("balanza0", 1000)).isEqualTo(new Owner.Unreachable());
    }

    /** Guards against dropping running hosts because the platform's list is empty or out of date. */
    @Test
    void a_list_that_lacks_live_hosts_or_names_dead_ones_changes_no_state() {
        network.node("galpon1").mode = FakeNetwork.Mode.KILLED;
        network.run(DETECTION_TIME);
        network.enqueueEvent("balanza0", new MembershipEvent.HostListRead(ImmutableSet.of(), ImmutableSet.of()));
        network.enqueueEvent(
                "balanza1",
                new MembershipEvent.HostListRead(ImmutableSet.of(address("galpon", 1)), ImmutableSet.of("galpon2")));
        network.run(Duration.ofSeconds(20));

        assertStateOnAllRunningHosts("galpon1", MemberState.GONE);
        assertStateOnAllRunningHosts("galpon2", MemberState.ALIVE);
        assertThat(network.view("balanza0").hosts()).hasSize(9);
    }

    /** Guards against two groups that never discover each other although the platform's list contains both. */
    @Test
    void groups_that_started_apart_join_through_the_list() {
        network.start("zst0", "zst-noord", "10.7.0.1:7000", 1000);
        network.run(CONVERGENCE_TIME);
        assertThat(network.view("zst0").hosts()).hasSize(1);

        network.enqueueEvent(
                "balanza0", new MembershipEvent.HostListRead(ImmutableSet.of("10.7.0.1:7000"), ImmutableSet.of()));
        network.run(DETECTION_TIME);

        assertStateOnAllRunningHosts("zst0", MemberState.ALIVE);
        assertThat(network.view("zst0").hosts()).hasSize(10);
    }

    /** Guards against periodic messages whose size grows with the number of hosts. */
    @Test
    void messages_besides_the_answer_to_a_join_are_bounded() {
        network.setLinkFilter((from, to) -> from.domain.equals("galpon") == to.domain.equals("galpon"));
        network.run(Duration.ofSeconds(20));
        network.setLinkFilter((_from, _to) -> true);
        network.nodes().forEach(node -> node.actions.clear());
        network.run(Duration.ofSeconds(20));

        for (FakeNetwork.Node node : network.nodes()) {
            for (MembershipAction action : node.actions) {
                if (action instanceof MembershipAction.SendExchange send) {
                    assertThat(send.message().deltas().size())
                            .isAtMost(MembershipSettings.defaults().maxDeltas());
                }
            }
        }
    }

    /** Guards against handing over answers to a host that is about to stop, or to a host of another domain. */
    @Test
    void the_successor_is_a_running_host_of_the_same_domain() {
        assertThat(network.view("galpon1").preferredSuccessor()).hasValue("galpon2");

        network.enqueueEvent(
                "galpon1", new MembershipEvent.HostListRead(ImmutableSet.of(), ImmutableSet.of("galpon2")));
        network.run(Duration.ofSeconds(1));
        assertThat(network.view("galpon1").preferredSuccessor()).hasValue("galpon0");

        network.enqueueEvent("galpon0", new MembershipEvent.LeaveRequested(1, Optional.empty()));
        network.run(Duration.ofSeconds(1));
        assertThat(network.view("galpon1").preferredSuccessor()).isEmpty();
    }

    private static String address(String domain, int number) {
        return "10.0." + domain.charAt(0) % 16 + "." + number + ":7000";
    }

    private Owner handedOver(String successor) {
        return new Owner.HandedOver(successor, Addresses.parse(network.node(successor).address));
    }

    private void assertStateOnAllRunningHosts(String subject, MemberState state) {
        network.nodes().stream()
                .filter(node -> node.mode == FakeNetwork.Mode.RUNNING)
                .forEach(node -> assertWithMessage("%s as seen by %s", subject, node.initialMember.id())
                        .that(network.state(node.initialMember.id(), subject))
                        .isEqualTo(state));
    }
}
