package org.mustardlink.api;

import org.mustardlink.core.Reason;
import org.mustardlink.core.SessionId;

/** The answer to a request for a session. */
public sealed interface SessionAnswer {
    /**
     * A session was opened.
     *
     * @param session the session
     */
    record Granted(SessionId session) implements SessionAnswer {}

    /**
     * No session can be opened now.
     *
     * @param reason why
     */
    record Refused(Reason reason) implements SessionAnswer {}
}
