package org.mustardlink.core;

/** State of a session that this incarnation owns or has taken over. */
final class SessionRow {
    private final SessionId id;
    private final UsedSequenceNumbers usedNumbers;
    private boolean closed;
    private long lastUsedNanos;
    private int openJobs;

    SessionRow(SessionId id, long now) {
        this(id, new UsedSequenceNumbers(), now);
    }

    SessionRow(SessionId id, UsedSequenceNumbers usedNumbers, long now) {
        this.id = id;
        this.usedNumbers = usedNumbers;
        this.lastUsedNanos = now;
    }

    SessionId id() {
        return id;
    }

    UsedSequenceNumbers usedNumbers() {
        return usedNumbers;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** Returns whether the session is closed, so that no submission of it starts any more. */
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
