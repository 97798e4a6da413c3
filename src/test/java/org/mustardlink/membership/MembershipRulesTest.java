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

/** The rules of docs/membership.md over nine tables in three domains, without sockets or threads. */
class MembershipRulesTest {
    private static final Duration SETTLED = Duration.ofSeconds(8);
    private static final Duration DETECTED = Duration.ofSeconds(3);

    private final FakeNetwork net = new FakeNetwork(20_240_611);

    @BeforeEach
    void start() {
        for (String domain : ImmutableList.of("balanza", "galpon", "oficina")) {
            for (int i = 0; i < 3; i++) {
                net.start(domain + i, domain, address(domain, i), 1000, address("balanza", 0), address("galpon", 0));
            }
        }
        net.run(SETTLED);
        net.nodes()
                .forEach(node -> assertThat(net.view(node.first.id()).hosts()).hasSize(9));
    }

    /** Guards against a killed process that stays a routing target because nobody may call it gone. */
    @Test
    void a_process_that_refuses_two_members_is_gone_within_seconds() {
        net.node("galpon1").mode = FakeNetwork.Mode.KILLED;

        net.run(DETECTED);

        everyoneSees("galpon1", MemberState.GONE);
        assertThat(net.view("balanza0").find("galpon1", 1000)).isEqualTo(new Owner.Gone());
    }

    /** Guards against taking silence for death before the host had time to retract. */
    @Test
    void a_silent_host_is_suspected_first_and_gone_once_its_domain_confirms() {
        net.node("galpon1").mode = FakeNetwork.Mode.UNPLUGGED;

        net.run(DETECTED);
        assertThat(net.state("galpon0", "galpon1")).isEqualTo(MemberState.SUSPECT);
        assertThat(net.view("balanza0").find("galpon1", 1000)).isEqualTo(new Owner.Unreachable());

        net.run(Duration.ofSeconds(15));
        everyoneSees("galpon1", MemberState.GONE);
    }

    /** Guards against a suspicion that a host cannot clear, and against clearing it without a higher version. */
    @Test
    void a_frozen_host_that_wakes_retracts_by_raising_its_version() {
        net.node("galpon1").mode = FakeNetwork.Mode.FROZEN;
        net.run(Duration.ofSeconds(30));
        everyoneSees("galpon1", MemberState.GONE);

        net.node("galpon1").mode = FakeNetwork.Mode.RUNNING;
        net.run(Duration.ofSeconds(5));

        everyoneSees("galpon1", MemberState.ALIVE);
        assertThat(net.view("balanza0").hosts().get("galpon1").member().version())
                .isAtLeast(2L);
        assertThat(net.node("galpon1").log).contains(new MembershipAction.Woke());
    }

    /** Guards against a host that was frozen and blames every peer for its own pause. */
    @Test
    void a_host_that_wakes_suspects_nobody() {
        net.node("galpon1").mode = FakeNetwork.Mode.FROZEN;
        net.run(Duration.ofSeconds(20));
        net.node("galpon1").mode = FakeNetwork.Mode.RUNNING;
        net.run(Duration.ofSeconds(5));

        assertThat(net.node("galpon1").log.stream()
                        .filter(action -> action instanceof MembershipAction.Changed changed
                                && changed.member().state() == MemberState.SUSPECT)
                        .toList())
                .isEmpty();
    }

    /** Guards against a planned leave that looks like a death and so loses the successor. */
    @Test
    void a_planned_leave_names_the_successor_and_outlives_the_process() {
        net.tell("galpon1", new MembershipEvent.LeaveRequested(1, Optional.of("galpon2")));
        net.run(Duration.ofSeconds(1));
        everyoneSees("galpon1", MemberState.LEAVING);

        net.node("galpon1").mode = FakeNetwork.Mode.KILLED;
        net.run(DETECTED);
        everyoneSees("galpon1", MemberState.GONE);
        assertThat(net.view("balanza0").find("galpon1", 1000)).isEqualTo(handedOver("galpon2"));
    }

    /** Guards against losing the hand-over when the host restarts under its id, as in every upgrade. */
    @Test
    void a_restart_after_a_planned_leave_keeps_the_successor_of_the_old_incarnation() {
        net.tell("galpon1", new MembershipEvent.LeaveRequested(1, Optional.of("galpon2")));
        net.run(Duration.ofSeconds(1));
        net.start("galpon1", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        net.run(DETECTED);

        everyoneSees("galpon1", MemberState.ALIVE);
        assertThat(net.view("balanza0").find("galpon1", 1000)).isEqualTo(handedOver("galpon2"));
        assertThat(net.view("balanza0").find("galpon1", 2000)).isInstanceOf(Owner.Alive.class);
    }

    /** Guards against a replaced incarnation that counts as reachable because its address answers again. */
    @Test
    void the_old_incarnation_of_a_restarted_host_is_gone() {
        net.start("galpon1", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        net.run(DETECTED);

        everyoneSees("galpon1", MemberState.ALIVE);
        assertThat(net.view("oficina2").find("galpon1", 1000)).isEqualTo(new Owner.Gone());
        assertThat(net.view("oficina2").find("galpon1", 2000)).isInstanceOf(Owner.Alive.class);
        assertThat(net.view("oficina2").find("galpon1", 3000)).isEqualTo(new Owner.Unreachable());
    }

    /** Guards against two hosts at one address when a replacement takes the address under a new id. */
    @Test
    void a_host_whose_address_answers_as_another_host_is_gone() {
        net.start("galpon9", "galpon", address("galpon", 1), 2000, address("balanza", 0));
        net.run(DETECTED);

        everyoneSees("galpon1", MemberState.GONE);
        everyoneSees("galpon9", MemberState.ALIVE);
    }

    /** Guards against a stale process that argues with its replacement for ever. */
    @Test
    void a_process_with_a_later_twin_knows_that_it_is_replaced() {
        FakeNetwork.Node old = net.node("galpon1");
        net.start("galpon1", "galpon", "10.9.9.9:7000", 2000, address("balanza", 0));
        net.run(SETTLED);
        ExchangeMessage news = new ExchangeMessage(net.node("galpon1").first, ImmutableList.of(), 0, false);

        ImmutableList<MembershipAction> actions =
                old.table.tick(ImmutableList.of(new MembershipEvent.Asked(1, news)), Long.MAX_VALUE / 2);

        assertThat(actions).contains(new MembershipAction.SelfReplaced(net.node("galpon1").first));
    }

    /** Guards against calling hosts dead that are only on the other side of a partition. */
    @Test
    void a_domain_that_is_cut_off_stays_suspect_and_returns_when_the_partition_heals() {
        net.link((from, to) -> from.domain.equals("galpon") == to.domain.equals("galpon"));
        net.run(Duration.ofSeconds(60));

        for (int i = 0; i < 3; i++) {
            assertThat(net.state("balanza0", "galpon" + i)).isEqualTo(MemberState.SUSPECT);
            assertThat(net.state("galpon0", "balanza" + i)).isEqualTo(MemberState.SUSPECT);
            assertThat(net.state("galpon0", "galpon" + i)).isEqualTo(MemberState.ALIVE);
            assertThat(net.view("balanza0").find("galpon" + i, 1000)).isEqualTo(new Owner.Unreachable());
        }

        net.link((_from, _to) -> true);
        net.run(Duration.ofSeconds(20));
        net.nodes().forEach(node -> everyoneSees(node.first.id(), MemberState.ALIVE));
    }

    /** Guards against a link that is dead in one direction making a host suspect that others reach. */
    @Test
    void a_host_that_one_member_cannot_call_stays_alive_and_counts_as_unreachable_only_there() {
        net.link((from, to) ->
                !(from.first.id().equals("galpon1") && to.first.id().equals("balanza0")));
        net.run(Duration.ofSeconds(30));

        everyoneSees("galpon1", MemberState.ALIVE);
        assertThat(net.view("balanza0").find("galpon1", 1000)).isEqualTo(new Owner.Unreachable());
        assertThat(net.view("balanza1").find("galpon1", 1000)).isInstanceOf(Owner.Alive.class);
    }

    /** Guards against a host that is cut off itself and spreads suspicion of everybody else. */
    @Test
    void a_host_that_reaches_nobody_judges_nobody() {
        net.link((from, to) ->
                !from.first.id().equals("galpon1") && !to.first.id().equals("galpon1"));
        net.run(Duration.ofSeconds(30));

        assertThat(net.state("galpon1", "balanza0")).isEqualTo(MemberState.ALIVE);
        assertThat(net.view("galpon1").find("balanza0", 1000)).isEqualTo(new Owner.Unreachable());
    }

    /** Guards against dropping live hosts because the platform's list is empty or old. */
    @Test
    void a_list_that_lacks_live_hosts_or_names_dead_ones_changes_no_state() {
        net.node("galpon1").mode = FakeNetwork.Mode.KILLED;
        net.run(DETECTED);
        net.tell("balanza0", new MembershipEvent.Listed(ImmutableSet.of(), ImmutableSet.of()));
        net.tell(
                "balanza1",
                new MembershipEvent.Listed(ImmutableSet.of(address("galpon", 1)), ImmutableSet.of("galpon2")));
        net.run(Duration.ofSeconds(20));

        everyoneSees("galpon1", MemberState.GONE);
        everyoneSees("galpon2", MemberState.ALIVE);
        assertThat(net.view("balanza0").hosts()).hasSize(9);
    }

    /** Guards against two groups that never find each other although the platform lists both. */
    @Test
    void groups_that_started_apart_join_through_the_list() {
        net.start("zst0", "zst-noord", "10.7.0.1:7000", 1000);
        net.run(SETTLED);
        assertThat(net.view("zst0").hosts()).hasSize(1);

        net.tell("balanza0", new MembershipEvent.Listed(ImmutableSet.of("10.7.0.1:7000"), ImmutableSet.of()));
        net.run(DETECTED);

        everyoneSees("zst0", MemberState.ALIVE);
        assertThat(net.view("zst0").hosts()).hasSize(10);
    }

    /** Guards against messages that grow with the number of hosts. */
    @Test
    void messages_besides_the_answer_to_a_join_are_bounded() {
        net.link((from, to) -> from.domain.equals("galpon") == to.domain.equals("galpon"));
        net.run(Duration.ofSeconds(20));
        net.link((_from, _to) -> true);
        net.nodes().forEach(node -> node.log.clear());
        net.run(Duration.ofSeconds(20));

        for (FakeNetwork.Node node : net.nodes()) {
            for (MembershipAction action : node.log) {
                if (action instanceof MembershipAction.SendExchange send) {
                    assertThat(send.message().deltas().size())
                            .isAtMost(MembershipSettings.defaults().maxDeltas());
                }
            }
        }
    }

    /** Guards against handing answers over to a host that is about to stop, or to another domain. */
    @Test
    void the_successor_is_a_running_host_of_the_same_domain() {
        assertThat(net.view("galpon1").successor()).hasValue("galpon2");

        net.tell("galpon1", new MembershipEvent.Listed(ImmutableSet.of(), ImmutableSet.of("galpon2")));
        net.run(Duration.ofSeconds(1));
        assertThat(net.view("galpon1").successor()).hasValue("galpon0");

        net.tell("galpon0", new MembershipEvent.LeaveRequested(1, Optional.empty()));
        net.run(Duration.ofSeconds(1));
        assertThat(net.view("galpon1").successor()).isEmpty();
    }

    private static String address(String domain, int number) {
        return "10.0." + domain.charAt(0) % 16 + "." + number + ":7000";
    }

    private Owner handedOver(String successor) {
        return new Owner.HandedOver(successor, Addresses.parse(net.node(successor).address));
    }

    private void everyoneSees(String subject, MemberState state) {
        net.nodes().stream()
                .filter(node -> node.mode == FakeNetwork.Mode.RUNNING)
                .forEach(node -> assertWithMessage("%s as seen by %s", subject, node.first.id())
                        .that(net.state(node.first.id(), subject))
                        .isEqualTo(state));
    }
}
