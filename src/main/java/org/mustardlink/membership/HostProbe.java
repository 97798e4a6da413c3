package org.mustardlink.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/** One round of questions about a host that did not answer: a second own call and checks by other members. */
final class HostProbe {
    private final long id;
    private final long startTime;
    private final long failedCallTime;
    private final Map<String, CheckResult> votes = new LinkedHashMap<>();
    private int pendingVotes;

    /**
     * Creates an inquiry.
     *
     * @param id its number
     * @param started when it starts
     * @param missed when the call was made that went unanswered
     */
    HostProbe(long id, long started, long missed) {
        this.id = id;
        this.startTime = started;
        this.failedCallTime = missed;
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

    /** Notes what a member found; {@link CheckResult#UNKNOWN} is no vote. */
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

    /** Returns the members that voted, with what they found. */
    Map<String, CheckResult> votes() {
        return votes;
    }
}
