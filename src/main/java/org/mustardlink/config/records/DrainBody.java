package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * Body of an operator's order for one target.
 *
 * @param target id of the target
 * @param action what is ordered
 * @param until end of the order as ISO instant; {@code null} for an order without end
 * @param reason free text, may be {@code null}
 */
public record DrainBody(String target, Action action, String until, String reason) {
    public DrainBody {
        checkArgument(target != null && !target.isEmpty(), "target must not be empty");
        checkArgument(action != null, "action is missing");
        checkArgument(until == null || isInstant(until), "until must be an ISO instant: %s", until);
        checkArgument(action == Action.DRAIN || until != null, "a release needs an end");
    }

    /** What an order asks for. */
    public enum Action {
        /** The target takes no new work. */
        DRAIN,
        /** The target takes work although a window is open, because it returned early. */
        RELEASE
    }

    /** Returns the end of the order, if it has one. */
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
