package org.mustardlink.observe;

import com.google.common.base.Ascii;

/** A field of a log event. Field names are stable; {@code docs/logs.md} lists every field. */
public enum LogField {
    /** Id of the entry host; on every line. */
    HOST,
    /** Failure domain of the entry host; on every line. */
    DOMAIN,
    /** Incarnation: the number of one run of an entry host. */
    INCARNATION,
    /** Address on which the host listens for callers. */
    CALLER_ADDRESS,
    /** Address on which the host listens for operators. */
    OPERATOR_ADDRESS,
    /** Address on which the host listens for other entry hosts. */
    PEER_ADDRESS,
    /** Id of an entry host, this one included. */
    MEMBER,
    /** State of the entry host in {@link #MEMBER}. */
    STATE,
    /** Session id. */
    SESSION,
    /** Submission id. */
    SUBMISSION,
    /** Task id. */
    TASK,
    /** Number of the attempt to run the task, from 1. */
    ATTEMPT,
    /** Id of the target. */
    TARGET,
    /** Ids of targets, separated by commas. */
    TARGETS,
    /** Failure domain of the target. */
    TARGET_DOMAIN,
    /** Reason code, or a short text that gives the reason. */
    REASON,
    /** Cause of a refused start or of a changed membership record. */
    CAUSE,
    /** Number of jobs without a verdict. */
    OPEN_JOBS,
    /** Number of targets, or of routes of a configuration. */
    COUNT,
    /** A duration in milliseconds. */
    ELAPSED_MS,
    /** Name of a thread. */
    THREAD,
    /** Message of an error. */
    ERROR,
    /** Number of lines of the same event that the rate limit dropped since the last written line. */
    SUPPRESSED,
    /** Id of a job, chosen by its caller. */
    JOB,
    /** A pool: service and failure domain. */
    POOL,
    /** The host that is the master of a pool. */
    MASTER,
    /** Round of the claim under which a host is the master of a pool. */
    ROUND,
    /** Whether an earlier master may have started tasks of the job. */
    RESUMED,
    /** The route: the queue to which a caller submits its request. */
    ROUTE,
    /** Kind of the final answer to a caller. */
    ANSWER,
    /** Version of the configuration that was in force. */
    CONFIG_VERSION,
    /** The change that took place. */
    CHANGE,
    /** A dependency of the process: a topic of the store. */
    DEPENDENCY,
    /** Key of a record in the store, or its topic. */
    KEY,
    /** Age of the newest information behind a decision, such as the master's last heartbeat, in milliseconds. */
    AGE_MS,
    /** Number of tasks of a job. */
    TASKS,
    /** Processors of the task of a job that needs most of them, in thousandths of a core. */
    TASK_CPU,
    /** Longest chain of declared running times of a job, in milliseconds. */
    CHAIN_MS,
    /** Declared processor time of all tasks of a job, in thousandths of a core times seconds. */
    WORK,
    /** Free processors of a pool's targets minus the need of its queued tasks, in thousandths of a core. */
    FREE_CPU,
    /** Largest number of free processors on a single target of a pool, in thousandths of a core. */
    WIDEST_CPU,
    /** Number of the step of a job, from 0. */
    STEP,
    /** Number of the task within its step, from 0. */
    TASK_INDEX,
    /** Expected running time of a task on its target, in milliseconds. */
    EXPECTED_MS,
    /** Time left until the caller's deadline, in milliseconds. */
    LEFT_MS,
    /** Time since the job arrived at the master of the pool, in milliseconds. */
    WAITED_MS,
    /** Time from the arrival of a job at the master to the first start of one of its tasks, in milliseconds. */
    FIRST_START_MS,
    /** Time from the arrival of a job at the master to the last start of one of its tasks, in milliseconds. */
    LAST_START_MS,
    /** Smallest ratio of the time left to the expected running time at any start of a job's tasks, in percent. */
    LEAST_LEFT_PERCENT,
    /** Processor time of the process since its start, in milliseconds. */
    PROCESSOR_MS,
    /** Number of passes of the event loop. */
    LOOP_PASSES,
    /** Number of heartbeats sent to other hosts. */
    HEARTBEATS_SENT,
    /** Number of heartbeats received from other hosts. */
    HEARTBEATS_RECEIVED,
    /** Number of messages other than heartbeats sent to other hosts. */
    PEER_MESSAGES,
    /** Number of task starts sent to targets. */
    STARTS,
    /** Number of reports requested from targets. */
    REPORTS,
    /** Number of target entries read from the store. */
    TARGET_ENTRIES,
    /** Number of times that the masters of the host have planned the start of waiting tasks. */
    PLACEMENTS,
    /** Number of jobs planned in all placements. */
    PLANNED_JOBS;

    /** Returns the stable name of the field, as written to the log. */
    public String id() {
        return Ascii.toLowerCase(name());
    }
}
