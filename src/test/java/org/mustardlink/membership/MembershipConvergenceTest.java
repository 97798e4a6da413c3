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

/** Random interleavings of faults over nine tables in three domains. */
class MembershipConvergenceTest {
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("balanza", "galpon", "oficina");
    private static final int PER_DOMAIN = 3;
    private static final Duration CONVERGED = Duration.ofSeconds(60);

    private final Map<String, Member> highest = new HashMap<>();
    private FakeNetwork net;
    private long incarnation = 1000;

    enum Fault {
        KILL,
        UNPLUG,
        FREEZE,
        THAW,
        RESTART,
        LEAVE,
        CUT_DOMAIN,
        CUT_HOST,
        ONE_WAY,
        HEAL,
        LOSE,
        EMPTY_LIST,
        STALE_LIST
    }

    record Step(Fault fault, int host, int waitMs) {}

    /**
     * Guards against views that stay apart, live hosts that stay gone, incarnations that come back and versions that go
     * back, whatever the order of faults.
     */
    @Property(tries = 100, seed = "4815162342", shrinking = ShrinkingMode.BOUNDED, edgeCases = EdgeCasesMode.NONE)
    void a_live_connected_group_converges_and_no_record_goes_back(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        net = new FakeNetwork(seed);
        highest.clear();
        for (int host = 0; host < DOMAINS.size() * PER_DOMAIN; host++) {
            start(host);
        }
        run(Duration.ofSeconds(5));

        for (Step step : steps) {
            apply(step);
            run(Duration.ofMillis(step.waitMs()));
        }

        net.link((_from, _to) -> true);
        net.lose(0);
        net.nodes().forEach(FakeNetwork.Node::thaw);
        run(CONVERGED);
        net.nodes().stream().filter(FakeNetwork.Node::runs).forEach(this::checkView);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Fault.class),
                        Arbitraries.integers().between(0, DOMAINS.size() * PER_DOMAIN - 1),
                        Arbitraries.integers().between(100, 8_000))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    private void apply(Step step) {
        FakeNetwork.Node node = net.node(id(step.host()));
        switch (step.fault()) {
            case KILL -> node.mode = FakeNetwork.Mode.KILLED;
            case UNPLUG -> node.mode = FakeNetwork.Mode.UNPLUGGED;
            case FREEZE -> node.freeze();
            case THAW -> node.thaw();
            case RESTART -> start(step.host());
            case LEAVE ->
                net.tell(node.first.id(), new MembershipEvent.LeaveRequested(1, Optional.of(id(step.host() + 1))));
            case CUT_DOMAIN -> net.link((from, to) -> from.domain.equals(node.domain) == to.domain.equals(node.domain));
            case CUT_HOST -> net.link((from, to) -> from != node && to != node);
            case ONE_WAY -> net.link((from, _to) -> from != node);
            case HEAL -> net.link((_from, _to) -> true);
            case LOSE -> net.lose(0.2);
            case EMPTY_LIST -> list(node, ImmutableSet.of());
            case STALE_LIST -> list(node, ImmutableSet.of(address(0), address(step.host()), "10.9.9.9:7000"));
        }
    }

    private void list(FakeNetwork.Node node, ImmutableSet<String> addresses) {
        net.tell(node.first.id(), new MembershipEvent.Listed(addresses, ImmutableSet.of()));
    }

    private void start(int host) {
        net.start(id(host), domain(host), address(host), ++incarnation, address(0), address(4));
    }

    /** Runs in short pieces and checks after each that no view went back. */
    private void run(Duration time) {
        for (long left = time.toMillis(); left > 0; left -= 500) {
            net.run(Duration.ofMillis(Math.min(left, 500)));
            net.nodes()
                    .forEach(viewer -> net.view(viewer.first.id())
                            .hosts()
                            .forEach((_id, host) -> checkForward(viewer, host.member())));
        }
    }

    private void checkForward(FakeNetwork.Node viewer, Member seen) {
        Member before = highest.put(viewer.first.id() + viewer.first.incarnation() + seen.id(), seen);
        if (before != null) {
            assertWithMessage("%s went back at %s", before, viewer.first.id())
                    .that(before.supersedes(seen))
                    .isFalse();
        }
    }

    private void checkView(FakeNetwork.Node viewer) {
        for (FakeNetwork.Node subject : net.nodes()) {
            Member seen =
                    net.view(viewer.first.id()).hosts().get(subject.first.id()).member();
            String what = seen + " as seen by " + viewer.first.id();
            assertWithMessage(what).that(seen.incarnation()).isEqualTo(subject.first.incarnation());
            assertWithMessage(what).that(seen.isRunning()).isEqualTo(subject.runs());
            if (subject.runs()) {
                Member own = net.view(subject.first.id())
                        .hosts()
                        .get(subject.first.id())
                        .member();
                assertWithMessage(what).that(seen).isEqualTo(own);
            }
        }
    }

    private static String id(int host) {
        return domain(host) + host % (DOMAINS.size() * PER_DOMAIN);
    }

    private static String domain(int host) {
        return DOMAINS.get(host % DOMAINS.size());
    }

    private static String address(int host) {
        return "10.0.0." + host % (DOMAINS.size() * PER_DOMAIN) + ":7000";
    }
}
