package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The longest run time of each service within the last day, kept in hourly buckets. Not thread-safe.
 *
 * <p>The lead time before a window is calculated from these run times, so that a task that starts just before the drain
 * ends before the window opens.
 */
public final class LongestRunTimes {
    private static final int BUCKET_COUNT = 24;
    private static final long BUCKET_NANOS = Duration.ofHours(1).toNanos();

    private final Map<String, HourlyBuckets> bucketsByService = new HashMap<>();

    private static final class HourlyBuckets {
        private final long[] longestNanos = new long[BUCKET_COUNT];
        private long latestHour;

        private void advance(long nowNanos) {
            long currentHour = nowNanos / BUCKET_NANOS;
            for (long newHour = Math.max(latestHour + 1, currentHour - BUCKET_COUNT + 1);
                    newHour <= currentHour;
                    newHour++) {
                longestNanos[(int) (newHour % BUCKET_COUNT)] = 0;
            }
            latestHour = Math.max(latestHour, currentHour);
        }
    }

    /**
     * Records the run time of a task.
     *
     * @param service service of the task
     * @param runTime run time of the task
     * @param elapsedNanos monotonic time since a fixed origin, in nanoseconds, not negative
     */
    public void recordRunTime(String service, Duration runTime, long elapsedNanos) {
        checkArgument(elapsedNanos >= 0, "elapsedNanos must not be negative: %s", elapsedNanos);
        HourlyBuckets buckets = bucketsByService.computeIfAbsent(service, _unused -> new HourlyBuckets());
        buckets.advance(elapsedNanos);
        int bucket = (int) (buckets.latestHour % BUCKET_COUNT);
        buckets.longestNanos[bucket] = Math.max(buckets.longestNanos[bucket], runTime.toNanos());
    }

    /** Returns the longest run time of a service within the last day, zero if none was recorded. */
    public Duration longest(String service, long elapsedNanos) {
        HourlyBuckets buckets = bucketsByService.get(service);
        if (buckets == null) {
            return Duration.ZERO;
        }
        buckets.advance(elapsedNanos);
        return Duration.ofNanos(Arrays.stream(buckets.longestNanos).max().orElse(0));
    }
}
