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
    PLATFORM_BACK("platform.back", StandardLevel.INFO);

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
