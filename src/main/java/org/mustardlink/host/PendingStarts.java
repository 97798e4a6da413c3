package org.mustardlink.host;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Jobs that must not be accepted for now, because a start of an earlier attempt may still be carried out by a target of
 * some pool. The master of that pool repeats its statement as long as this is so. Runs on the loop thread.
 */
final class PendingStarts {
    /** Interval at which a master repeats its statement. */
    static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Time for which a statement holds; two repetitions may be lost or late. */
    private static final long HOLD_NANOS = 3 * REPEAT_INTERVAL_NANOS;

    private final Map<String, Long> untilNanosByJob = new HashMap<>();

    /** Records the statement of a master about some jobs. */
    void record(ImmutableSet<String> jobs, long now) {
        jobs.forEach(job -> untilNanosByJob.put(job, now + HOLD_NANOS));
    }

    /** Returns whether a job must not be accepted now. */
    boolean contains(String job, long now) {
        Long untilNanos = untilNanosByJob.get(job);
        return untilNanos != null && now < untilNanos;
    }

    /** Forgets the statements that don't hold any more. */
    void expire(long now) {
        untilNanosByJob.values().removeIf(untilNanos -> now >= untilNanos);
    }
}
