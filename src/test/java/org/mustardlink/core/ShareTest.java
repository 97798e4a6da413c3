package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how the entry hosts of a failure domain share the slots of its targets. */
class ShareTest {
    private static final ImmutableMap<String, String> HOSTS =
            ImmutableMap.of("a", "balanza", "b", "balanza", "c", "balanza", "d", "galpon");

    /** Guards against shares that add up to more slots than a target has (refusals) or fewer (unused capacity). */
    @Test
    void shares_within_a_domain_add_up_to_the_slots_of_each_target() {
        ImmutableList<DispatchCore> cores = ImmutableList.of(core("a"), core("b"), core("c"));

        for (String target : ImmutableList.of("t0", "t1", "t2")) {
            assertThat(cores.stream().mapToInt(core -> share(core, target)).sum())
                    .isEqualTo(8);
        }
        assertThat(share(core("d"), "t0")).isEqualTo(0);
    }

    /** Guards against two hosts that use a lent slot at the same time, and against loans that do not end. */
    @Test
    void a_loan_moves_slots_for_one_term() {
        FakeTargets lender = targets("a");
        FakeTargets borrower = targets("b");
        IntStream.range(0, 12).forEach(_i -> borrower.submit("clerks", "check", Duration.ofMinutes(1), 400, 400, 400));
        borrower.runFor(Duration.ofMillis(60));
        Command.RequestSlots need = first(borrower, Command.RequestSlots.class);
        lender.send(new Event.SlotsRequested("b", need.demands()));
        Command.OfferSlots offer = first(lender, Command.OfferSlots.class);
        int lent = offer.loans().stream().mapToInt(SlotLoan::slots).sum();
        borrower.send(new Event.SlotsOffered("a", offer.loans(), offer.term()));

        assertThat(lent).isGreaterThan(0);
        assertThat(total(lender) + total(borrower)).isEqualTo(total(core("a")) + total(core("b")));
        assertThat(total(lender)).isEqualTo(total(core("a")) - lent);
        lender.submit("clerks", "check", Duration.ofMinutes(1), 1, 1);
        lender.runFor(Duration.ofSeconds(2));
        lender.submit("clerks", "check", Duration.ofMinutes(1), 1, 1);
        assertThat(total(lender)).isEqualTo(total(core("a")));
    }

    /** Guards against unused slots that the target just reported as free, and against use of slots without a report. */
    @Test
    void a_recent_load_report_allows_slots_beyond_the_own_share() {
        FakeTargets targets = new FakeTargets(DispatchCore.create(
                        CoreSettings.defaults("a", 1),
                        Policies.of(PlacementPolicy.fastestFree()).withSharing(SlotSharing.REPORTED)))
                .declare(8, 1)
                .send(new Event.EntryHostsChanged("balanza", HOSTS));
        int part = targets.target("t0").share();
        targets.submit("clerks", "check", Duration.ofMinutes(1), 500, 500, 500, 500, 500, 500, 500, 500, 5);
        assertThat(targets.starts()).isEqualTo(part);
        targets.runFor(Duration.ofMillis(10));

        assertThat(targets.target("t0").outstanding()).isEqualTo(7);
    }

    private static <T extends Command> T first(FakeTargets targets, Class<T> type) {
        return Iterables.filter(targets.drainCommands(), type).iterator().next();
    }

    private static FakeTargets targets(String host) {
        return new FakeTargets(core(host))
                .declare(8, 1, 1, 1)
                .send(new Event.EntryHostsChanged(HOSTS.get(host), HOSTS));
    }

    private static DispatchCore core(String host) {
        DispatchCore core = DispatchCore.create(
                CoreSettings.defaults(host, 1),
                Policies.of(PlacementPolicy.fastestFree()).withSharing(SlotSharing.MOVING));
        new FakeTargets(core).declare(8, 1, 1, 1).send(new Event.EntryHostsChanged(HOSTS.get(host), HOSTS));
        return core;
    }

    private static int total(FakeTargets targets) {
        return total(targets.core());
    }

    private static int total(DispatchCore core) {
        return share(core, "t0") + share(core, "t1") + share(core, "t2");
    }

    private static int share(DispatchCore core, String target) {
        return core.snapshot(0).targets().stream()
                .filter(row -> row.id().equals(target))
                .findFirst()
                .orElseThrow()
                .share();
    }
}
