package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * A single occurrence of a weekly window.
 *
 * @param start first instant of the window
 * @param end first instant after the window
 */
public record WindowOccurrence(Instant start, Instant end) {
    public WindowOccurrence {
        checkArgument(start.isBefore(end), "start of a window must be before its end: start %s, end %s", start, end);
    }

    /** Returns whether an instant lies within the window or the lead time before the window. */
    public boolean covers(Instant time, Duration leadTime) {
        return !time.isBefore(start.minus(leadTime)) && time.isBefore(end);
    }
}
