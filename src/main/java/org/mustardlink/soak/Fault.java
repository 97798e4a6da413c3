package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * One fault of a schedule.
 *
 * @param startMs begin of the fault, from the start of the schedule
 * @param durationMs duration of the fault; for a host that is stopped or killed, the time until it is started again
 * @param kind kind of the fault
 * @param victimIndex index of the affected host or target; 0 for the store and for kinds without a victim
 */
record Fault(long startMs, long durationMs, FaultKind kind, int victimIndex) {
    private static final int FIELD_COUNT = 4;
    private static final Splitter SPACE = Splitter.on(' ');

    Fault {
        checkArgument(
                startMs >= 0 && durationMs >= 0,
                "startMs and durationMs must not be negative: %s, %s",
                startMs,
                durationMs);
    }

    /** Returns the fault as a line of a schedule file. */
    String format() {
        return "%d %d %s %d".formatted(startMs, durationMs, kind, victimIndex);
    }

    /** Parses a line of a schedule file. */
    static Fault parse(String line) {
        List<String> fields = SPACE.splitToList(line);
        checkArgument(
                fields.size() == FIELD_COUNT, "a fault must have the form START_MS DURATION_MS KIND VICTIM: %s", line);
        return new Fault(
                Long.parseLong(fields.get(0)),
                Long.parseLong(fields.get(1)),
                FaultKind.valueOf(fields.get(2)),
                Integer.parseInt(fields.get(3)));
    }
}
