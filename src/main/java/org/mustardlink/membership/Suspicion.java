package org.mustardlink.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Decides when a host that does not answer is suspected or gone.
 *
 * <p>A missed call starts an inquiry: a second own call, and checks by other members. Silence suspects; only the
 * agreement of two members, one of them in the host's own domain, makes a silent host gone, and only after it had time
 * to retract. Two refused connections make it gone at once: its machine answers, its process does not listen.
 */
final class Suspicion {
    /** Inquiries under way at a time; with their checks they take at most half of the calls. */
    private static final int MAX_INQUIRIES = 4;

    /** Spread of the first inquiry about a host that others suspect, so that not all members ask at once. */
    private static final int SPREAD_MS = 5_000;

    private final Roster roster;
    private final Calls calls;
    private final MembershipSettings settings;
    private final Random random;
    private final List<MembershipAction> actions;
    private long lastReach;
    private long inquiries;

    Suspicion(
            Roster roster,
            Calls calls,
            MembershipSettings settings,
            Random random,
            List<MembershipAction> actions,
            long now) {
        this.roster = roster;
        this.calls = calls;
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        lastReach = now;
    }

    /** Notes that a call of this host got through to any machine. */
    void reachedAnything(long now) {
        lastReach = now;
    }

    /** Forgets results that a freeze of this process made meaningless and starts suspicions afresh. */
    void wake(long now) {
        for (Row row : roster.rows()) {
            row.forgetCalls();
            if (row.member().state() == MemberState.SUSPECT) {
                row.restartSince(now);
                row.delayInquiry(now + settings.suspicion().toNanos());
            }
        }
        roster.touch();
    }

    /** Delays the first inquiry about a host that another member suspects. */
    void learned(Row row, long now) {
        long spread = random.nextInt(SPREAD_MS) * 1_000_000L;
        row.delayInquiry(now + settings.suspicion().toNanos() + spread);
    }

    /**
     * Handles a failed call to a host.
     *
     * @param called when the call was made
     */
    void missed(Row row, long called, long now) {
        if (row.member().isRunning() && row.inquiry().isEmpty()) {
            start(row, called, now);
        }
    }

    /** Starts inquiries about suspected hosts that are due. */
    void recheck(long now) {
        for (Row row : roster.rows()) {
            if (row.member().state() == MemberState.SUSPECT && row.inquiryDue(now)) {
                start(row, now, now);
            }
        }
    }

    private void start(Row row, long missed, long now) {
        long active = roster.rows().stream()
                .filter(other -> other.inquiry().isPresent())
                .count();
        if (active >= MAX_INQUIRIES || calls.full()) {
            row.delayInquiry(now + settings.period().toNanos());
            return;
        }
        Inquiry inquiry = new Inquiry(++inquiries, now, missed);
        row.startInquiry(inquiry);
        Member subject = row.member();
        inquiry.expect();
        long direct = calls.add(call(Calls.Purpose.INQUIRY, subject, subject.peer(), "", inquiry, now));
        actions.add(new MembershipAction.SendExchange(
                direct, subject.peer(), roster.message(Optional.of(row), ImmutableList.of(), false, false)));
        for (Member helper : helpers(subject)) {
            inquiry.expect();
            long check = calls.add(call(Calls.Purpose.CHECK, subject, helper.peer(), helper.id(), inquiry, now));
            actions.add(new MembershipAction.SendCheck(check, helper.peer(), subject));
        }
    }

    private static Calls.Call call(
            Calls.Purpose purpose, Member subject, String address, String helper, Inquiry inquiry, long now) {
        return new Calls.Call(purpose, subject.id(), subject.incarnation(), address, helper, inquiry.id(), now);
    }

    /** Chooses members to check a host: one of its own domain if possible, then others. */
    private List<Member> helpers(Member subject) {
        List<Member> near = candidates(subject, helper -> helper.domain().equals(subject.domain()));
        List<Member> chosen = new ArrayList<>(near.subList(0, Math.min(1, near.size())));
        List<Member> rest = candidates(subject, helper -> !chosen.contains(helper));
        chosen.addAll(rest.subList(0, Math.min(settings.helpers() - chosen.size(), rest.size())));
        return chosen;
    }

    private List<Member> candidates(Member subject, Predicate<Member> fits) {
        List<Member> found = new ArrayList<>();
        for (Row row : roster.rows()) {
            Member member = row.member();
            boolean able =
                    member.isRunning() && row.reachable() && row.inquiry().isEmpty();
            if (able && !member.id().equals(subject.id()) && fits.test(member)) {
                found.add(member);
            }
        }
        Collections.shuffle(found, random);
        return found;
    }

    /**
     * Notes what a member found and judges the host once all have answered.
     *
     * @param id number of the inquiry; votes of an earlier one are dropped
     */
    void vote(Row row, long id, String voter, CheckResult result, long now) {
        row.inquiry().filter(inquiry -> inquiry.id() == id).ifPresent(inquiry -> {
            inquiry.vote(voter, result);
            if (inquiry.complete()) {
                conclude(row, inquiry, now);
            }
        });
    }

    private void conclude(Row row, Inquiry inquiry, long now) {
        boolean answers = inquiry.reached() || row.heardSince(inquiry.missed());
        row.endInquiry(now
                + row.backOff(
                        settings.period().toNanos() * 2, settings.maxBackoff().toNanos()));
        if (answers) {
            return;
        }
        // A host that reached nothing meanwhile is cut off itself and knows nothing about others.
        if (lastReach - inquiry.started() < 0) {
            return;
        }
        judge(row, inquiry, now);
    }

    private void judge(Row row, Inquiry inquiry, long now) {
        Member member = row.member();
        boolean refused = inquiry.refusals() >= 2;
        switch (member.state()) {
            case ALIVE -> {
                if (refused) {
                    become(row, MemberState.GONE, "refused to two members", now);
                } else {
                    become(row, MemberState.SUSPECT, "not reached by any member asked", now);
                    row.endInquiry(now + settings.suspicion().toNanos());
                }
            }
            case LEAVING -> {
                // It said that it stops, so one refusal is enough.
                if (inquiry.refusals() >= 1 || confirmed(member, inquiry)) {
                    become(row, MemberState.GONE, "left as announced", now);
                }
            }
            case SUSPECT -> {
                boolean hadTime =
                        inquiry.started() - row.since() >= settings.suspicion().toNanos();
                if (refused) {
                    become(row, MemberState.GONE, "refused to two members", now);
                } else if (hadTime && confirmed(member, inquiry)) {
                    become(row, MemberState.GONE, "silent to two members, one of them in its domain", now);
                }
            }
            case GONE -> {}
        }
    }

    /** Returns whether two members found the host silent or refusing, at least one of them in the host's domain. */
    private boolean confirmed(Member subject, Inquiry inquiry) {
        Map<String, CheckResult> votes = inquiry.votes();
        return votes.size() >= 2
                && votes.keySet().stream().anyMatch(voter -> subject.domain().equals(domain(voter)));
    }

    private String domain(String host) {
        return host.equals(roster.self().id())
                ? roster.self().domain()
                : roster.row(host).map(row -> row.member().domain()).orElse("");
    }

    private void become(Row row, MemberState state, String cause, long now) {
        roster.merge(row.member().judged(state), cause, now);
    }
}
