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

/** The records of all hosts, merged by precedence, and what of them still has to be told. */
final class Roster {
    /** Records in the answer to a join; the frame stays below 100 KB. */
    private static final int MAX_JOIN_RECORDS = 512;

    /** Finished hand-overs remembered for sessions of incarnations that were replaced since. */
    private static final int MAX_HANDOVERS = 256;

    private final MembershipSettings settings;
    private final List<MembershipAction> actions;
    private final Map<String, Row> rows = new TreeMap<>();
    private final News news = new News();
    private final Map<MembershipView.HostProcess, MembershipView.HostProcess> handovers = new LinkedHashMap<>();
    private Member self;
    private boolean replaced;
    private int cursor;
    private long revision;

    Roster(Member self, MembershipSettings settings, List<MembershipAction> actions) {
        this.self = self;
        this.settings = settings;
        this.actions = actions;
    }

    Member self() {
        return self;
    }

    boolean replaced() {
        return replaced;
    }

    Collection<Row> rows() {
        return rows.values();
    }

    Optional<Row> row(String id) {
        return Optional.ofNullable(rows.get(id));
    }

    /** Returns the row if it still holds this incarnation. */
    Optional<Row> row(String id, long incarnation) {
        return row(id).filter(row -> row.member().incarnation() == incarnation);
    }

    /** Returns the ids of the members that are not doubted, within or outside this host's domain, in a stable order. */
    List<String> running(boolean ownDomain) {
        return rows.values().stream()
                .map(Row::member)
                .filter(member -> member.isRunning() && member.domain().equals(self.domain()) == ownDomain)
                .map(Member::id)
                .toList();
    }

    boolean hasFreshNews() {
        return news.isFresh(size());
    }

    long revision() {
        return revision;
    }

    void touch() {
        revision++;
    }

    /** Raises this host's own version with a new state. */
    void raiseSelf(long above, MemberState state, Optional<String> successor, String cause) {
        self = self.raised(above, state, successor);
        changed(self, cause);
    }

    /** Takes a record and returns what this host holds instead if the record is out of date. */
    Optional<Member> merge(Member told, String cause, long now) {
        if (told.id().equals(self.id())) {
            return mergeSelf(told);
        }
        Row row = rows.get(told.id());
        if (row == null) {
            rows.put(told.id(), new Row(told, now));
            accepted(told, cause);
            return Optional.empty();
        }
        if (told.supersedes(row.member())) {
            row.replace(told, now);
            accepted(told, cause);
            return Optional.empty();
        }
        return row.member().supersedes(told) ? Optional.of(row.member()) : Optional.empty();
    }

    private void accepted(Member member, String cause) {
        member.successor().ifPresent(successor -> rememberHandover(member, successor));
        changed(member, cause);
    }

    private void changed(Member member, String cause) {
        news.add(member.id());
        revision++;
        actions.add(new MembershipAction.Changed(member, cause));
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

    private Optional<Member> mergeSelf(Member told) {
        if (told.incarnation() > self.incarnation()) {
            if (!replaced) {
                replaced = true;
                revision++;
                actions.add(new MembershipAction.SelfReplaced(told));
            }
            return Optional.empty();
        }
        if (told.supersedes(self)) {
            raiseSelf(told.version(), self.state(), self.successor(), "retracted by the host itself");
        }
        return self.supersedes(told) ? Optional.of(self) : Optional.empty();
    }

    /** Tells a peer's outdated record again in the next messages. */
    void remind(Member current) {
        news.remind(current.id(), size());
    }

    /**
     * Builds a message.
     *
     * @param receiver the host that it is for, if known
     * @param corrections newer records than the receiver holds
     * @param differs whether the receiver's digest is known to differ
     */
    ExchangeMessage message(Optional<Row> receiver, List<Member> corrections, boolean differs, boolean join) {
        Map<String, Member> deltas = new LinkedHashMap<>();
        receiver.map(Row::member)
                .filter(member -> !member.isRunning())
                .ifPresent(member -> deltas.put(member.id(), member));
        corrections.forEach(member -> put(deltas, member));
        news.take(Math.max(0, settings.maxDeltas() - deltas.size()), size())
                .forEach(host -> row(host).ifPresent(row -> put(deltas, row.member())));
        if (differs) {
            rotate(deltas);
        }
        return new ExchangeMessage(self, ImmutableList.copyOf(deltas.values()), digest(), join);
    }

    /** Builds the answer to a join, with every record. */
    ExchangeMessage everything() {
        ImmutableList<Member> all = rows.values().stream()
                .map(Row::member)
                .limit(MAX_JOIN_RECORDS)
                .collect(ImmutableList.toImmutableList());
        return new ExchangeMessage(self, all, digest(), false);
    }

    private void put(Map<String, Member> deltas, Member member) {
        if (deltas.size() < settings.maxDeltas() && !member.id().equals(self.id())) {
            deltas.put(member.id(), member);
        }
    }

    /** Fills a message with further records in turn, so that tables that differ agree after a few messages. */
    private void rotate(Map<String, Member> deltas) {
        List<Member> live = new ArrayList<>();
        rows.values().stream()
                .map(Row::member)
                .filter(member -> member.state() != MemberState.GONE)
                .forEach(live::add);
        for (int i = 0; i < live.size() && deltas.size() < settings.maxDeltas(); i++) {
            put(deltas, live.get(Math.floorMod(cursor++, live.size())));
        }
    }

    /** Returns the sum of the fingerprints of all hosts that are not gone. */
    long digest() {
        return rows.values().stream()
                .map(Row::member)
                .filter(member -> member.state() != MemberState.GONE)
                .mapToLong(Member::fingerprint)
                .reduce(self.fingerprint(), Long::sum);
    }

    /** Forgets hosts that have been gone or suspected for longer than the retention. */
    void forget(long now) {
        long retention = settings.retention().toNanos();
        boolean removed = rows.values().removeIf(row -> !row.member().isRunning() && now - row.since() > retention);
        if (removed) {
            revision++;
        }
    }

    private int size() {
        return rows.size() + 1;
    }

    MembershipView view(long now, Set<String> listedLeaving) {
        ImmutableMap.Builder<String, MembershipView.Host> hosts = ImmutableMap.builder();
        hosts.put(self.id(), new MembershipView.Host(self, true, now));
        rows.forEach((id, row) -> hosts.put(id, new MembershipView.Host(row.member(), row.reachable(), row.since())));
        return new MembershipView(
                self.id(),
                replaced,
                hosts.buildOrThrow(),
                ImmutableMap.copyOf(handovers),
                ImmutableSet.copyOf(listedLeaving));
    }
}
