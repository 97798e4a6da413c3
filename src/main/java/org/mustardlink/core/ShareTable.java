package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * This host's share of the slots of each target: an equal share of the targets of its own failure domain, plus borrowed
 * and minus lent slots.
 *
 * <p>Not persisted. Loans expire independently at both hosts, so a lost message leaves slots idle for one term, and an
 * incorrect share leads to refused starts.
 */
final class ShareTable {
    /** Duration of a loan at the lender. */
    static final Duration LOAN_TERM = Duration.ofSeconds(1);

    /** Time by which a loan ends earlier at the borrower, to allow for the latency of the offer and of starts. */
    private static final long BORROWER_MARGIN_NANOS = 20_000_000;

    private final SlotSharing sharing;
    private final List<Loan> loans = new ArrayList<>();
    private final String ownHost;
    private String ownDomain = "";
    private ImmutableMap<String, String> domainByHost = ImmutableMap.of();
    private long nextExpiry = Long.MAX_VALUE;

    /** Slots of a target that are borrowed, or lent if negative, until a monotonic time. */
    private record Loan(String target, int slots, long untilNanos) {}

    ShareTable(String ownHost, SlotSharing sharing) {
        this.ownHost = ownHost;
        this.sharing = sharing;
    }

    void setHosts(Event.EntryHostsChanged event) {
        ownDomain = event.ownDomain();
        domainByHost = event.domainByHost();
    }

    /** Returns whether slots beyond this host's share may be used if a load report shows them as free. */
    boolean usesReportedSlots() {
        return sharing == SlotSharing.REPORTED;
    }

    boolean lendsSlots() {
        return sharing == SlotSharing.MOVING;
    }

    /** Returns the ids of the other entry hosts, either of this host's failure domain or of all others, in order. */
    ImmutableList<String> peers(boolean sameDomain) {
        return domainByHost.entrySet().stream()
                .filter(host ->
                        !host.getKey().equals(ownHost) && host.getValue().equals(ownDomain) == sameDomain)
                .map(Map.Entry::getKey)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    void addBorrowed(ImmutableList<SlotLoan> offered, Duration term, long now) {
        long untilNanos = now + term.toNanos() - BORROWER_MARGIN_NANOS;
        offered.forEach(loan -> add(new Loan(loan.target(), loan.slots(), untilNanos)));
    }

    void addLent(ImmutableList<SlotLoan> offered, long now) {
        offered.forEach(loan -> add(new Loan(loan.target(), -loan.slots(), now + LOAN_TERM.toNanos())));
    }

    private void add(Loan loan) {
        loans.add(loan);
        nextExpiry = Math.min(nextExpiry, loan.untilNanos());
    }

    /** Removes expired loans and returns whether there may have been any. */
    boolean expire(long now) {
        if (now < nextExpiry) {
            return false;
        }
        loans.removeIf(loan -> loan.untilNanos() <= now);
        nextExpiry = loans.stream().mapToLong(Loan::untilNanos).min().orElse(Long.MAX_VALUE);
        return true;
    }

    /** Recomputes this host's share of all targets. */
    void assignShares(TargetTable targets) {
        targets.all()
                .forEach(row -> row.setShare(
                        baseShare(row.spec()),
                        Math.max(1, row.spec().slots() / Math.max(1, domainByHost.size())),
                        connectionShare(row.spec())));
        loans.forEach(loan -> targets.find(loan.target()).ifPresent(row -> row.addShare(loan.slots())));
    }

    private int baseShare(TargetSpec target) {
        List<String> hosts = sharingHosts(target);
        int rank = hosts.indexOf(ownHost);
        if (domainByHost.isEmpty() || (rank >= 0 && sharing == SlotSharing.LOCAL_VIEW)) {
            return target.slots();
        }
        if (rank < 0) {
            return 0;
        }
        // Which hosts get the remainder depends on the target, so that the remainders spread over the hosts.
        int remainderRank = Math.floorMod(rank + target.id().hashCode(), hosts.size());
        return target.slots() / hosts.size() + (remainderRank < target.slots() % hosts.size() ? 1 : 0);
    }

    private int connectionShare(TargetSpec target) {
        return Math.max(
                1, target.connections() / Math.max(1, sharingHosts(target).size()));
    }

    /** Returns the hosts that share a target: those of its failure domain, or all hosts if none of these is alive. */
    private List<String> sharingHosts(TargetSpec target) {
        List<String> domainHosts = domainByHost.entrySet().stream()
                .filter(host -> host.getValue().equals(target.domain()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        return domainHosts.isEmpty() ? domainByHost.keySet().stream().sorted().toList() : domainHosts;
    }
}
