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
 * Decides when a host that does not answer becomes suspected or gone.
 *
 * <p>A failed call starts a probe of the host: a second call by this host, and checks by other members. A host that
 * no member reaches becomes suspected. A suspected host becomes gone only if two members, one of them in the domain of
 * the host, agree that it does not answer, and only after the host had time to retract the suspicion. Two refused
 * connections make a host gone at once: they show that its machine is up and its process does not listen.
 */
final class FailureDetector {
    /** Maximum number of probes at a time. Their calls and checks use at most half of the outstanding calls. */
    private static final int MAX_ACTIVE_PROBES = 4;

    /**
     * Random spread of the first probe of a host that other members suspect, so that not all members probe it at once.
     */
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

    /** Records that a call of this host reached any machine. */
    void recordReach(long now) {
        lastReachTime = now;
    }

    /**
     * Clears call results that a pause of this process made meaningless, and restarts the timeout of each suspicion.
     */
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

    /** Delays the first probe of a host that another member suspects. */
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

    /** Starts the due probes of suspected hosts. */
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

    /** Chooses members to check a host: one in the domain of the host if possible, then any others. */
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
     * Records the result of a member, and updates the state of the host once all members have answered.
     *
     * @param probeId id of the probe; votes for an earlier probe are dropped
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
        // If this host reached no machine since the probe began, it may itself be cut off and must not suspect others.
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
                    changeState(row, MemberState.GONE, "refused the connections of two members", now);
                } else {
                    changeState(row, MemberState.SUSPECT, "not reached by any member that probed it", now);
                    row.endProbe(now + settings.suspicionTimeout().toNanos());
                }
            }
            case LEAVING -> {
                // The host announced that it stops, so one refused connection is enough.
                if (probe.refusalCount() >= 1 || isConfirmed(member, probe)) {
                    changeState(row, MemberState.GONE, "no longer answers after its announced leave", now);
                }
            }
            case SUSPECT -> {
                boolean suspicionExpired = probe.startTime() - row.stateSince()
                        >= settings.suspicionTimeout().toNanos();
                if (refused) {
                    changeState(row, MemberState.GONE, "refused the connections of two members", now);
                } else if (suspicionExpired && isConfirmed(member, probe)) {
                    changeState(
                            row, MemberState.GONE, "no answer to two members, at least one of them in its domain", now);
                }
            }
            case GONE -> {}
        }
    }

    /**
     * Returns whether two members found the host silent or refusing, at least one of them in the domain of the host.
     */
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
