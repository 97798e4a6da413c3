package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What log order decided about a change.
 *
 * @param changeId id of the change
 * @param offset offset of its first record
 * @param code why it was rejected; empty when it was accepted
 * @param winningChangeId id of the change that it lost to, for a conflict whose winner is still remembered
 * @param message what was wrong; empty when accepted, and in a state, which keeps the code only
 */
public record Outcome(
        String changeId, long offset, Optional<RejectionCode> code, Optional<String> winningChangeId, String message) {
    private static final int MAX_MESSAGE_LENGTH = 160;

    public Outcome {
        checkNotNull(changeId, "change");
        checkArgument(offset >= 0, "offset must not be negative: %s", offset);
        checkNotNull(code, "code");
        checkNotNull(winningChangeId, "winner");
        message = message.length() > MAX_MESSAGE_LENGTH ? message.substring(0, MAX_MESSAGE_LENGTH) : message;
    }

    /** Returns whether the change was accepted. */
    public boolean isAccepted() {
        return code.isEmpty();
    }

    Outcome withoutMessage() {
        return new Outcome(changeId, offset, code, winningChangeId, "");
    }

    static Outcome accepted(String changeId, long offset) {
        return new Outcome(changeId, offset, Optional.empty(), Optional.empty(), "");
    }

    static Outcome rejected(String changeId, long offset, RejectionCode code, String message) {
        return new Outcome(changeId, offset, Optional.of(code), Optional.empty(), message);
    }
}
