package org.mustardlink.observe;

import com.google.common.base.Ascii;

/** A field of a log event. Names are stable; {@code docs/logs.md} lists each. */
public enum LogField {
    /** Id of the entry host. On every line. */
    HOST,
    /** Failure domain of the entry host. On every line. */
    DOMAIN,
    /** Incarnation of the entry host. */
    INCARNATION,
    /** Address for callers. */
    CALLER_ADDRESS,
    /** Address for operators. */
    OPERATOR_ADDRESS,
    /** Address for other entry hosts. */
    PEER_ADDRESS,
    /** Session id. */
    SESSION,
    /** Submission id. */
    SUBMISSION,
    /** Task id. */
    TASK,
    /** Number of the attempt. */
    ATTEMPT,
    /** Id of the target. */
    TARGET,
    /** Ids of targets, separated by commas. */
    TARGETS,
    /** Failure domain of the target. */
    TARGET_DOMAIN,
    /** Reason code of a verdict or a lost attempt. */
    REASON,
    /** Why a start was refused. */
    CAUSE,
    /** Number of jobs without a verdict. */
    OPEN_JOBS,
    /** Number of targets. */
    COUNT,
    /** A time in milliseconds. */
    ELAPSED_MS,
    /** Name of a thread. */
    THREAD,
    /** Text of an error. */
    ERROR,
    /** Lines of the same event that the rate limit dropped since the line before. */
    SUPPRESSED;

    /** Returns the stable name. */
    public String id() {
        return Ascii.toLowerCase(name());
    }
}
