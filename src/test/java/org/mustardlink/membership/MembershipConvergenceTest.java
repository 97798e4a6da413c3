package org.mustardlink.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Applies random sequences of faults to nine membership tables in three domains. */
class MembershipConvergenceTest {
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("balanza", "galpon", "oficina");
    private static final int HOSTS_PER_DOMAIN = 3;
    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(60);

    private final Map<String, Member> latestSeen = new HashMap<>();
    private FakeNetwork network;
    private long incarnation = 1000;

    enum Fault {
        KILL,
        DISCONNECT,
        PAUSE,
        RESUME,
        RESTART,
        LEAVE,
        ISOLATE_DOMAIN,
        ISOLATE_HOST,
        DROP_OUTGOING,
        RESTORE_LINKS,
        LOSE_MESSAGES,
        EMPTY_LIST,
        STALE_LIST
    }

    record Step(Fault fault, int host, int waitMs) {}

    /**
     * Guards against views that do not converge, running hosts that stay gone, earlier incarnations that replace later
     * ones, and versions that decrease, for any order of faults.
     */
    @Property(tries = 100, seed = "4815162342", shrinking = ShrinkingMode.BOUNDED, edgeCases = EdgeCasesMode.NONE)
    void a_connected_group_converges_and_no_record_is_replaced_by_an_older_one(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        network = new FakeNetwork(seed);
        latestSeen.clear();
        for (int host = 0; host < DOMAINS.size() * HOSTS_PER_DOMAIN; host++) {
            start(host);
        }
        run(Duration.ofSeconds(5));

        for (Step step : steps) {
            apply(step);
            run(Duration.ofMillis(step.waitMs()));
        }

        network.setLinkFilter((_from, _to) -> true);
        network.setLossRate(0);
        network.nodes().forEach(FakeNetwork.Node::resume);
        run(CONVERGENCE_TIME);
        network.nodes().stream().filter(FakeNetwork.Node::isRunning).forEach(this::checkView);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Fault.class),
                        Arbitraries.integers().between(0, DOMAINS.size() * HOSTS_PER_DOMAIN - 1),
                        Arbitraries.integers().between(100, 8_000))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    private void apply(Step step) {
        FakeNetwork.Node node = network.node(id(step.host()));
        switch (step.fault()) {
            case KILL -> node.mode = FakeNetwork.Mode.KILLED;
            case DISCONNECT -> node.mode = FakeNetwork.Mode.DISCONNECTED;
            case PAUSE -> node.pause();
            case RESUME -> node.resume();
            case RESTART -> start(step.host());
            case LEAVE ->
                network.enqueueEvent(
                        node.initialMember.id(),
                        new MembershipEvent.LeaveRequested(1, Optional.of(id(step.host() + 1))));
            case ISOLATE_DOMAIN ->
                network.setLinkFilter((from, to) -> from.domain.equals(node.domain) == to.domain.equals(node.domain));
            case ISOLATE_HOST -> network.setLinkFilter((from, to) -> from != node && to != node);
            case DROP_OUTGOING -> network.setLinkFilter((from, _to) -> from != node);
            case RESTORE_LINKS -> network.setLinkFilter((_from, _to) -> true);
            case LOSE_MESSAGES -> network.setLossRate(0.2);
            case EMPTY_LIST -> readHostList(node, ImmutableSet.of());
            case STALE_LIST -> readHostList(node, ImmutableSet.of(address(0), address(step.host()), "10.9.9.9:7000"));
        }
    }

    private void readHostList(FakeNetwork.Node node, ImmutableSet<String> addresses) {
        network.enqueueEvent(node.initialMember.id(), new MembershipEvent.HostListRead(addresses, ImmutableSet.of()));
    }

    private void start(int host) {
        network.start(id(host), domain(host), address(host), ++incarnation, address(0), address(4));
    }

    /** Runs in steps of 500 ms, and checks after each that no view replaced a record by an older one. */
    private void run(Duration time) {
        for (long remainingMs = time.toMillis(); remainingMs > 0; remainingMs -= 500) {
            network.run(Duration.ofMillis(Math.min(remainingMs, 500)));
            network.nodes()
                    .forEach(viewer -> network.view(viewer.initialMember.id())
                            .hosts()
                            .forEach((_id, host) -> checkNotSuperseded(viewer, host.member())));
        }
    }

    private void checkNotSuperseded(FakeNetwork.Node viewer, Member seen) {
        Member previous =
                latestSeen.put(viewer.initialMember.id() + viewer.initialMember.incarnation() + seen.id(), seen);
        if (previous != null) {
            assertWithMessage("%s was replaced by an older record at %s", previous, viewer.initialMember.id())
                    .that(previous.supersedes(seen))
                    .isFalse();
        }
    }

    private void checkView(FakeNetwork.Node viewer) {
        for (FakeNetwork.Node subject : network.nodes()) {
            Member seen = network.view(viewer.initialMember.id())
                    .hosts()
                    .get(subject.initialMember.id())
                    .member();
            String description = seen + " as seen by " + viewer.initialMember.id();
            assertWithMessage(description).that(seen.incarnation()).isEqualTo(subject.initialMember.incarnation());
            assertWithMessage(description).that(seen.isRunning()).isEqualTo(subject.isRunning());
            if (subject.isRunning()) {
                Member own = network.view(subject.initialMember.id())
                        .hosts()
                        .get(subject.initialMember.id())
                        .member();
                assertWithMessage(description).that(seen).isEqualTo(own);
            }
        }
    }

    private static String id(int host) {
        return domain(host) + host % (DOMAINS.size() * HOSTS_PER_DOMAIN);
    }

    private static String domain(int host) {
        return DOMAINS.get(host % DOMAINS.size());
    }

    private static String address(int host) {
        return "10.0.0." + host % (DOMAINS.size() * HOSTS_PER_DOMAIN) + ":7000";
    }
}
