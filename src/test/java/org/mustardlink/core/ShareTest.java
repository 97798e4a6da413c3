package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Parts of slots between entry hosts of one failure domain. */
class ShareTest {
    private static final ImmutableMap<String, String> HOSTS =
            ImmutableMap.of("a", "balanza", "b", "balanza", "c", "balanza", "d", "galpon");

    /** Guards against parts that add up to more or less than the slots, which would cost refusals or capacity. */
    @Test
    void equal_parts_of_a_domain_add_up_to_the_slots_of_each_target() {
        ImmutableList<DispatchCore> cores = ImmutableList.of(core("a"), core("b"), core("c"));

        for (String target : ImmutableList.of("t0", "t1", "t2")) {
            assertThat(cores.stream().mapToInt(core -> core.targetShare(target)).sum())
                    .isEqualTo(8);
        }
        assertThat(core("d").targetShare("t0")).isEqualTo(0);
    }

    /** Guards against two hosts using a lent slot at once and against loans that never end. */
    @Test
    void a_loan_moves_slots_for_one_term() {
        FakeTargets lender = targets("a");
        FakeTargets borrower = targets("b");
        IntStream.range(0, 12).forEach(_i -> borrower.submit("clerks", "check", Duration.ofMinutes(1), 400, 400, 400));
        borrower.runFor(Duration.ofMillis(60));
        Command.ReportLoad need = first(borrower, Command.ReportLoad.class);
        lender.send(new Event.PeerLoadReported("b", need.needs()));
        Command.OfferShares offer = first(lender, Command.OfferShares.class);
        int lent = offer.loans().stream().mapToInt(SlotLoan::slots).sum();
        borrower.send(new Event.SharesOffered("a", offer.loans(), offer.term()));

        assertThat(lent).isGreaterThan(0);
        assertThat(total(lender) + total(borrower)).isEqualTo(total(core("a")) + total(core("b")));
        assertThat(total(lender)).isEqualTo(total(core("a")) - lent);
        lender.submit("clerks", "check", Duration.ofMinutes(1), 1, 1);
        lender.runFor(Duration.ofSeconds(2));
        lender.submit("clerks", "check", Duration.ofMinutes(1), 1, 1);
        assertThat(total(lender)).isEqualTo(total(core("a")));
    }

    private static <T extends Command> T first(FakeTargets targets, Class<T> type) {
        return Iterables.filter(targets.drainCommands(), type).iterator().next();
    }

    private static FakeTargets targets(String host) {
        return new FakeTargets(core(host)).declare(8, 1, 1, 1).send(new Event.EntryHostsKnown(HOSTS.get(host), HOSTS));
    }

    private static DispatchCore core(String host) {
        DispatchCore core =
                DispatchCore.create(CoreSettings.defaults(host, 1), PlacementPolicy.fastestFree(), SlotSharing.MOVING);
        new FakeTargets(core).declare(8, 1, 1, 1).send(new Event.EntryHostsKnown(HOSTS.get(host), HOSTS));
        return core;
    }

    private static int total(FakeTargets targets) {
        return total(targets.core());
    }

    private static int total(DispatchCore core) {
        return core.targetShare("t0") + core.targetShare("t1") + core.targetShare("t2");
    }
}
