package org.mustardlink.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/** One round of questions about a host that did not answer: a second own call and checks by other members. */
final class Inquiry {
    private final long id;
    private final long started;
    private final long missed;
    private final Map<String, CheckResult> votes = new LinkedHashMap<>();
    private int pending;

    /**
     * Creates an inquiry.
     *
     * @param id its number
     * @param started when it starts
     * @param missed when the call was made that went unanswered
     */
    Inquiry(long id, long started, long missed) {
        this.id = id;
        this.started = started;
        this.missed = missed;
    }

    long id() {
        return id;
    }

    long started() {
        return started;
    }

    long missed() {
        return missed;
    }

    void expect() {
        pending++;
    }

    /** Notes what a member found; {@link CheckResult#UNKNOWN} is no vote. */
    void vote(String member, CheckResult result) {
        pending--;
        if (result != CheckResult.UNKNOWN) {
            votes.put(member, result);
        }
    }

    boolean complete() {
        return pending <= 0;
    }

    boolean reached() {
        return votes.containsValue(CheckResult.REACHED);
    }

    long refusals() {
        return votes.values().stream()
                .filter(result -> result == CheckResult.REFUSED)
                .count();
    }

    /** Returns the members that voted, with what they found. */
    Map<String, CheckResult> votes() {
        return votes;
    }
}
