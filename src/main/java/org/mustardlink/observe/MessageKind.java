package org.mustardlink.observe;

import com.google.common.base.Ascii;

/** Kind of a message between an entry host and another process. The metric {@code messages.<kind>} counts each kind. */
public enum MessageKind {
    /** A task was sent to a target. */
    START,
    /** A target gave an answer that ends an attempt, whether complete, failed or damaged. */
    ANSWER,
    /** A target refused a task, or no connection to it could be opened; the task did not start. */
    REFUSED_START,
    /** A connection or a host was probed. */
    PROBE,
    /** A call or message other than a heartbeat was sent to another entry host. */
    PEER,
    /** A target was asked to stop a task. */
    CANCEL,
    /** A target was asked for a report of the tasks that run on it. */
    REPORT,
    /** A heartbeat was sent to another entry host. */
    HEARTBEAT,
    /** A heartbeat of another entry host was received. */
    HEARTBEAT_RECEIVED,
    /** A target's entry was read from the store. */
    TARGET_ENTRY;

    String metricName() {
        return "messages." + Ascii.toLowerCase(name());
    }
}
