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
public final class LongestRunTimes {
    private static final int BUCKET_COUNT = 24;
    private static final long BUCKET_NANOS = Duration.ofHours(1).toNanos();

    private final Map<String, HourlyBuckets> bucketsByService = new HashMap<>();

    private static final class HourlyBuckets {
        private final long[] longestNanos = new long[BUCKET_COUNT];
        private long latestHour;

        private void advance(long nowNanos) {
            long currentHour = nowNanos / BUCKET_NANOS;
            for (long skippedHour = Math.max(latestHour + 1, currentHour - BUCKET_COUNT + 1);
                    skippedHour <= currentHour;
                    skippedHour++) {
                longestNanos[(int) (skippedHour % BUCKET_COUNT)] = 0;
            }
            latestHour = Math.max(latestHour, currentHour);
        }
    }

    /**
     * Notes how long a task ran.
     *
     * @param service its service
     * @param runTime its run time
     * @param elapsedNanos monotonic time since some start, in nanoseconds, not negative
     */
    public void recordRunTime(String service, Duration runTime, long elapsedNanos) {
        checkArgument(elapsedNanos >= 0, "elapsed must not be negative: %s", elapsedNanos);
        HourlyBuckets buckets = bucketsByService.computeIfAbsent(service, _unused -> new HourlyBuckets());
        buckets.advance(elapsedNanos);
        int bucket = (int) (buckets.latestHour % BUCKET_COUNT);
        buckets.longestNanos[bucket] = Math.max(buckets.longestNanos[bucket], runTime.toNanos());
    }

    /** Returns the longest run time of a service within the last day, zero if none was seen. */
    public Duration longest(String service, long elapsedNanos) {
        HourlyBuckets buckets = bucketsByService.get(service);
        if (buckets == null) {
            return Duration.ZERO;
        }
        buckets.advance(elapsedNanos);
        return Duration.ofNanos(Arrays.stream(buckets.longestNanos).max().orElse(0));
    }
}
