package org.mustardlink.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Selects members in shuffled rounds, so that each member is called within a bounded time. */
final class PeerSelector {
    private final Random random;
    private final Supplier<List<String>> members;
    private final Deque<String> remaining = new ArrayDeque<>();

    /** Creates a selector. The supplier must return the ids of the members in a stable order. */
    PeerSelector(Random random, Supplier<List<String>> members) {
        this.random = random;
        this.members = members;
    }

    /**
     * Returns the next member that the filter accepts. Starts a new round, at most once, if this round has none left.
     */
    Optional<String> next(Predicate<String> filter) {
        Optional<String> first = pollMatching(filter);
        if (first.isPresent()) {
            return first;
        }
        List<String> shuffled = new ArrayList<>(members.get());
        Collections.shuffle(shuffled, random);
        remaining.addAll(shuffled);
        return pollMatching(filter);
    }

    private Optional<String> pollMatching(Predicate<String> filter) {
        for (String next = remaining.poll(); next != null; next = remaining.poll()) {
            if (filter.test(next)) {
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }
}
