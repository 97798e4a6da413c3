package org.mustardlink.claims;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.directory.LogPage;

/**
 * The first claim of every key within the age limit, read from the log in order.
 *
 * <p>A key is expired if a claim of the key may exist that this table does not hold: keys beyond the age limit, keys
 * older than a gap in the log, and keys removed to keep the table within its size limit.
 */
final class ClaimTable {
    /**
     * Claims are kept this much longer than the maximum key age, so that the claim of an accepted key is still found.
     */
    private static final Duration RETENTION_MARGIN = Duration.ofMinutes(1);

    private final Map<SubmissionKey, SubmissionId> firstClaims = new LinkedHashMap<>();
    private final ClaimSettings settings;
    private long expiredUpToMs = Long.MIN_VALUE;
    private long nextOffset;

    ClaimTable(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Returns the offset from which to read the next page. */
    long nextOffset() {
        return nextOffset;
    }

    int size() {
        return firstClaims.size();
    }

    Optional<SubmissionId> find(SubmissionKey key) {
        return Optional.ofNullable(firstClaims.get(key));
    }

    boolean isExpired(SubmissionKey key, long nowMs) {
        return key.createdMs() <= expiredUpToMs
                || key.createdMs() < nowMs - settings.maxKeyAge().toMillis();
    }

    /** Adds the claims in a page that was read from {@link #nextOffset()}. */
    void applyPage(LogPage page, long nowMs) {
        boolean hasGap = page.firstOffset() > nextOffset;
        for (String record : page.records()) {
            Optional<ClaimRecord.Parsed> parsed = ClaimRecord.parse(record);
            if (hasGap && parsed.isPresent()) {
                // The log no longer keeps the records before this one, which may have claimed any key older than this
                // record.
                expireUpTo(parsed.get().atMs());
                hasGap = false;
            }
            parsed.ifPresent(claim -> firstClaims.putIfAbsent(claim.key(), claim.submission()));
        }
        if (hasGap) {
            expireUpTo(nowMs);
        }
        nextOffset = Math.max(nextOffset, page.nextOffset());
        prune(nowMs);
    }

    private void prune(long nowMs) {
        long minCreatedMs = nowMs - settings.maxKeyAge().plus(RETENTION_MARGIN).toMillis();
        Iterator<SubmissionKey> inLogOrder = firstClaims.keySet().iterator();
        while (inLogOrder.hasNext()) {
            SubmissionKey key = inLogOrder.next();
            if (key.createdMs() >= minCreatedMs && firstClaims.size() <= settings.maxClaims()) {
                return;
            }
            expireUpTo(key.createdMs());
            inLogOrder.remove();
        }
    }

    private void expireUpTo(long createdMs) {
        expiredUpToMs = Math.max(expiredUpToMs, createdMs);
    }
}
