package org.mustardlink.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The records of all known hosts, merged by precedence, and the queue of records to send to peers. */
final class MemberRecords {
    /** Maximum number of records in the answer to a join, which keeps the frame below 100 KB. */
    private static final int MAX_JOIN_RECORDS = 512;

    /** Maximum number of completed hand-overs kept for sessions of incarnations that have been replaced since. */
    private static final int MAX_HANDOVERS = 256;

    private final MembershipSettings settings;
    private final List<MembershipAction> actions;
    private final Map<String, MemberRow> rows = new TreeMap<>();
    private final DisseminationQueue updates = new DisseminationQueue();
    private final Map<MembershipView.HostProcess, MembershipView.HostProcess> handovers = new LinkedHashMap<>();
    private Member self;
    private boolean isReplaced;
    private int rotationIndex;
    private long revision;
    private long selfStateSince;

    MemberRecords(Member self, MembershipSettings settings, List<MembershipAction> actions, long now) {
        this.self = self;
        selfStateSince = now;
        this.settings = settings;
        this.actions = actions;
    }

    Member self() {
        return self;
    }

    boolean isReplaced() {
        return isReplaced;
    }

    Collection<MemberRow> rows() {
        return rows.values();
    }

    Optional<MemberRow> row(String id) {
        return Optional.ofNullable(rows.get(id));
    }

    /** Returns the row of a host if the row holds this incarnation. */
    Optional<MemberRow> row(String id, long incarnation) {
        return row(id).filter(row -> row.member().incarnation() == incarnation);
    }

    /** Returns the ids of the running members inside or outside the domain of this host, in a stable order. */
    List<String> runningMembers(boolean ownDomain) {
        return rows.values().stream()
                .map(MemberRow::member)
                .filter(member -> member.isRunning() && member.domain().equals(self.domain()) == ownDomain)
                .map(Member::id)
                .toList();
    }

    boolean hasFreshUpdates() {
        return updates.hasFreshUpdates(memberCount());
    }

    long revision() {
        return revision;
    }

    void incrementRevision() {
        revision++;
    }

    /** Replaces the record of this host by one with a higher version and the given state. */
    void updateSelf(long seenVersion, MemberState state, Optional<String> successor, String cause, long now) {
        selfStateSince = state == self.state() ? selfStateSince : now;
        self = self.withHigherVersion(seenVersion, state, successor);
        publishChange(self, cause);
    }

    /** Merges a received record. Returns the record that this host holds if the received one is out of date. */
    Optional<Member> merge(Member received, String cause, long now) {
        if (received.id().equals(self.id())) {
            return mergeSelf(received, now);
        }
        MemberRow row = rows.get(received.id());
        if (row == null) {
            rows.put(received.id(), new MemberRow(received, now));
            handleAccepted(received, cause);
            return Optional.empty();
        }
        if (received.supersedes(row.member())) {
            row.replace(received, now);
            handleAccepted(received, cause);
            return Optional.empty();
        }
        return row.member().supersedes(received) ? Optional.of(row.member()) : Optional.empty();
    }

    private void handleAccepted(Member member, String cause) {
        member.successor().ifPresent(successor -> rememberHandover(member, successor));
        publishChange(member, cause);
    }

    private void publishChange(Member member, String cause) {
        updates.add(member.id());
        revision++;
        actions.add(new MembershipAction.MemberChanged(member, cause));
    }

    private void rememberHandover(Member member, String successor) {
        long incarnation = successor.equals(self.id())
                ? self.incarnation()
                : row(successor).map(row -> row.member().incarnation()).orElse(Long.MAX_VALUE);
        handovers.putIfAbsent(
                new MembershipView.HostProcess(member.id(), member.incarnation()),
                new MembershipView.HostProcess(successor, incarnation));
        if (handovers.size() > MAX_HANDOVERS) {
            handovers.remove(handovers.keySet().iterator().next());
        }
    }

    private Optional<Member> mergeSelf(Member received, long now) {
        if (received.incarnation() > self.incarnation()) {
            if (!isReplaced) {
                isReplaced = true;
                revision++;
                actions.add(new MembershipAction.SelfReplaced(received));
            }
            return Optional.empty();
        }
        if (received.supersedes(self)) {
            updateSelf(
                    received.version(), self.state(), self.successor(), "suspicion retracted by the host itself", now);
        }
        return self.supersedes(received) ? Optional.of(self) : Optional.empty();
    }

    /** Sends a record again in the next messages, because a peer holds an older one. */
    void resend(Member current) {
        updates.resend(current.id(), memberCount());
    }

    /**
     * Builds an exchange message.
     *
     * @param receiver row of the receiving host, if known
     * @param corrections records that are newer than those of the receiver
     * @param digestDiffers whether the receiver's digest is known to differ from that of this host
     * @param join whether to request every record of the receiver
     */
    ExchangeMessage buildMessage(
            Optional<MemberRow> receiver, List<Member> corrections, boolean digestDiffers, boolean join) {
        Map<String, Member> deltas = new LinkedHashMap<>();
        receiver.map(MemberRow::member)
                .filter(member -> !member.isRunning())
                .ifPresent(member -> deltas.put(member.id(), member));
        corrections.forEach(member -> addDelta(deltas, member));
        updates.take(Math.max(0, settings.maxDeltas() - deltas.size()), memberCount())
                .forEach(host -> row(host).ifPresent(row -> addDelta(deltas, row.member())));
        if (digestDiffers) {
            addRotatingRecords(deltas);
        }
        return new ExchangeMessage(self, ImmutableList.copyOf(deltas.values()), digest(), join);
    }

    /** Builds the answer to a join, with the records of all other hosts up to {@link #MAX_JOIN_RECORDS}. */
    ExchangeMessage buildJoinAnswer() {
        ImmutableList<Member> all = rows.values().stream()
                .map(MemberRow::member)
                .limit(MAX_JOIN_RECORDS)
                .collect(ImmutableList.toImmutableList());
        return new ExchangeMessage(self, all, digest(), false);
    }

    private void addDelta(Map<String, Member> deltas, Member member) {
        if (deltas.size() < settings.maxDeltas() && !member.id().equals(self.id())) {
            deltas.put(member.id(), member);
        }
    }

    /** Fills a message with further records in rotation, so that tables that differ converge after a few messages. */
    private void addRotatingRecords(Map<String, Member> deltas) {
        List<Member> live = new ArrayList<>();
        rows.values().stream()
                .map(MemberRow::member)
                .filter(member -> member.state() != MemberState.GONE)
                .forEach(live::add);
        for (int i = 0; i < live.size() && deltas.size() < settings.maxDeltas(); i++) {
            addDelta(deltas, live.get(Math.floorMod(rotationIndex++, live.size())));
        }
    }

    /** Returns the sum of the fingerprints of all records whose state is not gone. */
    long digest() {
        return rows.values().stream()
                .map(MemberRow::member)
                .filter(member -> member.state() != MemberState.GONE)
                .mapToLong(Member::fingerprint)
                .reduce(self.fingerprint(), Long::sum);
    }

    /** Removes hosts that have been gone or suspected for longer than the retention. */
    void removeExpired(long now) {
        long retention = settings.retention().toNanos();
        boolean removed =
                rows.values().removeIf(row -> !row.member().isRunning() && now - row.stateSince() > retention);
        if (removed) {
            revision++;
        }
    }

    private int memberCount() {
        return rows.size() + 1;
    }

    MembershipView buildView(Set<String> listedLeaving) {
        ImmutableMap.Builder<String, MembershipView.Host> hosts = ImmutableMap.builder();
        hosts.put(self.id(), new MembershipView.Host(self, true, selfStateSince));
        rows.forEach(
                (id, row) -> hosts.put(id, new MembershipView.Host(row.member(), row.isReachable(), row.stateSince())));
        return new MembershipView(
                self.id(),
                isReplaced,
                hosts.buildOrThrow(),
                ImmutableMap.copyOf(handovers),
                ImmutableSet.copyOf(listedLeaving));
    }
}
