package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.StandardLevel;

/** A log event. Names are stable; {@code docs/logs.md} lists each with its fields. */
public enum LogEvent {
    /** The entry host listens on all of its addresses. */
    HOST_STARTED("host.started", StandardLevel.INFO),
    /** A planned stop began: the health check fails and nothing new is accepted. */
    HOST_LEAVING("host.leaving", StandardLevel.INFO),
    /** A planned stop ended. */
    HOST_STOPPED("host.stopped", StandardLevel.INFO),
    /** A caller was refused a session. */
    SESSION_REFUSED("session.refused", StandardLevel.WARN),
    /** A job got its complete answer. */
    JOB_COMPLETE("job.complete", StandardLevel.DEBUG),
    /** A job got a verdict other than complete. */
    JOB_FAILED("job.failed", StandardLevel.INFO),
    /** A target refused a start, or no connection to it could be opened. */
    START_REFUSED("start.refused", StandardLevel.INFO),
    /** A start may have run and gave no usable answer. */
    ATTEMPT_LOST("attempt.lost", StandardLevel.WARN),
    /** An answer arrived that nobody waited for. */
    ANSWER_DROPPED("answer.dropped", StandardLevel.WARN),
    /** The set of declared targets changed. */
    TARGETS_DECLARED("targets.declared", StandardLevel.INFO),
    /** The set of draining targets changed. */
    TARGETS_DRAINING("targets.draining", StandardLevel.INFO),
    /** A thread of the process ended with an error that nothing handled. */
    THREAD_FAILED("thread.failed", StandardLevel.ERROR),
    /** The event loop handled an event late. */
    LOOP_LATE("loop.late", StandardLevel.WARN),
    /** The platform's list of hosts cannot be read. */
    PLATFORM_LOST("platform.lost", StandardLevel.WARN),
    /** The platform's list of hosts can be read again. */
    PLATFORM_BACK("platform.back", StandardLevel.INFO),
    /** An entry host's record was added or changed. */
    MEMBER_CHANGED("member.changed", StandardLevel.INFO),
    /** Another process runs under this host's id with a later incarnation. */
    HOST_REPLACED("host.replaced", StandardLevel.WARN),
    /** The process was frozen; calls to peers that were under way are dropped. */
    HOST_WOKE("host.woke", StandardLevel.WARN),
    /** The membership could not handle an event and went on without it. */
    MEMBERSHIP_FAILED("membership.failed", StandardLevel.ERROR),
    /** A request was handed to the master of a pool. */
    REQUEST_SENT("request.sent", StandardLevel.INFO),
    /** A master answered a request under a claim other than the one to which the request was sent last. */
    RESULT_SUPERSEDED("result.superseded", StandardLevel.INFO),
    /** A request got its final answer. */
    REQUEST_ANSWERED("request.answered", StandardLevel.INFO),
    /** A pool's master ended a job. */
    JOB_ENDED("job.ended", StandardLevel.INFO),
    /** Something happened to an open job at the master of its pool. */
    JOB_CHANGED("job.changed", StandardLevel.INFO),
    /** What is believed about a target changed. */
    TARGET_CHANGED("target.changed", StandardLevel.INFO),
    /** This host became the master of a pool. */
    POOL_ACQUIRED("pool.acquired", StandardLevel.INFO),
    /** Every live host knows of the claim of this host and has handed over its jobs of the pool. */
    POOL_HANDED_OVER("pool.handed_over", StandardLevel.INFO),
    /** This host is no longer the master of a pool. */
    POOL_RELEASED("pool.released", StandardLevel.INFO),
    /** The store answered a claim of this host, or didn't. */
    CLAIM_ANSWERED("claim.answered", StandardLevel.INFO),
    /** Bytes on a connection of another host can't be read; the connection is closed. */
    FRAME_REJECTED("frame.rejected", StandardLevel.WARN),
    /** A configuration is in force. */
    CONFIG_APPLIED("config.applied", StandardLevel.INFO),
    /** A record of the store can't be used. */
    RECORD_REJECTED("record.rejected", StandardLevel.WARN),
    /** Something that the process depends on stopped to answer. */
    DEPENDENCY_LOST("dependency.lost", StandardLevel.WARN),
    /** Something that the process depends on answers again. */
    DEPENDENCY_BACK("dependency.back", StandardLevel.INFO),
    /** What this host has done since its start, each ten seconds. */
    HOST_WORK("host.work", StandardLevel.INFO),
    /** The settings file was read again. */
    SETTINGS_RELOADED("settings.reloaded", StandardLevel.INFO),
    /** The settings file changed and can't be used; the earlier settings stay in force. */
    SETTINGS_REJECTED("settings.rejected", StandardLevel.ERROR),
    /** Another host came, went or started again. */
    PEER_CHANGED("peer.changed", StandardLevel.INFO),
    /** The event loop could not handle an event and went on without it. */
    EVENT_FAILED("event.failed", StandardLevel.ERROR);

    private final String id;
    private final StandardLevel level;

    LogEvent(String id, StandardLevel level) {
        this.id = checkNotNull(id, "id");
        this.level = checkNotNull(level, "level");
    }

    /** Returns the stable name. */
    public String id() {
        return id;
    }

    Level level() {
        return Level.valueOf(level.name());
    }
}
