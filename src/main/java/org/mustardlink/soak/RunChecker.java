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
    static final String RULE_TWICE = "TWICE";
    static final String RULE_ROOM = "ROOM";

    private final Consumer<Violation> violationListener;
    private final ListMultimap<String, Run> runsByTask = ArrayListMultimap.create();
    private final Map<String, Integer> runningCounts = new HashMap<>();
    private final List<Run> reportedRuns = new ArrayList<>();

    private static final class Run {
        private final String target;
        private final int number;
        private final long startMs;
        private long endMs = Long.MAX_VALUE;
        private String outcome = "running";

        private Run(String target, int number, long startMs) {
            this.target = target;
            this.number = number;
            this.startMs = startMs;
        }

        private boolean hasEnded() {
            return endMs != Long.MAX_VALUE;
        }

        private boolean overlaps(Run other) {
            return startMs < other.endMs && other.startMs < endMs;
        }

        private String describe() {
            String end = hasEnded() ? Long.toString(endMs) : "";
            return "run %d on %s %d..%s ms (%s)".formatted(number, target, startMs, end, outcome);
        }
    }

    private RunChecker(Consumer<Violation> violationListener) {
        this.violationListener = violationListener;
    }

    /** Returns a checker that has seen nothing yet. */
    public static RunChecker create(Consumer<Violation> violationListener) {
        return new RunChecker(violationListener);
    }

    /**
     * Notes a start.
     *
     * @param slots tasks that fit on the target at once
     * @param atMs time of the start
     */
    public synchronized void recordStart(String target, int slots, String task, int runNumber, long atMs) {
        int runningCount = runningCounts.merge(target, 1, Integer::sum);
        if (runningCount > slots) {
            String detail = "task=%s target=%s runs=%d room=%d".formatted(task, target, runningCount, slots);
            violationListener.accept(new Violation(atMs, RULE_ROOM, StandInDocuments.jobOf(task), detail));
        }
        runsByTask.put(task, new Run(target, runNumber, atMs));
    }

    /**
     * Notes an end.
     *
     * @param outcome how it ended
     * @param atMs time of the end, not later than now
     */
    public synchronized void recordEnd(String target, String task, int runNumber, String outcome, long atMs) {
        for (Run run : runsByTask.get(task)) {
            if (!run.hasEnded() && run.target.equals(target) && run.number == runNumber) {
                run.endMs = atMs;
                run.outcome = outcome;
                runningCounts.merge(target, -1, Integer::sum);
                reportOverlaps(task, run);
                return;
            }
        }
    }

    private void reportOverlaps(String task, Run ended) {
        // Of two runs that both have ended, the one that ends later finds the other.
        for (Run other : ImmutableList.copyOf(runsByTask.get(task))) {
            if (other != ended && other.overlaps(ended) && (other.hasEnded() || other.startMs >= ended.startMs)) {
                reportOverlap(task, other, ended);
            }
        }
    }

    private void reportOverlap(String task, Run one, Run two) {
        if (reportedRuns.contains(one) && reportedRuns.contains(two)) {
            return;
        }
        reportedRuns.add(one);
        reportedRuns.add(two);
        Run first = one.startMs <= two.startMs ? one : two;
        Run second = first == one ? two : one;
        String detail = "task=%s %s, %s".formatted(task, first.describe(), second.describe());
        violationListener.accept(new Violation(second.startMs, RULE_TWICE, StandInDocuments.jobOf(task), detail));
    }

    /** Compares the runs that have not ended. */
    public synchronized void checkUnfinishedRuns() {
        for (String task : ImmutableList.copyOf(runsByTask.keySet())) {
            ImmutableList.copyOf(runsByTask.get(task)).stream()
                    .filter(run -> !run.hasEnded())
                    .forEach(run -> reportOverlaps(task, run));
        }
    }
}
