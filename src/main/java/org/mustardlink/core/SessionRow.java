package org.mustardlink.core;

/** One session that this incarnation owns. */
final class SessionRow {
    private final SessionId id;
    private final UsedNumbers used;
    private boolean closed;
    private long lastUsedNanos;
    private int openJobs;

    SessionRow(SessionId id, long now) {
        this(id, new UsedNumbers(), now);
    }

    SessionRow(SessionId id, UsedNumbers used, long now) {
        this.id = id;
        this.used = used;
        this.lastUsedNanos = now;
    }

    SessionId id() {
        return id;
    }

    UsedNumbers used() {
        return used;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** Returns whether no number of the session will ever be started again. */
    boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    int openJobs() {
        return openJobs;
    }

    void touch(long now) {
        lastUsedNanos = now;
    }

    void jobOpened() {
        openJobs++;
    }

    void jobClosed() {
        openJobs--;
    }
}
