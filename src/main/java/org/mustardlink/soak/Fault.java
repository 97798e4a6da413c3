package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * One fault.
 *
 * @param atMs when it begins, from the start of the schedule
 * @param lengthMs how long it lasts; for a host that ends, the time until it is started again
 * @param kind what is done
 * @param victim number of the host or target, 0 otherwise
 */
record Fault(long atMs, long lengthMs, FaultKind kind, int victim) {
    private static final int FIELDS = 4;
    private static final Splitter SPACE = Splitter.on(' ');

    Fault {
        checkArgument(atMs >= 0 && lengthMs >= 0, "times must not be negative: %s, %s", atMs, lengthMs);
    }

    /** Returns the line of a schedule. */
    String line() {
        return "%d %d %s %d".formatted(atMs, lengthMs, kind, victim);
    }

    /** Reads the line of a schedule. */
    static Fault parse(String line) {
        List<String> fields = SPACE.splitToList(line);
        checkArgument(fields.size() == FIELDS, "not a fault: %s", line);
        return new Fault(
                Long.parseLong(fields.get(0)),
                Long.parseLong(fields.get(1)),
                FaultKind.valueOf(fields.get(2)),
                Integer.parseInt(fields.get(3)));
    }
}
