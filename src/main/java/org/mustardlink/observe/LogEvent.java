package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.StandardLevel;

/** An event of the log. Event names are stable; {@code docs/logs.md} lists every event and its fields. */
public enum LogEvent {
    /** The entry host listens on all of its addresses. */
    HOST_STARTED("host.started", StandardLevel.INFO),
    /** A planned stop began: the health check fails and no new work is accepted. */
    HOST_LEAVING("host.leaving", StandardLevel.INFO),
    /** A planned stop ended. */
    HOST_STOPPED("host.stopped", StandardLevel.INFO),
    /** A caller was refused a session. */
    SESSION_REFUSED("session.refused", StandardLevel.WARN),
    /** A job was answered completely. */
    JOB_COMPLETE("job.complete", StandardLevel.DEBUG),
    /** A job ended with a verdict other than {@code OK}. */
    JOB_FAILED("job.failed", StandardLevel.INFO),
    /** A task did not start: its target refused the start, or no connection to the target could be opened. */
    START_REFUSED("start.refused", StandardLevel.INFO),
    /** A task may have run on its target, but the target gave no usable answer. */
    ATTEMPT_LOST("attempt.lost", StandardLevel.WARN),
    /** An answer was dropped because its requester had disconnected. */
    ANSWER_DROPPED("answer.dropped", StandardLevel.WARN),
    /** The set of declared targets changed. */
    TARGETS_DECLARED("targets.declared", StandardLevel.INFO),
    /** The set of draining targets changed. */
    TARGETS_DRAINING("targets.draining", StandardLevel.INFO),
    /** A thread of the process ended with an unhandled error. */
    THREAD_FAILED("thread.failed", StandardLevel.ERROR),
    /** An event waited too long for the event loop, for lack of processor time or because of a pause. */
    LOOP_LATE("loop.late", StandardLevel.WARN),
    /** The platform's list of hosts cannot be read. */
    PLATFORM_LOST("platform.lost", StandardLevel.WARN),
    /** The platform's list of hosts can be read again. */
    PLATFORM_BACK("platform.back", StandardLevel.INFO),
    /** The membership record of an entry host was added or changed. */
    MEMBER_CHANGED("member.changed", StandardLevel.INFO),
    /** Another process runs under this host's id with a later incarnation. */
    HOST_REPLACED("host.replaced", StandardLevel.WARN),
    /** The process was suspended for a while; its outstanding calls to peers are dropped. */
    HOST_WOKE("host.woke", StandardLevel.WARN),
    /** The membership protocol failed to handle an event and skipped it. */
    MEMBERSHIP_FAILED("membership.failed", StandardLevel.ERROR),
    /** A request was sent to the master of a pool. */
    REQUEST_SENT("request.sent", StandardLevel.INFO),
    /** A master answered a request under a claim that is not the one under which the request was last sent. */
    RESULT_SUPERSEDED("result.superseded", StandardLevel.INFO),
    /** A caller got the final answer to its request. */
    REQUEST_ANSWERED("request.answered", StandardLevel.INFO),
    /** The master of a pool ended a job. */
    JOB_ENDED("job.ended", StandardLevel.INFO),
    /** The master of a pool ordered the start of a task that is expected to end before the caller's deadline. */
    RUN_STARTED("run.started", StandardLevel.DEBUG),
    /** The master of a pool ordered the start of a task that is expected to end after the caller's deadline. */
    RUN_AT_RISK("run.at_risk", StandardLevel.INFO),
    /** The master of a pool adopted or lost a run of an open job, or stopped the job. */
    JOB_CHANGED("job.changed", StandardLevel.INFO),
    /** The master of a pool changed its assessment of a target. */
    TARGET_CHANGED("target.changed", StandardLevel.INFO),
    /** This host became the master of a pool. */
    POOL_ACQUIRED("pool.acquired", StandardLevel.INFO),
    /** Every live host has acknowledged this host's claim of a pool and has handed over its jobs of the pool. */
    POOL_HANDED_OVER("pool.handed_over", StandardLevel.INFO),
    /** This host is no longer the master of a pool. */
    POOL_RELEASED("pool.released", StandardLevel.INFO),
    /** The write of this host's claim of a pool to the store succeeded, lost to another claim, or got no answer. */
    CLAIM_ANSWERED("claim.answered", StandardLevel.INFO),
    /** A connection from another host carried bytes that are no valid frame; the connection is closed. */
    FRAME_REJECTED("frame.rejected", StandardLevel.WARN),
    /** A new configuration came into force. */
    CONFIG_APPLIED("config.applied", StandardLevel.INFO),
    /** A record of the store is invalid and is skipped. */
    RECORD_REJECTED("record.rejected", StandardLevel.WARN),
    /** A dependency of the process stopped answering. */
    DEPENDENCY_LOST("dependency.lost", StandardLevel.WARN),
    /** A dependency of the process answers again. */
    DEPENDENCY_BACK("dependency.back", StandardLevel.INFO),
    /** The work that this host has done since its start; written every ten seconds. */
    HOST_WORK("host.work", StandardLevel.INFO),
    /** The settings file was read again. */
    SETTINGS_RELOADED("settings.reloaded", StandardLevel.INFO),
    /** The changed settings file is invalid; the earlier settings stay in force. */
    SETTINGS_REJECTED("settings.rejected", StandardLevel.ERROR),
    /** Another host joined, restarted, became silent, or was silent for so long that work of its callers is stopped. */
    PEER_CHANGED("peer.changed", StandardLevel.INFO),
    /** The event loop failed to handle an event and skipped it. */
    EVENT_FAILED("event.failed", StandardLevel.ERROR);

    private final String id;
    private final StandardLevel level;

    LogEvent(String id, StandardLevel level) {
        this.id = checkNotNull(id, "id");
        this.level = checkNotNull(level, "level");
    }

    /** Returns the stable name of the event, as written to the log. */
    public String id() {
        return id;
    }

    Level level() {
        return Level.valueOf(level.name());
    }
}
