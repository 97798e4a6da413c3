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
    private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final List<Cancellation> open = new ArrayList<>();

    private record Cancellation(String job, Set<String> unanswered, long untilNanos, Consumer<Boolean> onFound) {}

    /**
     * Waits for the answers of hosts.
     *
     * @param asked the hosts that were asked
     * @param onFound gets whether any of them had the job
     */
    void add(String job, ImmutableSet<String> asked, Consumer<Boolean> onFound, long now) {
        if (asked.isEmpty()) {
            onFound.accept(false);
            return;
        }
        open.add(new Cancellation(job, new HashSet<>(asked), now + WAIT_NANOS, onFound));
    }

    /** Takes a host's answer. */
    void answered(String host, String job, boolean found) {
        end(found, cancellation -> {
            if (!cancellation.job().equals(job)) {
                return false;
            }
            cancellation.unanswered().remove(host);
            return found || cancellation.unanswered().isEmpty();
        });
    }

    /** Ends the waits that are over; no host was heard to have the job. */
    void expire(long now) {
        end(false, cancellation -> now > cancellation.untilNanos());
    }

    private void end(boolean found, Predicate<Cancellation> isOver) {
        open.removeIf(cancellation -> {
            boolean over = isOver.test(cancellation);
            if (over) {
                cancellation.onFound().accept(found);
            }
            return over;
        });
    }
}
