package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import java.util.Optional;

/**
 * Why a target takes no new work.
 *
 * @param source what asks for it
 * @param name name of the window or order, or the id of the target for a mark of the platform
 * @param end when it ends, if that is known
 */
public record DrainCause(Source source, String name, Optional<Instant> end) {
    public DrainCause {
        checkNotNull(source, "source");
        checkNotNull(name, "name");
        checkNotNull(end, "end");
    }

    /** What asks for a drain. */
    public enum Source {
        /** A weekly window, or the lead time before it. */
        WINDOW,
        /** An operator's order. */
        ORDER,
        /** The platform's list says that the host is leaving. */
        LEAVING
    }

    @Override
    public String toString() {
        return source + " " + name + end.map(instant -> " until " + instant).orElse("");
    }
}
