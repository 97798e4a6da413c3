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
 * One entry host's table of all entry hosts: a state machine {@code (table, events, now) -> actions}.
 *
 * <p>The table is deterministic: it uses no clock, thread or socket, and takes all random numbers from a generator with
 * a given seed. Not thread-safe. Times are in nanoseconds on any monotonic clock.
 */
final class MembershipTable {
    /** Maximum number of addresses without a known live member that are called in a round. */
    private static final int DISCOVERY_CALLS_PER_ROUND = 1;

    /** Maximum number of such addresses that are called in a round by a host that has not joined. */
    private static final int DISCOVERY_CALLS_TO_JOIN = 3;

    /** Every third exchange goes to another domain, as long as there are members inside and outside the own domain. */
    private static final int CROSS_DOMAIN_INTERVAL = 3;

    private final MembershipSettings settings;
    private final List<MembershipAction> actions = new ArrayList<>();
    private final MemberRecords records;
    private final OutstandingCalls calls;
    private final FailureDetector failureDetector;
    private final DiscoveryAddresses discoveryAddresses;
    private final PeerSelector localPeers;
    private final PeerSelector remotePeers;
    private ImmutableSet<String> listedLeaving = ImmutableSet.of();
    private boolean hasJoined;
    private long exchangeCount;
    private long lastTickTime;
    private long lastRoundTime;

    private MembershipTable(Member self, MembershipSettings settings, long seed, long now) {
        this.settings = settings;
        Random random = new Random(seed);
        records = new MemberRecords(self, settings, actions, now);
        calls = new OutstandingCalls(settings.maxOutstandingCalls());
        failureDetector = new FailureDetector(records, calls, settings, random, actions, now);
        discoveryAddresses = new DiscoveryAddresses(
                settings.exchangePeriod().toNanos(), settings.maxBackoff().toNanos());
        localPeers = new PeerSelector(random, () -> records.runningMembers(true));
        remotePeers = new PeerSelector(random, () -> records.runningMembers(false));
        lastTickTime = now;
        lastRoundTime = now - settings.exchangePeriod().toNanos();
    }

    /**
     * Returns a table that knows only its own host.
     *
     * @param self the first record of this host
     * @param settings durations and limits
     * @param seed seed of all random choices
     * @param now current time
     */
    static MembershipTable create(Member self, MembershipSettings settings, long seed, long now) {
        return new MembershipTable(self, settings, seed, now);
    }

    /** Handles the events in order, then the overdue calls and the due round, and returns the actions to execute. */
    ImmutableList<MembershipAction> tick(List<MembershipEvent> events, long now) {
        detectPause(now);
        events.forEach(event -> handleEvent(event, now));
        expireCalls(now);
        if (now - nextTickTime() >= 0) {
            runRound(now);
        }
        ImmutableList<MembershipAction> result = ImmutableList.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Returns the latest time at which the next tick is due. */
    long nextTickTime() {
        boolean isFast = hasJoined ? records.hasFreshUpdates() : !discoveryAddresses.isEmpty();
        return lastRoundTime + (isFast ? settings.fastExchangePeriod() : settings.exchangePeriod()).toNanos();
    }

    /** Returns a number that increases whenever the view changes. */
    long revision() {
        return records.revision();
    }

    MembershipView view() {
        return records.buildView(listedLeaving);
    }

    private void detectPause(long now) {
        boolean wasPaused = now - lastTickTime > settings.pauseThreshold().toNanos();
        lastTickTime = now;
        if (!wasPaused) {
            return;
        }
        actions.add(new MembershipAction.ProcessPauseDetected());
        calls.removeAll().forEach(this::abandonCall);
        failureDetector.resetAfterPause(now);
    }

    private void abandonCall(OutstandingCalls.Call call) {
        if (call.purpose() == OutstandingCalls.Purpose.CHECK_FOR_PEER) {
            actions.add(new MembershipAction.ReplyToCheck(call.token(), CheckResult.UNKNOWN));
        } else if (call.purpose() == OutstandingCalls.Purpose.LEAVE_ANNOUNCEMENT) {
            completeLeaveIfAnnounced(call.token());
        }
    }

    private void handleEvent(MembershipEvent event, long now) {
        if (event instanceof MembershipEvent.SeedsConfigured seeds) {
            discoveryAddresses.setSeeds(seeds.addresses());
        } else if (event instanceof MembershipEvent.HostListRead hostList) {
            discoveryAddresses.setListed(hostList.addresses());
            listedLeaving = hostList.leavingHosts();
            records.incrementRevision();
        } else if (event instanceof MembershipEvent.ExchangeReceived exchange) {
            handleExchange(exchange.token(), exchange.message(), now);
        } else if (event instanceof MembershipEvent.ExchangeAnswered answered) {
            handleAnswer(answered.call(), answered.message(), now);
        } else if (event instanceof MembershipEvent.CallFailed failed) {
            calls.remove(failed.call()).ifPresent(call -> handleFailedCall(call, failed.result(), now));
        } else if (event instanceof MembershipEvent.CheckRequested check) {
            handleCheckRequest(check, now);
        } else if (event instanceof MembershipEvent.CheckAnswered check) {
            calls.remove(check.call()).ifPresent(call -> handleCheckAnswer(call, check.result(), now));
        } else if (event instanceof MembershipEvent.CallReported reported) {
            records.row(reported.host(), reported.incarnation())
                    .ifPresent(row -> handleCallResult(row, reported.result(), now, now));
        } else if (event instanceof MembershipEvent.LeaveRequested leave) {
            startLeave(leave, now);
        }
    }

    private void handleExchange(long token, ExchangeMessage message, long now) {
        ImmutableList<Member> corrections = mergeMessage(message, now);
        ExchangeMessage answer = message.join()
                ? records.buildJoinAnswer()
                : records.buildMessage(
                        records.row(message.sender().id()), corrections, message.digest() != records.digest(), false);
        actions.add(new MembershipAction.ReplyToExchange(token, answer));
    }

    private ImmutableList<Member> mergeMessage(ExchangeMessage message, long now) {
        Member sender = message.sender();
        ImmutableList.Builder<Member> corrections = ImmutableList.builder();
        mergeRecord(sender, "reported by the host itself", now).ifPresent(corrections::add);
        String cause = "reported by " + sender.id();
        message.deltas().forEach(member -> mergeRecord(member, cause, now).ifPresent(corrections::add));
        records.row(sender.id(), sender.incarnation()).ifPresent(row -> row.recordMessage(now, message.digest()));
        return corrections.build();
    }

    private Optional<Member> mergeRecord(Member received, String cause, long now) {
        boolean alreadyKnown = records.row(received.id())
                .filter(row -> row.member().equals(received))
                .isPresent();
        Optional<Member> correction = records.merge(received, cause, now);
        if (!alreadyKnown && correction.isEmpty() && received.state() == MemberState.SUSPECT) {
            records.row(received.id()).ifPresent(row -> failureDetector.delayFirstProbe(row, now));
        }
        return correction;
    }

    private void handleAnswer(long callId, ExchangeMessage message, long now) {
        hasJoined = true;
        failureDetector.recordReach(now);
        mergeMessage(message, now).forEach(records::resend);
        calls.remove(callId).ifPresent(call -> {
            Member sender = message.sender();
            boolean isExpectedHost = call.host().isEmpty()
                    || (call.host().equals(sender.id()) && call.incarnation() == sender.incarnation());
            if (!isExpectedHost && !call.host().equals(sender.id())) {
                handleAddressTakenOver(call, sender, now);
            }
            finishExchange(call, isExpectedHost ? CheckResult.REACHED : CheckResult.REFUSED, now);
        });
    }

    /** Marks a member as gone because another host answers at its address, so its process no longer runs there. */
    private void handleAddressTakenOver(OutstandingCalls.Call call, Member sender, long now) {
        records.row(call.host(), call.incarnation())
                .filter(row -> row.member().peer().equals(call.address()))
                .ifPresent(row -> records.merge(
                        row.member().withState(MemberState.GONE), "its address now belongs to " + sender.id(), now));
    }

    private void handleFailedCall(OutstandingCalls.Call call, CheckResult result, long now) {
        if (result == CheckResult.REFUSED) {
            failureDetector.recordReach(now);
        }
        if (call.purpose() == OutstandingCalls.Purpose.CHECK_REQUEST) {
            records.row(call.helper()).ifPresent(helper -> handleCallResult(helper, result, call.startTime(), now));
            recordVote(call, call.helper(), CheckResult.UNKNOWN, now);
        } else {
            finishExchange(call, result, now);
        }
    }

    private void handleCheckAnswer(OutstandingCalls.Call call, CheckResult result, long now) {
        failureDetector.recordReach(now);
        recordVote(call, call.helper(), result, now);
    }

    private void recordVote(OutstandingCalls.Call call, String voter, CheckResult result, long now) {
        records.row(call.host(), call.incarnation())
                .ifPresent(row -> failureDetector.recordVote(row, call.token(), voter, result, now));
    }

    /** Handles the result of an exchange that this host started. */
    private void finishExchange(OutstandingCalls.Call call, CheckResult result, long now) {
        Optional<MemberRow> row = records.row(call.host(), call.incarnation());
        switch (call.purpose()) {
            case DIRECT_PROBE -> {
                row.ifPresent(subject -> recordCallResult(subject, result, now));
                recordVote(call, records.self().id(), result, now);
            }
            case CHECK_FOR_PEER -> {
                row.ifPresent(subject -> recordCallResult(subject, result, now));
                actions.add(new MembershipAction.ReplyToCheck(call.token(), result));
            }
            case LEAVE_ANNOUNCEMENT -> {
                row.ifPresent(subject -> handleCallResult(subject, result, call.startTime(), now));
                completeLeaveIfAnnounced(call.token());
            }
            case PERIODIC_EXCHANGE ->
                row.ifPresent(subject -> handleCallResult(subject, result, call.startTime(), now));
            case DISCOVERY, CHECK_REQUEST -> {}
        }
    }

    private void handleCallResult(MemberRow row, CheckResult result, long callTime, long now) {
        recordCallResult(row, result, now);
        if (result == CheckResult.REFUSED || result == CheckResult.SILENT) {
            failureDetector.handleFailedCall(row, callTime, now);
        }
    }

    private void recordCallResult(MemberRow row, CheckResult result, long now) {
        boolean wasReachable = row.isReachable();
        row.recordCallResult(result, now);
        if (wasReachable != row.isReachable()) {
            records.incrementRevision();
        }
    }

    private void handleCheckRequest(MembershipEvent.CheckRequested check, long now) {
        if (check.host().equals(records.self().id())) {
            boolean isSameIncarnation = check.incarnation() == records.self().incarnation();
            replyToCheck(check.token(), isSameIncarnation ? CheckResult.REACHED : CheckResult.REFUSED);
            return;
        }
        Optional<CheckResult> recentOutcome = records.row(check.host(), check.incarnation())
                .flatMap(row -> row.recentOutcome(now, settings.exchangePeriod().toNanos() / 2));
        if (recentOutcome.isPresent()) {
            replyToCheck(check.token(), recentOutcome.get());
        } else if (calls.isFull()) {
            replyToCheck(check.token(), CheckResult.UNKNOWN);
        } else {
            OutstandingCalls.Call call = new OutstandingCalls.Call(
                    OutstandingCalls.Purpose.CHECK_FOR_PEER,
                    check.host(),
                    check.incarnation(),
                    check.peer(),
                    "",
                    check.token(),
                    now);
            sendExchange(call, buildMessage(records.row(check.host())));
        }
    }

    private void replyToCheck(long token, CheckResult result) {
        actions.add(new MembershipAction.ReplyToCheck(token, result));
    }

    private void startLeave(MembershipEvent.LeaveRequested leave, long now) {
        Member self = records.self();
        records.updateSelf(self.version(), MemberState.LEAVING, leave.successor(), "leaving as planned", now);
        List<String> receivers = new ArrayList<>(records.runningMembers(true));
        receivers.addAll(records.runningMembers(false));
        receivers.stream()
                .filter(host -> records.row(host).filter(MemberRow::isReachable).isPresent())
                .limit(settings.leaveFanOut())
                .forEach(host -> startExchange(OutstandingCalls.Purpose.LEAVE_ANNOUNCEMENT, host, leave.token(), now));
        completeLeaveIfAnnounced(leave.token());
    }

    private void completeLeaveIfAnnounced(long token) {
        if (!calls.hasCall(token, OutstandingCalls.Purpose.LEAVE_ANNOUNCEMENT)) {
            actions.add(new MembershipAction.LeaveAnnounced(token));
        }
    }

    private void expireCalls(long now) {
        // The I/O layer reports every call within its timeout. If a report is lost, the call must still not stay
        // outstanding.
        long latestStartTime = now - 3 * settings.callTimeout().toNanos();
        calls.startedAtOrBefore(latestStartTime)
                .forEach(id -> calls.remove(id).ifPresent(call -> handleFailedCall(call, CheckResult.SILENT, now)));
    }

    private void runRound(long now) {
        lastRoundTime = now;
        callDiscoveryAddresses(now);
        for (int i = 0; i < settings.fanOut() && !calls.isFull(); i++) {
            selectPeer().ifPresent(host -> startExchange(OutstandingCalls.Purpose.PERIODIC_EXCHANGE, host, 0, now));
        }
        failureDetector.startDueProbes(now);
        records.removeExpired(now);
    }

    private Optional<String> selectPeer() {
        boolean crossDomain = ++exchangeCount % CROSS_DOMAIN_INTERVAL == 0;
        Optional<String> preferred = (crossDomain ? remotePeers : localPeers).next(this::isCallable);
        return preferred.isPresent() ? preferred : (crossDomain ? localPeers : remotePeers).next(this::isCallable);
    }

    private boolean isCallable(String host) {
        return records.row(host)
                .filter(row -> row.member().isRunning() && row.probe().isEmpty())
                .filter(row -> !calls.hasExchangeWith(row.member().peer()))
                .isPresent();
    }

    private void startExchange(OutstandingCalls.Purpose purpose, String host, long token, long now) {
        records.row(host).map(MemberRow::member).ifPresent(peer -> {
            OutstandingCalls.Call call =
                    new OutstandingCalls.Call(purpose, host, peer.incarnation(), peer.peer(), "", token, now);
            sendExchange(call, buildMessage(records.row(host)));
        });
    }

    private ExchangeMessage buildMessage(Optional<MemberRow> receiver) {
        boolean digestDiffers = receiver.filter(row -> row.peerDigest() != 0 && row.peerDigest() != records.digest())
                .isPresent();
        return records.buildMessage(receiver, ImmutableList.of(), digestDiffers, !hasJoined);
    }

    private void callDiscoveryAddresses(long now) {
        Set<String> goneAddresses = new HashSet<>();
        Set<String> liveAddresses = new HashSet<>();
        liveAddresses.add(records.self().peer());
        for (MemberRow row : records.rows()) {
            Member member = row.member();
            if (member.state() != MemberState.GONE) {
                liveAddresses.add(member.peer());
            } else if (member.successor().isEmpty()) {
                goneAddresses.add(member.peer());
            }
        }
        int maxAddresses = hasJoined ? DISCOVERY_CALLS_PER_ROUND : DISCOVERY_CALLS_TO_JOIN;
        for (String address : discoveryAddresses.takeDue(goneAddresses, liveAddresses, maxAddresses, now)) {
            if (!calls.isFull() && !calls.hasExchangeWith(address)) {
                OutstandingCalls.Call call =
                        new OutstandingCalls.Call(OutstandingCalls.Purpose.DISCOVERY, "", 0, address, "", 0, now);
                sendExchange(call, buildMessage(findRowByAddress(address)));
            }
        }
    }

    private Optional<MemberRow> findRowByAddress(String address) {
        return records.rows().stream()
                .filter(row -> row.member().peer().equals(address))
                .findFirst();
    }

    private void sendExchange(OutstandingCalls.Call call, ExchangeMessage message) {
        actions.add(new MembershipAction.SendExchange(calls.add(call), call.address(), message));
    }
}
