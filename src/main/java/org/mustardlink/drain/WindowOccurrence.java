package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * One week's turn of a window.
 *
 * @param start first instant of the window
 * @param end first instant after it
 */
public record WindowOccurrence(Instant start, Instant end) {
    public WindowOccurrence {
        checkArgument(start.isBefore(end), "a window must start before it ends: %s %s", start, end);
    }

    /** Returns whether an instant lies in the window or in the lead time before it. */
    public boolean covers(Instant time, Duration leadTime) {
        return !time.isBefore(start.minus(leadTime)) && time.isBefore(end);
    }
}
