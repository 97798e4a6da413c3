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
    /** Id of another entry host. */
    MEMBER,
    /** State of another entry host. */
    STATE,
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
    /** Why a start was refused or a record changed. */
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
    SUPPRESSED,
    /** Id of a job, chosen by its caller. */
    JOB,
    /** A pool: service and failure domain. */
    POOL,
    /** The host that is the master of a pool. */
    MASTER,
    /** Round of the claim under which a host is a master. */
    ROUND,
    /** Whether an earlier master may have started tasks of the job. */
    RESUMED,
    /** The callers' queue. */
    ROUTE,
    /** Kind of the final answer to a caller. */
    ANSWER,
    /** Number of the configuration that was in force. */
    CONFIG_VERSION,
    /** What changed. */
    CHANGE,
    /** What the process depends on. */
    DEPENDENCY,
    /** Key of a record in the store. */
    KEY,
    /** Age of the newest input that decided, in milliseconds. */
    AGE_MS,
    /** Number of tasks of a job. */
    TASKS,
    /** Processors that the widest task of a job needs, in thousandths of a core. */
    TASK_CPU,
    /** Longest chain of declared running times of a job, in milliseconds. */
    CHAIN_MS,
    /** Declared processor time of a whole job, in thousandths of a core times seconds. */
    WORK,
    /** Free processors of a pool's targets less what its queue needs, in thousandths of a core. */
    FREE_CPU,
    /** Most free processors on one target of a pool, in thousandths of a core. */
    WIDEST_CPU,
    /** Processor time of the process since its start, in milliseconds. */
    PROCESSOR_MS,
    /** Times that the event loop has woken up. */
    LOOP_PASSES,
    /** Heartbeats sent to other hosts. */
    HEARTBEATS_SENT,
    /** Heartbeats received from other hosts. */
    HEARTBEATS_RECEIVED,
    /** Other messages sent to other hosts. */
    PEER_MESSAGES,
    /** Starts ordered at targets. */
    STARTS,
    /** Reports that targets were asked for. */
    REPORTS,
    /** Entries of targets read from the store. */
    TARGET_ENTRIES;

    /** Returns the stable name. */
    public String id() {
        return Ascii.toLowerCase(name());
    }
}
