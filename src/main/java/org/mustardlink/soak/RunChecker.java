package org.mustardlink.soak;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlink.platform.standin.StandInDocuments;

/**
 * Checks that no task runs twice at the same time and that no target is told to start more than it has room for.
 *
 * <p>Times are given by the caller. An end may be told late, but with its true time: two runs are compared once the earlier
 * one has ended. Thread-safe.
 */
public final class RunChecker {
    static final String TWICE = "TWICE";
    static final String ROOM = "ROOM";

    private final Consumer<Violation> violations;
    private final ListMultimap<String, Run> runsOf = ArrayListMultimap.create();
    private final Map<String, Integer> running = new HashMap<>();
    private final List<Run> reported = new ArrayList<>();

    private static final class Run {
        private final String target;
        private final int number;
        private final long startMs;
        private long endMs = Long.MAX_VALUE;
        private String how = "running";

        private Run(String target, int number, long startMs) {
            this.target = target;
            this.number = number;
            this.startMs = startMs;
        }

        private boolean ended() {
            return endMs != Long.MAX_VALUE;
        }

        private boolean overlaps(Run other) {
            return startMs < other.endMs && other.startMs < endMs;
        }

        private String describe() {
            String end = ended() ? Long.toString(endMs) : "";
            return "run %d on %s %d..%s ms (%s)".formatted(number, target, startMs, end, how);
        }
    }

    private RunChecker(Consumer<Violation> violations) {
        this.violations = violations;
    }

    /** Returns a checker that has seen nothing yet. */
    public static RunChecker create(Consumer<Violation> violations) {
        return new RunChecker(violations);
    }

    /**
     * Notes a start.
     *
     * @param room tasks that fit on the target at once
     * @param atMs time of the start
     */
    public synchronized void started(String target, int room, String task, int number, long atMs) {
        int now = running.merge(target, 1, Integer::sum);
        if (now > room) {
            String detail = "task=%s target=%s runs=%d room=%d".formatted(task, target, now, room);
            violations.accept(new Violation(atMs, ROOM, StandInDocuments.jobIdOf(task), detail));
        }
        runsOf.put(task, new Run(target, number, atMs));
    }

    /**
     * Notes an end.
     *
     * @param how how it ended
     * @param atMs time of the end, not later than now
     */
    public synchronized void ended(String target, String task, int number, String how, long atMs) {
        for (Run run : runsOf.get(task)) {
            if (!run.ended() && run.target.equals(target) && run.number == number) {
                run.endMs = atMs;
                run.how = how;
                running.merge(target, -1, Integer::sum);
                compare(task, run);
                return;
            }
        }
    }

    private void compare(String task, Run ended) {
        // Of two runs that both have ended, the one that ends later finds the other.
        for (Run other : ImmutableList.copyOf(runsOf.get(task))) {
            if (other != ended && other.overlaps(ended) && (other.ended() || other.startMs >= ended.startMs)) {
                report(task, other, ended);
            }
        }
    }

    private void report(String task, Run one, Run two) {
        if (reported.contains(one) && reported.contains(two)) {
            return;
        }
        reported.add(one);
        reported.add(two);
        Run first = one.startMs <= two.startMs ? one : two;
        Run second = first == one ? two : one;
        String detail = "task=%s %s, %s".formatted(task, first.describe(), second.describe());
        violations.accept(new Violation(second.startMs, TWICE, StandInDocuments.jobIdOf(task), detail));
    }

    /** Compares the runs that have not ended. */
    public synchronized void finish() {
        for (String task : ImmutableList.copyOf(runsOf.keySet())) {
            ImmutableList.copyOf(runsOf.get(task)).stream()
                    .filter(run -> !run.ended())
                    .forEach(run -> compare(task, run));
        }
    }
}
