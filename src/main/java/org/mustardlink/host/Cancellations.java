package org.mustardlink.host;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Cancellations of jobs that wait for the answers of other hosts. Runs on the loop thread. */
final class Cancellations {
    /** Time that a cancellation waits for the answers of other hosts; they answer within one round trip. */
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final List<Cancellation> pending = new ArrayList<>();
    /** Answers to callers that are due; empty between two calls unless one has failed. */
    private final Queue<Runnable> answers = new ArrayDeque<>();

    private record Cancellation(
            String job, Set<String> unansweredHosts, long deadlineNanos, Consumer<Boolean> onFound) {}

    /**
     * Adds a cancellation, which waits for the answers of other hosts.
     *
     * @param askedHosts the hosts that were asked to cancel the job
     * @param onFound receives whether any of these hosts had the job
     */
    void add(String job, ImmutableSet<String> askedHosts, Consumer<Boolean> onFound, long now) {
        if (askedHosts.isEmpty()) {
            onFound.accept(false);
            return;
        }
        pending.add(new Cancellation(job, new HashSet<>(askedHosts), now + ANSWER_TIMEOUT_NANOS, onFound));
    }

    /** Returns the jobs whose cancellation a host has not answered; the messages are lost if its link breaks. */
    ImmutableSet<String> jobsUnansweredBy(String host) {
        return pending.stream()
                .filter(cancellation -> cancellation.unansweredHosts().contains(host))
                .map(Cancellation::job)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Records the answer of a host to every open cancellation of the job. */
    void recordAnswer(String host, String job, boolean found) {
        completeMatching(found, cancellation -> {
            if (!cancellation.job().equals(job)) {
                return false;
            }
            cancellation.unansweredHosts().remove(host);
            return found || cancellation.unansweredHosts().isEmpty();
        });
    }

    /** Completes the cancellations that have waited too long: none of the hosts that answered had the job. */
    void expire(long now) {
        completeMatching(false, cancellation -> now > cancellation.deadlineNanos());
    }

    /** Answers each matching cancellation once; if an answer fails, the next call gives those behind it. */
    private void completeMatching(boolean found, Predicate<Cancellation> isComplete) {
        pending.removeIf(cancellation -> {
            boolean complete = isComplete.test(cancellation);
            if (complete) {
                answers.add(() -> cancellation.onFound().accept(found));
            }
            return complete;
        });
        while (!answers.isEmpty()) {
            answers.remove().run();
        }
    }
}
