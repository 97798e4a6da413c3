package org.mustardlink.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Locale;

/**
 * Something that goes wrong during a run.
 *
 * @param kind what
 * @param fromSecond when it starts, in seconds of the measured stretch
 * @param toSecond when it ends, or infinity
 * @param argument index of the target, entry host or domain, or the factor of an overload
 */
public record Fault(Kind kind, double fromSecond, double toSecond, double argument) {
    private static final Splitter FIELDS = Splitter.on(':').limit(4);

    /** Kinds of faults. */
    public enum Kind {
        /** A target fails every task at once. */
        BLACKHOLE,
        /** A target takes every task and never answers. */
        STALL,
        /** A target's process ends. */
        KILL,
        /** Eight targets of a domain end at the same instant. */
        RACK,
        /** An entry host's process ends. */
        ENTRY,
        /** The platform and other domains cannot be reached from one domain. */
        PARTITION,
        /** The load is multiplied for a stretch. */
        OVERLOAD
    }

    /**
     * Reads {@code KIND:FROM[:TO[:ARGUMENT]]}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static Fault parse(String text) {
        List<String> fields = FIELDS.splitToList(text);
        checkArgument(fields.size() >= 2, "a fault is KIND:FROM[:TO[:ARGUMENT]]: %s", text);
        Kind kind = Kind.valueOf(fields.get(0).toUpperCase(Locale.ROOT));
        return new Fault(
                kind,
                Double.parseDouble(fields.get(1)),
                fields.size() > 2 && !fields.get(2).isEmpty()
                        ? Double.parseDouble(fields.get(2))
                        : Double.POSITIVE_INFINITY,
                fields.size() > 3 ? Double.parseDouble(fields.get(3)) : kind == Kind.OVERLOAD ? 1.5 : 0);
    }

    boolean isActiveAt(double second) {
        return second >= fromSecond && second < toSecond;
    }

    int index() {
        return (int) argument;
    }
}
