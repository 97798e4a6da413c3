package org.mustardlink.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * The table of entry hosts that one entry host keeps: {@code (table, events, now) -> actions}.
 *
 * <p>Deterministic: it uses no clock, thread or socket, and its only random numbers come from the seed. Not
 * thread-safe. Times are in nanoseconds on any clock that does not go back.
 */
final class MembershipTable {
    /** Addresses without a live member that are tried in a round. */
    private static final int CONTACTS_PER_ROUND = 1;

    /** Addresses that are tried at once by a host that has not joined. */
    private static final int CONTACTS_TO_JOIN = 3;

    /** Every third exchange goes to another domain while both kinds of members exist. */
    private static final int CROSS_EVERY = 3;

    private final MembershipSettings settings;
    private final List<MembershipAction> actions = new ArrayList<>();
    private final Roster roster;
    private final Calls calls;
    private final Suspicion suspicion;
    private final Contacts contacts;
    private final PeerRing near;
    private final PeerRing far;
    private ImmutableSet<String> listedLeaving = ImmutableSet.of();
    private boolean joined;
    private long exchanges;
    private long lastTick;
    private long lastRound;

    private MembershipTable(Member self, MembershipSettings settings, long seed, long now) {
        this.settings = settings;
        Random random = new Random(seed);
        roster = new Roster(self, settings, actions);
        calls = new Calls(settings.maxCalls());
        suspicion = new Suspicion(roster, calls, settings, random, actions, now);
        contacts =
                new Contacts(settings.period().toNanos(), settings.maxBackoff().toNanos());
        near = new PeerRing(random, () -> roster.running(true));
        far = new PeerRing(random, () -> roster.running(false));
        lastTick = now;
        lastRound = now - settings.period().toNanos();
    }

    /**
     * Returns a table that knows only its own host.
     *
     * @param self this host's first record
     * @param settings times and bounds
     * @param seed seed of the choice of peers
     * @param now the time
     */
    static MembershipTable create(Member self, MembershipSettings settings, long seed, long now) {
        return new MembershipTable(self, settings, seed, now);
    }

    /** Handles events in order, then whatever is due, and returns what to do. */
    ImmutableList<MembershipAction> tick(List<MembershipEvent> events, long now) {
        noticeFreeze(now);
        events.forEach(event -> handle(event, now));
        expireCalls(now);
        if (now - nextDue() >= 0) {
            round(now);
        }
        ImmutableList<MembershipAction> result = ImmutableList.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Returns when the next tick is due, at the latest. */
    long nextDue() {
        boolean hurried = joined && roster.hasFreshNews();
        return lastRound + (hurried ? settings.hurriedPeriod() : settings.period()).toNanos();
    }

    /** Returns a number that grows whenever the view changes. */
    long revision() {
        return roster.revision();
    }

    MembershipView view(long now) {
        return roster.view(now, listedLeaving);
    }

    private void noticeFreeze(long now) {
        boolean frozen = now - lastTick > settings.maxGap().toNanos();
        lastTick = now;
        if (!frozen) {
            return;
        }
        actions.add(new MembershipAction.Woke());
        calls.drain().forEach(this::abandon);
        suspicion.wake(now);
    }

    private void abandon(Calls.Call call) {
        if (call.purpose() == Calls.Purpose.HELP) {
            actions.add(new MembershipAction.ReplyCheck(call.token(), CheckResult.UNKNOWN));
        } else if (call.purpose() == Calls.Purpose.ANNOUNCE) {
            announced(call.token());
        }
    }

    private void handle(MembershipEvent event, long now) {
        if (event instanceof MembershipEvent.Seeded seeded) {
            contacts.seed(seeded.addresses());
        } else if (event instanceof MembershipEvent.Listed listed) {
            contacts.list(listed.addresses());
            listedLeaving = listed.leaving();
            roster.touch();
        } else if (event instanceof MembershipEvent.Asked asked) {
            asked(asked.token(), asked.message(), now);
        } else if (event instanceof MembershipEvent.Answered answered) {
            answered(answered.call(), answered.message(), now);
        } else if (event instanceof MembershipEvent.CallFailed failed) {
            calls.end(failed.call()).ifPresent(call -> failed(call, failed.result(), now));
        } else if (event instanceof MembershipEvent.CheckAsked check) {
            checkAsked(check, now);
        } else if (event instanceof MembershipEvent.CheckAnswered check) {
            calls.end(check.call()).ifPresent(call -> checkAnswered(call, check.result(), now));
        } else if (event instanceof MembershipEvent.Reported reported) {
            roster.row(reported.host(), reported.incarnation())
                    .ifPresent(row -> settle(row, reported.result(), now, now));
        } else if (event instanceof MembershipEvent.LeaveRequested leave) {
            leave(leave, now);
        }
    }

    private void asked(long token, ExchangeMessage message, long now) {
        ImmutableList<Member> corrections = mergeAll(message, now);
        ExchangeMessage answer = message.join()
                ? roster.everything()
                : roster.message(
                        roster.row(message.sender().id()), corrections, message.digest() != roster.digest(), false);
        actions.add(new MembershipAction.Reply(token, answer));
    }

    private ImmutableList<Member> mergeAll(ExchangeMessage message, long now) {
        Member sender = message.sender();
        ImmutableList.Builder<Member> corrections = ImmutableList.builder();
        merge(sender, "told by itself", now).ifPresent(corrections::add);
        String cause = "told by " + sender.id();
        message.deltas().forEach(member -> merge(member, cause, now).ifPresent(corrections::add));
        roster.row(sender.id(), sender.incarnation()).ifPresent(row -> row.hear(now, message.digest()));
        return corrections.build();
    }

    private Optional<Member> merge(Member told, String cause, long now) {
        boolean known =
                roster.row(told.id()).filter(row -> row.member().equals(told)).isPresent();
        Optional<Member> correction = roster.merge(told, cause, now);
        if (!known && correction.isEmpty() && told.state() == MemberState.SUSPECT) {
            roster.row(told.id()).ifPresent(row -> suspicion.learned(row, now));
        }
        return correction;
    }

    private void answered(long id, ExchangeMessage message, long now) {
        joined = true;
        suspicion.reachedAnything(now);
        mergeAll(message, now).forEach(roster::remind);
        calls.end(id).ifPresent(call -> {
            Member sender = message.sender();
            boolean meant = call.host().isEmpty()
                    || (call.host().equals(sender.id()) && call.incarnation() == sender.incarnation());
            if (!meant && !call.host().equals(sender.id())) {
                replacedAt(call, sender, now);
            }
            settle(call, meant ? CheckResult.REACHED : CheckResult.REFUSED, now);
        });
    }

    /** Another host answers at a member's address, so the member's process is no longer there. */
    private void replacedAt(Calls.Call call, Member sender, long now) {
        roster.row(call.host(), call.incarnation())
                .filter(row -> row.member().peer().equals(call.address()))
                .ifPresent(row -> roster.merge(
                        row.member().judged(MemberState.GONE), "its address answers as " + sender.id(), now));
    }

    private void failed(Calls.Call call, CheckResult result, long now) {
        if (result == CheckResult.REFUSED) {
            suspicion.reachedAnything(now);
        }
        if (call.purpose() == Calls.Purpose.CHECK) {
            roster.row(call.helper()).ifPresent(helper -> settle(helper, result, call.started(), now));
            vote(call, call.helper(), CheckResult.UNKNOWN, now);
        } else {
            settle(call, result, now);
        }
    }

    private void checkAnswered(Calls.Call call, CheckResult result, long now) {
        suspicion.reachedAnything(now);
        vote(call, call.helper(), result, now);
    }

    private void vote(Calls.Call call, String voter, CheckResult result, long now) {
        roster.row(call.host(), call.incarnation())
                .ifPresent(row -> suspicion.vote(row, call.token(), voter, result, now));
    }

    /** Ends an exchange that this host started. */
    private void settle(Calls.Call call, CheckResult result, long now) {
        Optional<Row> row = roster.row(call.host(), call.incarnation());
        switch (call.purpose()) {
            case INQUIRY -> {
                row.ifPresent(subject -> called(subject, result, now));
                vote(call, roster.self().id(), result, now);
            }
            case HELP -> {
                row.ifPresent(subject -> called(subject, result, now));
                actions.add(new MembershipAction.ReplyCheck(call.token(), result));
            }
            case ANNOUNCE -> {
                row.ifPresent(subject -> settle(subject, result, call.started(), now));
                announced(call.token());
            }
            case ROUND -> row.ifPresent(subject -> settle(subject, result, call.started(), now));
            case CONTACT, CHECK -> {}
        }
    }

    private void settle(Row row, CheckResult result, long called, long now) {
        called(row, result, now);
        if (result == CheckResult.REFUSED || result == CheckResult.SILENT) {
            suspicion.missed(row, called, now);
        }
    }

    private void called(Row row, CheckResult result, long now) {
        boolean reachable = row.reachable();
        row.called(result, now);
        if (reachable != row.reachable()) {
            roster.touch();
        }
    }

    private void checkAsked(MembershipEvent.CheckAsked check, long now) {
        if (check.host().equals(roster.self().id())) {
            boolean self = check.incarnation() == roster.self().incarnation();
            reply(check.token(), self ? CheckResult.REACHED : CheckResult.REFUSED);
            return;
        }
        Optional<CheckResult> recent = roster.row(check.host(), check.incarnation())
                .flatMap(row -> row.recentOutcome(now, settings.period().toNanos() / 2));
        if (recent.isPresent()) {
            reply(check.token(), recent.get());
        } else if (calls.full()) {
            reply(check.token(), CheckResult.UNKNOWN);
        } else {
            Calls.Call call = new Calls.Call(
                    Calls.Purpose.HELP, check.host(), check.incarnation(), check.peer(), "", check.token(), now);
            send(call, message(roster.row(check.host())));
        }
    }

    private void reply(long token, CheckResult result) {
        actions.add(new MembershipAction.ReplyCheck(token, result));
    }

    private void leave(MembershipEvent.LeaveRequested leave, long now) {
        Member self = roster.self();
        roster.raiseSelf(self.version(), MemberState.LEAVING, leave.successor(), "leaving as planned");
        List<String> receivers = new ArrayList<>(roster.running(true));
        receivers.addAll(roster.running(false));
        receivers.stream()
                .filter(host -> roster.row(host).filter(Row::reachable).isPresent())
                .limit(settings.announceFanOut())
                .forEach(host -> exchange(Calls.Purpose.ANNOUNCE, host, leave.token(), now));
        announced(leave.token());
    }

    private void announced(long token) {
        if (!calls.pendingFor(token, Calls.Purpose.ANNOUNCE)) {
            actions.add(new MembershipAction.LeaveAnnounced(token));
        }
    }

    private void expireCalls(long now) {
        // The I/O layer reports every call within its timeout; this bounds what a lost report can hold.
        long overdue = now - 3 * settings.callTimeout().toNanos();
        calls.startedBefore(overdue)
                .forEach(id -> calls.end(id).ifPresent(call -> failed(call, CheckResult.SILENT, now)));
    }

    private void round(long now) {
        lastRound = now;
        contact(now);
        for (int i = 0; i < settings.fanOut() && !calls.full(); i++) {
            nextPeer().ifPresent(host -> exchange(Calls.Purpose.ROUND, host, 0, now));
        }
        suspicion.recheck(now);
        roster.forget(now);
    }

    private Optional<String> nextPeer() {
        boolean cross = ++exchanges % CROSS_EVERY == 0;
        Optional<String> first = (cross ? far : near).next(this::callable);
        return first.isPresent() ? first : (cross ? near : far).next(this::callable);
    }

    private boolean callable(String host) {
        return roster.row(host)
                .filter(row -> row.member().isRunning() && row.inquiry().isEmpty())
                .filter(row -> !calls.pendingTo(row.member().peer()))
                .isPresent();
    }

    private void exchange(Calls.Purpose purpose, String host, long token, long now) {
        roster.row(host).map(Row::member).ifPresent(peer -> {
            Calls.Call call = new Calls.Call(purpose, host, peer.incarnation(), peer.peer(), "", token, now);
            send(call, message(roster.row(host)));
        });
    }

    private ExchangeMessage message(Optional<Row> receiver) {
        boolean differs = receiver.filter(row -> row.peerDigest() != 0 && row.peerDigest() != roster.digest())
                .isPresent();
        return roster.message(receiver, ImmutableList.of(), differs, !joined);
    }

    private void contact(long now) {
        Set<String> gone = new HashSet<>();
        Set<String> known = new HashSet<>();
        known.add(roster.self().peer());
        for (Row row : roster.rows()) {
            Member member = row.member();
            if (member.state() != MemberState.GONE) {
                known.add(member.peer());
            } else if (member.successor().isEmpty()) {
                gone.add(member.peer());
            }
        }
        int max = joined ? CONTACTS_PER_ROUND : CONTACTS_TO_JOIN;
        for (String address : contacts.due(gone, known, max, now)) {
            if (!calls.full() && !calls.pendingTo(address)) {
                Calls.Call call = new Calls.Call(Calls.Purpose.CONTACT, "", 0, address, "", 0, now);
                send(call, message(goneAt(address)));
            }
        }
    }

    private Optional<Row> goneAt(String address) {
        return roster.rows().stream()
                .filter(row -> row.member().peer().equals(address))
                .findFirst();
    }

    private void send(Calls.Call call, ExchangeMessage message) {
        actions.add(new MembershipAction.SendExchange(calls.add(call), call.address(), message));
    }
}
