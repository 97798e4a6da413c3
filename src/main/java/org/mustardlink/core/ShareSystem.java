package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Requests slots from other entry hosts while tasks are queued, and lends unused slots to them. */
final class ShareSystem implements DispatchSystem {
    /** Minimum interval between two slot requests, in nanoseconds. */
    private static final long MIN_REQUEST_INTERVAL_NANOS = 50_000_000;

    /** Consecutive requests without an offer after which a host of another failure domain is asked. */
    private static final int SPILLOVER_AFTER_UNANSWERED = 4;

    /**
     * Shortest expected wait, in milliseconds, at which slots of another failure domain are worth the higher latency:
     * twice the round trip of 3 ms between domains.
     */
    private static final double SPILLOVER_MIN_WAIT_MS = 6;

    private long lastRequestNanos = Long.MIN_VALUE;
    private int nextPeer;
    private int unansweredRequests;

    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        if (tables.shares().expire(now)) {
            tables.shares().assignShares(tables.targets());
        }
        if (tables.shares().lendsSlots()
                && (lastRequestNanos == Long.MIN_VALUE || now - lastRequestNanos >= MIN_REQUEST_INTERVAL_NANOS)) {
            requestSlots(tables, now, out);
        }
    }

    private void requestSlots(Tables tables, long now, Consumer<Command> out) {
        if (tables.queue().size() == 0) {
            unansweredRequests = 0;
            return;
        }
        ImmutableList<SlotDemand> demands = demands(tables, now);
        boolean spillover = unansweredRequests >= SPILLOVER_AFTER_UNANSWERED
                && longestWaitMs(tables, demands) > SPILLOVER_MIN_WAIT_MS;
        ImmutableList<String> peers = tables.shares().peers(!spillover);
        if (demands.isEmpty() || peers.isEmpty() || !tables.messageBudget().tryTake()) {
            return;
        }
        lastRequestNanos = now;
        // Requests go to the peers in turn, so the next request after an unanswered one goes to another host. A request
        // to another failure domain restarts the count.
        unansweredRequests = spillover ? 0 : unansweredRequests + 1;
        tables.counters().countPeerMessage();
        out.accept(new Command.RequestSlots(peers.get(Math.floorMod(nextPeer++, peers.size())), demands));
    }

    private static ImmutableList<SlotDemand> demands(Tables tables, long now) {
        ImmutableList.Builder<SlotDemand> demands = ImmutableList.builder();
        for (String service : tables.queue().services()) {
            int waitingTasks = tables.queue().find(service).orElseThrow().size();
            if (waitingTasks > 0 && tables.targets().accepting(service, now).isEmpty()) {
                demands.add(new SlotDemand(service, waitingTasks));
            }
        }
        return demands.build();
    }

    private static double longestWaitMs(Tables tables, ImmutableList<SlotDemand> demands) {
        return demands.stream()
                .mapToDouble(demand ->
                        tables.queue().find(demand.service()).orElseThrow().workMs()
                                / Math.max(1e-3, tables.targets().capacity(demand.service())))
                .max()
                .orElse(0);
    }

    /** Adds slots that another host offers to this host's shares. */
    void borrow(Tables tables, Event.SlotsOffered event, long now) {
        unansweredRequests = 0;
        tables.shares().addBorrowed(event.loans(), event.term(), now);
        tables.shares().assignShares(tables.targets());
    }

    /** Lends unused slots to a host that has queued tasks. */
    void lend(Tables tables, Event.SlotsRequested event, long now, Consumer<Command> out) {
        Map<String, Integer> loans = new HashMap<>();
        event.demands().forEach(demand -> addSpareSlots(tables, demand, now, loans));
        if (loans.isEmpty() || !tables.messageBudget().tryTake()) {
            return;
        }
        ImmutableList<SlotLoan> offeredLoans = loans.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(loan -> new SlotLoan(loan.getKey(), loan.getValue()))
                .collect(ImmutableList.toImmutableList());
        tables.shares().addLent(offeredLoans, now);
        tables.shares().assignShares(tables.targets());
        tables.counters().countPeerMessage();
        out.accept(new Command.OfferSlots(event.from(), offeredLoans, ShareTable.LOAN_TERM));
    }

    private static void addSpareSlots(Tables tables, SlotDemand demand, long now, Map<String, Integer> loans) {
        List<TargetRow> freeTargets = tables.targets().accepting(demand.service(), now);
        int freeSlots = freeTargets.stream().mapToInt(TargetRow::freeSlots).sum();
        int busySlots = tables.targets().ofService(demand.service()).stream()
                .mapToInt(TargetRow::outstanding)
                .sum();
        // The number of arrivals during a loan varies by its square root, so that many free slots are not lent.
        int lendableSlots = Math.min(demand.slots(), freeSlots - (int) Math.ceil(Math.sqrt(busySlots)));
        freeTargets.sort(Comparator.comparingDouble(TargetRow::speed).reversed());
        for (TargetRow target : freeTargets) {
            int lentSlots = Math.min(target.freeSlots(), lendableSlots);
            if (lentSlots > 0) {
                loans.merge(target.spec().id(), lentSlots, Integer::sum);
                lendableSlots -= lentSlots;
            }
        }
    }
}
