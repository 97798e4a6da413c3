package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Asks other entry hosts for slots while tasks wait, and lends slots that stay unused. */
final class ShareSystem implements DispatchSystem {
    /** Shortest time between two requests for slots, in nanoseconds. */
    private static final long ASK_NANOS = 50_000_000;

    /** Requests in a row without an offer after which another domain is asked. */
    private static final int SPILL_AFTER = 4;

    /**
     * Shortest expected wait that makes slots of another domain worth the longer way, in milliseconds: twice the 1.5 ms
     * each way.
     */
    private static final double SPILL_WAIT_MS = 6;

    private long askedNanos = Long.MIN_VALUE;
    private int turn;
    private int unanswered;

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        if (tables.shares().expire(now)) {
            tables.shares().assign(tables.targets());
        }
        if (tables.shares().moving() && (askedNanos == Long.MIN_VALUE || now - askedNanos >= ASK_NANOS)) {
            ask(tables, now, out);
        }
    }

    private void ask(Tables tables, long now, Consumer<Command> out) {
        if (tables.queue().size() == 0) {
            unanswered = 0;
            return;
        }
        ImmutableList<SlotNeed> needs = needs(tables, now);
        boolean spill = unanswered >= SPILL_AFTER && waitMs(tables, needs) > SPILL_WAIT_MS;
        ImmutableList<String> peers = tables.shares().peers(!spill);
        if (needs.isEmpty() || peers.isEmpty() || !tables.messages().take()) {
            return;
        }
        askedNanos = now;
        // A request that draws no offer goes to the next host; the counter starts again after one that asked elsewhere.
        unanswered = spill ? 0 : unanswered + 1;
        out.accept(new Command.ReportLoad(peers.get(Math.floorMod(turn++, peers.size())), needs));
    }

    private static ImmutableList<SlotNeed> needs(Tables tables, long now) {
        ImmutableList.Builder<SlotNeed> needs = ImmutableList.builder();
        for (String service : tables.queue().services()) {
            int waiting = tables.queue().find(service).orElseThrow().size();
            if (waiting > 0 && tables.targets().accepting(service, now).isEmpty()) {
                needs.add(new SlotNeed(service, waiting));
            }
        }
        return needs.build();
    }

    private static double waitMs(Tables tables, ImmutableList<SlotNeed> needs) {
        return needs.stream()
                .mapToDouble(need ->
                        tables.queue().find(need.service()).orElseThrow().work()
                                / Math.max(1e-3, tables.targets().capacity(need.service())))
                .max()
                .orElse(0);
    }

    /** Takes over slots that another host lends. */
    void borrow(Tables tables, Event.SharesOffered event, long now) {
        unanswered = 0;
        tables.shares().borrowed(event.loans(), event.term(), now);
        tables.shares().assign(tables.targets());
    }

    /** Lends unused slots to a host whose tasks wait. */
    void lend(Tables tables, Event.PeerLoadReported event, long now, Consumer<Command> out) {
        Map<String, Integer> loans = new HashMap<>();
        event.needs().forEach(need -> spare(tables, need, now, loans));
        if (loans.isEmpty() || !tables.messages().take()) {
            return;
        }
        ImmutableList<SlotLoan> offered = loans.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(loan -> new SlotLoan(loan.getKey(), loan.getValue()))
                .collect(ImmutableList.toImmutableList());
        tables.shares().lent(offered, now);
        tables.shares().assign(tables.targets());
        out.accept(new Command.OfferShares(event.from(), offered, ShareTable.TERM));
    }

    private static void spare(Tables tables, SlotNeed need, long now, Map<String, Integer> loans) {
        List<TargetRow> free = tables.targets().accepting(need.service(), now);
        int freeSlots = free.stream().mapToInt(TargetRow::freeSlots).sum();
        int busy = tables.targets().of(need.service()).stream()
                .mapToInt(TargetRow::outstanding)
                .sum();
        // Arrivals during the term vary by the square root of their number, so that many slots stay here.
        int lendable = Math.min(need.slots(), freeSlots - (int) Math.ceil(Math.sqrt(busy)));
        free.sort(Comparator.comparingDouble(TargetRow::speed).reversed());
        for (TargetRow target : free) {
            int lent = Math.min(target.freeSlots(), lendable);
            if (lent > 0) {
                loans.merge(target.spec().id(), lent, Integer::sum);
                lendable -= lent;
            }
        }
    }
}
