package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * This host's part of each target's slots: an equal part of the targets of its own failure domain, plus what it borrowed
 * and less what it lent.
 *
 * <p>Soft state. Loans end by themselves on both sides, so a lost message costs idle slots for one term and a wrong part
 * costs refusals.
 */
final class ShareTable {
    /** Time that a loan lasts at the lender. */
    static final Duration LOAN_TERM = Duration.ofSeconds(1);

    /** Time by which the borrower stops earlier, for the way of the message and of its last starts. */
    private static final long BORROWER_MARGIN_NANOS = 20_000_000;

    private final SlotSharing sharing;
    private final List<Loan> loans = new ArrayList<>();
    private final String ownHost;
    private String ownDomain = "";
    private ImmutableMap<String, String> domainByHost = ImmutableMap.of();
    private long nextExpiry = Long.MAX_VALUE;

    /** Slots gained, or lost if negative, until a time. */
    private record Loan(String target, int slots, long untilNanos) {}

    ShareTable(String ownHost, SlotSharing sharing) {
        this.ownHost = ownHost;
        this.sharing = sharing;
    }

    void setHosts(Event.EntryHostsChanged event) {
        ownDomain = event.ownDomain();
        domainByHost = event.domainByHost();
    }

    /** Returns whether slots beyond the own part may be used when a load report shows them as free. */
    boolean usesReportedSlots() {
        return sharing == SlotSharing.REPORTED;
    }

    boolean lendsSlots() {
        return sharing == SlotSharing.MOVING;
    }

    /** Returns the other entry hosts of the own domain, then those of other domains, each in order of id. */
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

    /** Drops loans that have ended and returns whether there were any. */
    boolean expire(long now) {
        if (now < nextExpiry) {
            return false;
        }
        loans.removeIf(loan -> loan.untilNanos() <= now);
        nextExpiry = loans.stream().mapToLong(Loan::untilNanos).min().orElse(Long.MAX_VALUE);
        return true;
    }

    /** Sets the parts of all targets anew. */
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
        // The remainder goes to another host at each target.
        int remainderRank = Math.floorMod(rank + target.id().hashCode(), hosts.size());
        return target.slots() / hosts.size() + (remainderRank < target.slots() % hosts.size() ? 1 : 0);
    }

    private int connectionShare(TargetSpec target) {
        return Math.max(
                1, target.connections() / Math.max(1, sharingHosts(target).size()));
    }

    /** Returns the hosts of the target's domain; if none is left, every host. */
    private List<String> sharingHosts(TargetSpec target) {
        List<String> domainHosts = domainByHost.entrySet().stream()
                .filter(host -> host.getValue().equals(target.domain()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        return domainHosts.isEmpty() ? domainByHost.keySet().stream().sorted().toList() : domainHosts;
    }
}
