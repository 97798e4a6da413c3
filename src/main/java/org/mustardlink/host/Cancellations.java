package org.mustardlink.host;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Callers that cancel jobs which other hosts may have, until those have answered. Runs on the loop thread. */
final class Cancellations {
    /** A canceling caller waits this long; other hosts answer within a round trip. */
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final List<Cancellation> pending = new ArrayList<>();

    private record Cancellation(
            String job, Set<String> unansweredHosts, long deadlineNanos, Consumer<Boolean> onFound) {}

    /**
     * Waits for the answers of hosts.
     *
     * @param askedHosts the hosts that were asked
     * @param onFound gets whether any of them had the job
     */
    void add(String job, ImmutableSet<String> askedHosts, Consumer<Boolean> onFound, long now) {
        if (askedHosts.isEmpty()) {
            onFound.accept(false);
            return;
        }
        pending.add(new Cancellation(job, new HashSet<>(askedHosts), now + ANSWER_TIMEOUT_NANOS, onFound));
    }

    /** Takes a host's answer. */
    void recordAnswer(String host, String job, boolean found) {
        completeMatching(found, cancellation -> {
            if (!cancellation.job().equals(job)) {
                return false;
            }
            cancellation.unansweredHosts().remove(host);
            return found || cancellation.unansweredHosts().isEmpty();
        });
    }

    /** Ends the waits that are over; no host was heard to have the job. */
    void expire(long now) {
        completeMatching(false, cancellation -> now > cancellation.deadlineNanos());
    }

    private void completeMatching(boolean found, Predicate<Cancellation> isComplete) {
        pending.removeIf(cancellation -> {
            boolean complete = isComplete.test(cancellation);
            if (complete) {
                cancellation.onFound().accept(found);
            }
            return complete;
        });
    }
}
