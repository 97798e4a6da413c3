package org.mustardlink.core;

/** One session that this incarnation owns. */
final class SessionRow {
    private final SessionId id;
    private final UsedNumbers used = new UsedNumbers();
    private long lastUsedNanos;
    private int openJobs;

    SessionRow(SessionId id, long now) {
        this.id = id;
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
