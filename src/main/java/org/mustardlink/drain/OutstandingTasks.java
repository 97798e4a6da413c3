package org.mustardlink.drain;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts an entry host's tasks in flight at each target and records their run times. Thread-safe. */
public final class OutstandingTasks {
    private final LongestRunTimes runTimes = new LongestRunTimes();
    private final Map<String, Row> rows = new HashMap<>();

    private static final class Row {
        private int taskCount;
        private long lastStartNanos;
    }

    /**
     * Records the start of a task.
     *
     * @param target id of the target
     * @param elapsedNanos monotonic time in nanoseconds, not negative
     */
    public synchronized void recordStart(String target, long elapsedNanos) {
        Row row = rows.computeIfAbsent(target, _unused -> new Row());
        row.taskCount++;
        row.lastStartNanos = elapsedNanos;
    }

    /**
     * Records the end of a task.
     *
     * @param target id of the target
     * @param service service of the target
     * @param runTime run time of the task
     * @param elapsedNanos monotonic time in nanoseconds, not negative
     */
    public synchronized void recordEnd(String target, String service, Duration runTime, long elapsedNanos) {
        Row row = rows.get(target);
        if (row != null && --row.taskCount == 0) {
            rows.remove(target);
        }
        runTimes.recordRunTime(service, runTime, elapsedNanos);
    }

    /** Returns the lead time of a service, calculated from its longest recorded run. */
    public synchronized Duration leadTime(String service, long elapsedNanos) {
        return LeadTimes.forLongestRun(runTimes.longest(service, elapsedNanos));
    }

    /**
     * Returns a report on the tasks in flight at a target.
     *
     * @param target id of the target
     * @param service service of the target
     * @param reason why the target is drained, empty if it is not drained
     * @param elapsedNanos monotonic time in nanoseconds, not negative
     */
    public synchronized TargetReport report(String target, String service, String reason, long elapsedNanos) {
        Row row = rows.get(target);
        if (row == null) {
            return new TargetReport(!reason.isEmpty(), 0, Duration.ZERO, reason);
        }
        Duration sinceStart = Duration.ofNanos(elapsedNanos - row.lastStartNanos);
        Duration remaining = Comparators.max(
                Duration.ZERO, runTimes.longest(service, elapsedNanos).minus(sinceStart));
        return new TargetReport(!reason.isEmpty(), row.taskCount, remaining, reason);
    }
}
