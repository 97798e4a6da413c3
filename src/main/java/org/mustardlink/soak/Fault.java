package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * One fault.
 *
 * @param startMs when it begins, from the start of the schedule
 * @param durationMs how long it lasts; for a host that ends, the time until it is started again
 * @param kind what is done
 * @param victimIndex number of the host or target, 0 otherwise
 */
record Fault(long startMs, long durationMs, FaultKind kind, int victimIndex) {
    private static final int FIELD_COUNT = 4;
    private static final Splitter SPACE = Splitter.on(' ');

    Fault {
        checkArgument(startMs >= 0 && durationMs >= 0, "times must not be negative: %s, %s", startMs, durationMs);
    }

    /** Returns the line of a schedule. */
    String format() {
        return "%d %d %s %d".formatted(startMs, durationMs, kind, victimIndex);
    }

    /** Reads the line of a schedule. */
    static Fault parse(String line) {
        List<String> fields = SPACE.splitToList(line);
        checkArgument(fields.size() == FIELD_COUNT, "not a fault: %s", line);
        return new Fault(
                Long.parseLong(fields.get(0)),
                Long.parseLong(fields.get(1)),
                FaultKind.valueOf(fields.get(2)),
                Integer.parseInt(fields.get(3)));
    }
}
