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
final class FailureDetector {
    /** Inquiries under way at a time; with their checks they take at most half of the calls. */
    private static final int MAX_ACTIVE_PROBES = 4;

    /** Spread of the first inquiry about a host that others suspect, so that not all members ask at once. */
    private static final int FIRST_PROBE_SPREAD_MS = 5_000;

    private final MemberRecords records;
    private final OutstandingCalls calls;
    private final MembershipSettings settings;
    private final Random random;
    private final List<MembershipAction> actions;
    private long lastReachTime;
    private long lastProbeId;

    FailureDetector(
            MemberRecords records,
            OutstandingCalls calls,
            MembershipSettings settings,
            Random random,
            List<MembershipAction> actions,
            long now) {
        this.records = records;
        this.calls = calls;
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        lastReachTime = now;
    }

    /** Notes that a call of this host got through to any machine. */
    void recordReach(long now) {
        lastReachTime = now;
    }

    /** Forgets results that a freeze of this process made meaningless and starts suspicions afresh. */
    void resetAfterPause(long now) {
        for (MemberRow row : records.rows()) {
            row.clearCallResults();
            if (row.member().state() == MemberState.SUSPECT) {
                row.restartStateTimer(now);
                row.delayProbe(now + settings.suspicionTimeout().toNanos());
            }
        }
        records.incrementRevision();
    }

    /** Delays the first inquiry about a host that another member suspects. */
    void delayFirstProbe(MemberRow row, long now) {
        long spreadNanos = random.nextInt(FIRST_PROBE_SPREAD_MS) * 1_000_000L;
        row.delayProbe(now + settings.suspicionTimeout().toNanos() + spreadNanos);
    }

    /**
     * Handles a failed call to a host.
     *
     * @param callTime when the call was made
     */
    void handleFailedCall(MemberRow row, long callTime, long now) {
        if (row.member().isRunning() && row.probe().isEmpty()) {
            startProbe(row, callTime, now);
        }
    }

    /** Starts inquiries about suspected hosts that are due. */
    void startDueProbes(long now) {
        for (MemberRow row : records.rows()) {
            if (row.member().state() == MemberState.SUSPECT && row.isProbeDue(now)) {
                startProbe(row, now, now);
            }
        }
    }

    private void startProbe(MemberRow row, long failedCallTime, long now) {
        long activeProbes = records.rows().stream()
                .filter(other -> other.probe().isPresent())
                .count();
        if (activeProbes >= MAX_ACTIVE_PROBES || calls.isFull()) {
            row.delayProbe(now + settings.exchangePeriod().toNanos());
            return;
        }
        HostProbe probe = new HostProbe(++lastProbeId, now, failedCallTime);
        row.startProbe(probe);
        Member subject = row.member();
        probe.expectVote();
        long directCall =
                calls.add(newCall(OutstandingCalls.Purpose.DIRECT_PROBE, subject, subject.peer(), "", probe, now));
        actions.add(new MembershipAction.SendExchange(
                directCall, subject.peer(), records.buildMessage(Optional.of(row), ImmutableList.of(), false, false)));
        for (Member helper : chooseHelpers(subject)) {
            probe.expectVote();
            long checkCall = calls.add(
                    newCall(OutstandingCalls.Purpose.CHECK_REQUEST, subject, helper.peer(), helper.id(), probe, now));
            actions.add(new MembershipAction.SendCheck(checkCall, helper.peer(), subject));
        }
    }

    private static OutstandingCalls.Call newCall(
            OutstandingCalls.Purpose purpose,
            Member subject,
            String address,
            String helper,
            HostProbe probe,
            long now) {
        return new OutstandingCalls.Call(
                purpose, subject.id(), subject.incarnation(), address, helper, probe.id(), now);
    }

    /** Chooses members to check a host: one of its own domain if possible, then others. */
    private List<Member> chooseHelpers(Member subject) {
        List<Member> sameDomain =
                shuffledCandidates(subject, helper -> helper.domain().equals(subject.domain()));
        List<Member> chosen = new ArrayList<>(sameDomain.subList(0, Math.min(1, sameDomain.size())));
        List<Member> others = shuffledCandidates(subject, helper -> !chosen.contains(helper));
        chosen.addAll(others.subList(0, Math.min(settings.helperCount() - chosen.size(), others.size())));
        return chosen;
    }

    private List<Member> shuffledCandidates(Member subject, Predicate<Member> filter) {
        List<Member> found = new ArrayList<>();
        for (MemberRow row : records.rows()) {
            Member member = row.member();
            boolean canHelp =
                    member.isRunning() && row.isReachable() && row.probe().isEmpty();
            if (canHelp && !member.id().equals(subject.id()) && filter.test(member)) {
                found.add(member);
            }
        }
        Collections.shuffle(found, random);
        return found;
    }

    /**
     * Notes what a member found and judges the host once all have answered.
     *
     * @param probeId number of the inquiry; votes of an earlier one are dropped
     */
    void recordVote(MemberRow row, long probeId, String voter, CheckResult result, long now) {
        row.probe().filter(probe -> probe.id() == probeId).ifPresent(probe -> {
            probe.recordVote(voter, result);
            if (probe.isComplete()) {
                finishProbe(row, probe, now);
            }
        });
    }

    private void finishProbe(MemberRow row, HostProbe probe, long now) {
        boolean answered = probe.wasReached() || row.wasHeardSince(probe.failedCallTime());
        row.endProbe(now
                + row.increaseProbeBackoff(
                        settings.exchangePeriod().toNanos() * 2,
                        settings.maxBackoff().toNanos()));
        if (answered) {
            return;
        }
        // A host that reached nothing meanwhile is cut off itself and knows nothing about others.
        if (lastReachTime - probe.startTime() < 0) {
            return;
        }
        updateState(row, probe, now);
    }

    private void updateState(MemberRow row, HostProbe probe, long now) {
        Member member = row.member();
        boolean refused = probe.refusalCount() >= 2;
        switch (member.state()) {
            case ALIVE -> {
                if (refused) {
                    changeState(row, MemberState.GONE, "refused to two members", now);
                } else {
                    changeState(row, MemberState.SUSPECT, "not reached by any member asked", now);
                    row.endProbe(now + settings.suspicionTimeout().toNanos());
                }
            }
            case LEAVING -> {
                // It said that it stops, so one refusal is enough.
                if (probe.refusalCount() >= 1 || isConfirmed(member, probe)) {
                    changeState(row, MemberState.GONE, "left as announced", now);
                }
            }
            case SUSPECT -> {
                boolean suspicionExpired = probe.startTime() - row.stateSince()
                        >= settings.suspicionTimeout().toNanos();
                if (refused) {
                    changeState(row, MemberState.GONE, "refused to two members", now);
                } else if (suspicionExpired && isConfirmed(member, probe)) {
                    changeState(row, MemberState.GONE, "silent to two members, one of them in its domain", now);
                }
            }
            case GONE -> {}
        }
    }

    /** Returns whether two members found the host silent or refusing, at least one of them in the host's domain. */
    private boolean isConfirmed(Member subject, HostProbe probe) {
        Map<String, CheckResult> votes = probe.votes();
        return votes.size() >= 2
                && votes.keySet().stream().anyMatch(voter -> subject.domain().equals(domainOf(voter)));
    }

    private String domainOf(String host) {
        return host.equals(records.self().id())
                ? records.self().domain()
                : records.row(host).map(row -> row.member().domain()).orElse("");
    }

    private void changeState(MemberRow row, MemberState state, String cause, long now) {
        records.merge(row.member().withState(state), cause, now);
    }
}
