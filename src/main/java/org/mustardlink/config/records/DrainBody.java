package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * Body of an operator's order to drain or to release one target.
 *
 * @param target id of the target
 * @param action what the target is ordered to do
 * @param until end of the order as an ISO-8601 instant; {@code null} if the order has no end
 * @param reason reason as free text; may be {@code null}
 */
public record DrainBody(String target, Action action, String until, String reason) {
    public DrainBody {
        checkArgument(target != null && !target.isEmpty(), "target must not be empty");
        checkArgument(action != null, "action is missing");
        checkArgument(until == null || isInstant(until), "until must be an ISO-8601 instant: %s", until);
        checkArgument(action == Action.DRAIN || until != null, "until is required for action RELEASE");
    }

    /** Action of an order. */
    public enum Action {
        /** The target is given no new tasks. */
        DRAIN,
        /** The target is given tasks although a drain window is open, because it became available before the window ends. */
        RELEASE
    }

    /** Returns the end of the order; empty if it has no end. */
    public Optional<Instant> end() {
        return Optional.ofNullable(until).map(Instant::parse);
    }

    private static boolean isInstant(String text) {
        try {
            Instant.parse(text);
            return true;
        } catch (DateTimeParseException e) {
            return false;
        }
    }
}
