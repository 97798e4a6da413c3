package org.mustardlink.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Locale;

/**
 * A fault that is injected during a run.
 *
 * @param kind kind of the fault
 * @param fromSecond begin of the fault, in seconds after the warm-up
 * @param toSecond end of the fault, in seconds after the warm-up, or infinity
 * @param argument index of the target, entry host or domain; the load factor of an overload
 */
public record Fault(Kind kind, double fromSecond, double toSecond, double argument) {
    private static final Splitter FIELDS = Splitter.on(':').limit(4);

    /** Kinds of faults. */
    public enum Kind {
        /** A target fails every task immediately. */
        BLACKHOLE,
        /** A target accepts every task and never answers. */
        STALL,
        /** A target's process exits. */
        KILL,
        /** The processes of eight targets of a domain exit at the same time. */
        RACK,
        /** An entry host's process exits. */
        ENTRY,
        /** One domain is disconnected from the platform and the other domains. */
        PARTITION,
        /** The offered load is multiplied by a factor for some time. */
        OVERLOAD
    }

    /**
     * Parses a fault of the form {@code KIND:FROM[:TO[:ARGUMENT]]}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static Fault parse(String text) {
        List<String> fields = FIELDS.splitToList(text);
        checkArgument(fields.size() >= 2, "a fault must have the form KIND:FROM[:TO[:ARGUMENT]]: %s", text);
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
