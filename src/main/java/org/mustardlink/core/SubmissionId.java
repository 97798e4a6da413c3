package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifier of a submission: its session and a sequence number that the caller chooses before sending.
 *
 * @param session id of the session
 * @param sequence sequence number within the session, from 0 to {@link #MAX_SEQUENCE}
 */
public record SubmissionId(SessionId session, long sequence) {
    /** Largest sequence number; limits the bitmap of used sequence numbers of a session to 128 KiB. */
    public static final long MAX_SEQUENCE = (1L << 20) - 1;

    public SubmissionId {
        checkNotNull(session, "session");
        checkArgument(
                sequence >= 0 && sequence <= MAX_SEQUENCE, "sequence must be in 0..%s: %s", MAX_SEQUENCE, sequence);
    }

    /**
     * Parses the text form {@code session/sequence}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static SubmissionId parse(String text) {
        int slash = text.lastIndexOf('/');
        checkArgument(slash > 0, "submission id must have the form session/sequence: %s", text);
        return new SubmissionId(SessionId.parse(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1)));
    }

    /** Returns the text form {@code session/sequence}. */
    @Override
    public String toString() {
        return session + "/" + sequence;
    }
}
