package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * The decision whether a change is accepted, as given by the log order of the changes.
 *
 * @param changeId id of the change
 * @param offset offset of the first record with that change id
 * @param code reason of the rejection; empty if the change was accepted
 * @param winningChangeId id of the change that won the conflict; empty if there was none or if it is no longer known
 * @param message description of the error; empty if the change was accepted, and in outcomes read from a state
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
