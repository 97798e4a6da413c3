package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import java.util.Optional;

/**
 * The reason why a target takes no new tasks.
 *
 * @param source origin of the drain
 * @param name name of the window or order, or id of the target if the platform marks the target as leaving
 * @param end when the drain ends, if known
 */
public record DrainCause(Source source, String name, Optional<Instant> end) {
    public DrainCause {
        checkNotNull(source, "source");
        checkNotNull(name, "name");
        checkNotNull(end, "end");
    }

    /** Origin of a drain. */
    public enum Source {
        /** A weekly window, or the lead time before it. */
        WINDOW,
        /** An operator's order. */
        ORDER,
        /** The platform's host list marks the target as leaving. */
        LEAVING
    }

    @Override
    public String toString() {
        return source + " " + name + end.map(instant -> " until " + instant).orElse("");
    }
}
