package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The longest run times seen for each service within the last day, in hourly buckets. Not thread-safe.
 *
 * <p>The lead time before a window comes from them: work that starts just before the mark has to end before the window.
 */
public final class RunTimes {
    private static final int HOURS = 24;
    private static final long HOUR_NANOS = Duration.ofHours(1).toNanos();

    private final Map<String, Buckets> services = new HashMap<>();

    private static final class Buckets {
        private final long[] longest = new long[HOURS];
        private long hour;

        private void advance(long now) {
            long current = now / HOUR_NANOS;
            for (long each = Math.max(hour + 1, current - HOURS + 1); each <= current; each++) {
                longest[(int) (each % HOURS)] = 0;
            }
            hour = Math.max(hour, current);
        }
    }

    /**
     * Notes how long a task ran.
     *
     * @param service its service
     * @param run its run time
     * @param elapsed monotonic time since some start, in nanoseconds, not negative
     */
    public void add(String service, Duration run, long elapsed) {
        checkArgument(elapsed >= 0, "elapsed must not be negative: %s", elapsed);
        Buckets buckets = services.computeIfAbsent(service, _unused -> new Buckets());
        buckets.advance(elapsed);
        int slot = (int) (buckets.hour % HOURS);
        buckets.longest[slot] = Math.max(buckets.longest[slot], run.toNanos());
    }

    /** Returns the longest run time of a service within the last day, zero if none was seen. */
    public Duration longest(String service, long elapsed) {
        Buckets buckets = services.get(service);
        if (buckets == null) {
            return Duration.ZERO;
        }
        buckets.advance(elapsed);
        return Duration.ofNanos(Arrays.stream(buckets.longest).max().orElse(0));
    }
}
