package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Sessions that this incarnation owns or has taken over, in order of last use. */
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

    /**
     * Adds sessions that a stopping entry host handed over, as closed sessions.
     *
     * @return whether there was room for all of them; if not, none was added
     */
    boolean addHandedOver(List<SessionSnapshot> snapshots, long now) {
        if (rows.size() + snapshots.size() > settings.maxSessions()) {
            return false;
        }
        for (SessionSnapshot snapshot : snapshots) {
            SessionRow row = new SessionRow(snapshot.id(), UsedSequenceNumbers.of(snapshot.used()), now);
            row.close();
            rows.put(row.id(), row);
        }
        return true;
    }

    /** Closes all sessions and returns their snapshots. */
    ImmutableList<SessionSnapshot> closeAll() {
        rows.values().forEach(SessionRow::close);
        return rows.values().stream()
                .map(row -> new SessionSnapshot(row.id(), row.usedNumbers().words()))
                .collect(ImmutableList.toImmutableList());
    }

    Optional<SessionRow> find(SessionId id) {
        return Optional.ofNullable(rows.get(id));
    }

    int size() {
        return rows.size();
    }

    /** Removes sessions that have been idle for longer than their time to live and have no open jobs. */
    void expire(long now) {
        long expiryNanos = now - settings.sessionTtl().toNanos();
        Iterator<SessionRow> byLastUse = rows.values().iterator();
        while (byLastUse.hasNext()) {
            SessionRow row = byLastUse.next();
            if (row.lastUsedNanos() > expiryNanos) {
                return;
            }
            if (row.openJobs() == 0) {
                byLastUse.remove();
            }
        }
    }
}
