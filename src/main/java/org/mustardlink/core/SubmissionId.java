package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifier of one submission: its session and the sequence number that the caller chose before sending.
 *
 * @param session the session
 * @param sequence number within the session, from 0 to {@link #MAX_SEQUENCE}
 */
public record SubmissionId(SessionId session, long sequence) {
    /** Largest sequence number; it bounds the used-number bitmap of a session to 128 KiB. */
    public static final long MAX_SEQUENCE = (1L << 20) - 1;

    public SubmissionId {
        checkNotNull(session, "session");
        checkArgument(
                sequence >= 0 && sequence <= MAX_SEQUENCE, "sequence must be in 0..%s: %s", MAX_SEQUENCE, sequence);
    }

    /**
     * Reads the text form {@code session/sequence}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static SubmissionId parse(String text) {
        int slash = text.lastIndexOf('/');
        checkArgument(slash > 0, "submission id needs a sequence number: %s", text);
        return new SubmissionId(SessionId.parse(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1)));
    }

    /** Returns the text form {@code session/sequence}. */
    @Override
    public String toString() {
        return session + "/" + sequence;
    }
}
