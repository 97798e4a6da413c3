package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What log order decided about a change.
 *
 * @param change id of the change
 * @param offset offset of its first record
 * @param code why it was rejected; empty when it was accepted
 * @param winner id of the change that it lost to, for a conflict whose winner is still remembered
 * @param message what was wrong; empty when accepted, and in a state, which keeps the code only
 */
public record Outcome(
        String change, long offset, Optional<RejectionCode> code, Optional<String> winner, String message) {
    private static final int MAX_MESSAGE = 160;

    public Outcome {
        checkNotNull(change, "change");
        checkArgument(offset >= 0, "offset must not be negative: %s", offset);
        checkNotNull(code, "code");
        checkNotNull(winner, "winner");
        message = message.length() > MAX_MESSAGE ? message.substring(0, MAX_MESSAGE) : message;
    }

    /** Returns whether the change was accepted. */
    public boolean accepted() {
        return code.isEmpty();
    }

    Outcome withoutMessage() {
        return new Outcome(change, offset, code, winner, "");
    }

    static Outcome accepted(String change, long offset) {
        return new Outcome(change, offset, Optional.empty(), Optional.empty(), "");
    }

    static Outcome rejected(String change, long offset, RejectionCode code, String message) {
        return new Outcome(change, offset, Optional.of(code), Optional.empty(), message);
    }
}
