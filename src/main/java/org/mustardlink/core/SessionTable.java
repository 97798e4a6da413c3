package org.mustardlink.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Sessions owned by this incarnation, in order of last use. */
final class SessionTable {
    private final Map<SessionId, SessionRow> rows = new LinkedHashMap<>(16, 0.75f, true);
    private final CoreSettings settings;
    private long nextNumber;

    SessionTable(CoreSettings settings) {
        this.settings = settings;
    }

    boolean isFull() {
        return rows.size() >= settings.maxSessions();
    }

    SessionRow open(long now) {
        SessionId id = new SessionId(settings.host(), settings.incarnation(), nextNumber++);
        SessionRow row = new SessionRow(id, now);
        rows.put(id, row);
        return row;
    }

    Optional<SessionRow> find(SessionId id) {
        return Optional.ofNullable(rows.get(id));
    }

    int size() {
        return rows.size();
    }

    /** Removes sessions that were idle for longer than their time to live and have no open job. */
    void expire(long now) {
        long oldest = now - settings.sessionTtl().toNanos();
        Iterator<SessionRow> byAge = rows.values().iterator();
        while (byAge.hasNext()) {
            SessionRow row = byAge.next();
            if (row.lastUsedNanos() > oldest) {
                return;
            }
            if (row.openJobs() == 0) {
                byAge.remove();
            }
        }
    }
}
