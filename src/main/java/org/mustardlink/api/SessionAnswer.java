package org.mustardlink.api;

import org.mustardlink.core.Reason;
import org.mustardlink.core.SessionId;

/** The answer to a request for a session. */
public sealed interface SessionAnswer {
    /**
     * A session was opened.
     *
     * @param session id of the session
     */
    record Granted(SessionId session) implements SessionAnswer {}

    /**
     * The entry host cannot open a session at present.
     *
     * @param reason reason of the refusal
     */
    record Refused(Reason reason) implements SessionAnswer {}
}
