package org.mustardlink.drain;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** What an entry host has in flight at each target, and the run times it has seen. Thread-safe. */
public final class Outstanding {
    private final RunTimes runTimes = new RunTimes();
    private final Map<String, Row> rows = new HashMap<>();

    private static final class Row {
        private int count;
        private long lastStart;
    }

    /**
     * Notes a start.
     *
     * @param target id of the target
     * @param elapsed monotonic time in nanoseconds, not negative
     */
    public synchronized void started(String target, long elapsed) {
        Row row = rows.computeIfAbsent(target, _unused -> new Row());
        row.count++;
        row.lastStart = elapsed;
    }

    /**
     * Notes the end of a start.
     *
     * @param target id of the target
     * @param service its service
     * @param run how long it took
     * @param elapsed monotonic time in nanoseconds, not negative
     */
    public synchronized void ended(String target, String service, Duration run, long elapsed) {
        Row row = rows.get(target);
        if (row != null && --row.count == 0) {
            rows.remove(target);
        }
        runTimes.add(service, run, elapsed);
    }

    /** Returns the lead time of a service from the longest run seen. */
    public synchronized Duration lead(String service, long elapsed) {
        return LeadTimes.of(runTimes.longest(service, elapsed));
    }

    /**
     * Returns what is in flight at a target.
     *
     * @param target id of the target
     * @param service its service
     * @param reason why it is drained, empty if it is not
     * @param elapsed monotonic time in nanoseconds, not negative
     */
    public synchronized TargetReport report(String target, String service, String reason, long elapsed) {
        Row row = rows.get(target);
        if (row == null) {
            return new TargetReport(!reason.isEmpty(), 0, Duration.ZERO, reason);
        }
        Duration sinceStart = Duration.ofNanos(elapsed - row.lastStart);
        Duration remaining = Comparators.max(
                Duration.ZERO, runTimes.longest(service, elapsed).minus(sinceStart));
        return new TargetReport(!reason.isEmpty(), row.count, remaining, reason);
    }
}
