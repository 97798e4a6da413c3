package org.mustardlink.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A probe of a host that did not answer: a second call by this host, and checks by other members. Each of them is a
 * vote.
 */
final class HostProbe {
    private final long id;
    private final long startTime;
    private final long failedCallTime;
    private final Map<String, CheckResult> votes = new LinkedHashMap<>();
    private int pendingVotes;

    /**
     * Creates a probe.
     *
     * @param id number of the probe
     * @param startTime when the probe starts, in nanoseconds
     * @param failedCallTime when the call that failed was made, in nanoseconds
     */
    HostProbe(long id, long startTime, long failedCallTime) {
        this.id = id;
        this.startTime = startTime;
        this.failedCallTime = failedCallTime;
    }

    long id() {
        return id;
    }

    long startTime() {
        return startTime;
    }

    long failedCallTime() {
        return failedCallTime;
    }

    void expectVote() {
        pendingVotes++;
    }

    /** Records the result of a member. {@link CheckResult#UNKNOWN} ends the wait for that member without a vote. */
    void recordVote(String member, CheckResult result) {
        pendingVotes--;
        if (result != CheckResult.UNKNOWN) {
            votes.put(member, result);
        }
    }

    boolean isComplete() {
        return pendingVotes <= 0;
    }

    boolean wasReached() {
        return votes.containsValue(CheckResult.REACHED);
    }

    long refusalCount() {
        return votes.values().stream()
                .filter(result -> result == CheckResult.REFUSED)
                .count();
    }

    /** Returns the result of each member that voted, by id of the member. */
    Map<String, CheckResult> votes() {
        return votes;
    }
}
