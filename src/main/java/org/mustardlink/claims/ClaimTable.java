package org.mustardlink.claims;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.directory.LogPage;

/**
 * The first claim of every key that is young enough to be used, as read from the log in order.
 *
 * <p>A key that may have had a claim which this table does not hold is expired. That covers keys beyond the age limit,
 * keys older than a gap in the log, and keys dropped to keep the table within its bound.
 */
final class ClaimTable {
    /** Claims are kept this much longer than their key may be used, so that an accepted key is never looked up too late. */
    private static final Duration MARGIN = Duration.ofMinutes(1);

    private final Map<SubmissionKey, SubmissionId> first = new LinkedHashMap<>();
    private final ClaimSettings settings;
    private long floorMs = Long.MIN_VALUE;
    private long next;

    ClaimTable(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Returns the offset to read from next. */
    long next() {
        return next;
    }

    int size() {
        return first.size();
    }

    Optional<SubmissionId> find(SubmissionKey key) {
        return Optional.ofNullable(first.get(key));
    }

    boolean isExpired(SubmissionKey key, long nowMs) {
        return key.createdMs() <= floorMs
                || key.createdMs() < nowMs - settings.maxKeyAge().toMillis();
    }

    /** Adds the records of a page that was read from {@link #next()}. */
    void apply(LogPage page, long nowMs) {
        boolean gap = page.first() > next;
        for (String record : page.records()) {
            Optional<ClaimRecord.Parsed> parsed = ClaimRecord.parse(record);
            if (gap && parsed.isPresent()) {
                // Records before this one have left the log; keys older than it may have been claimed there.
                raiseFloor(parsed.get().atMs());
                gap = false;
            }
            parsed.ifPresent(claim -> first.putIfAbsent(claim.key(), claim.submission()));
        }
        if (gap) {
            raiseFloor(nowMs);
        }
        next = Math.max(next, page.next());
        prune(nowMs);
    }

    private void prune(long nowMs) {
        long oldest = nowMs - settings.maxKeyAge().plus(MARGIN).toMillis();
        Iterator<SubmissionKey> inLogOrder = first.keySet().iterator();
        while (inLogOrder.hasNext()) {
            SubmissionKey key = inLogOrder.next();
            if (key.createdMs() >= oldest && first.size() <= settings.maxClaims()) {
                return;
            }
            raiseFloor(key.createdMs());
            inLogOrder.remove();
        }
    }

    private void raiseFloor(long createdMs) {
        floorMs = Math.max(floorMs, createdMs);
    }
}
