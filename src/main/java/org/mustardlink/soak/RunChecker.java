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
 * Checks that no task has two overlapping runs and that no target is told to start more tasks than it has slots.
 *
 * <p>The caller supplies the times. The end of a run may be recorded late, but with its true time, so two runs are
 * compared only after the end of the run that started first has been recorded. Thread-safe.
 */
public final class RunChecker {
    /** Two runs of a task must not overlap. */
    static final String RULE_TWICE = "TWICE";
    /** A target must not be told to start more tasks than it has slots. */
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

    /** Returns a checker without any recorded run that passes each violation to a listener. */
    public static RunChecker create(Consumer<Violation> violationListener) {
        return new RunChecker(violationListener);
    }

    /**
     * Records the start of a run of a task.
     *
     * @param slots number of tasks that the target can run at once
     * @param runNumber number of the run on the target
     * @param atMs time of the start
     */
    public synchronized void recordStart(String target, int slots, String task, int runNumber, long atMs) {
        int runningCount = runningCounts.merge(target, 1, Integer::sum);
        if (runningCount > slots) {
            String detail = "task=%s target=%s runs=%d room=%d".formatted(task, target, runningCount, slots);
            violationListener.accept(new Violation(atMs, RULE_ROOM, StandInDocuments.jobIdOf(task), detail));
        }
        runsByTask.put(task, new Run(target, runNumber, atMs));
    }

    /**
     * Records the end of a run.
     *
     * @param runNumber number of the run on the target
     * @param outcome outcome in the target's report
     * @param atMs time of the end, not in the future
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
        // The overlap of two ended runs is found when the later of their ends is recorded.
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
        violationListener.accept(new Violation(second.startMs, RULE_TWICE, StandInDocuments.jobIdOf(task), detail));
    }

    /** Reports the overlaps of runs whose end was never recorded. */
    public synchronized void checkUnfinishedRuns() {
        for (String task : ImmutableList.copyOf(runsByTask.keySet())) {
            ImmutableList.copyOf(runsByTask.get(task)).stream()
                    .filter(run -> !run.hasEnded())
                    .forEach(run -> reportOverlaps(task, run));
        }
    }
}
