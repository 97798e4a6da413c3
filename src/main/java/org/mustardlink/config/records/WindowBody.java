package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Set;

/**
 * Body of a weekly drain window.
 *
 * @param targets ids of the targets to drain, at least one
 * @param zone time zone, such as {@code Europe/Amsterdam}
 * @param day day of the week on which the window starts
 * @param start local start time, {@code HH:mm} or {@code HH:mm:ss}
 * @param minutes length in minutes, at most 7 days
 */
public record WindowBody(Set<String> targets, String zone, DayOfWeek day, String start, int minutes) {
    private static final int MAX_MINUTES = 7 * 24 * 60;

    public WindowBody {
        checkArgument(targets != null && !targets.isEmpty(), "targets must not be empty");
        checkArgument(day != null, "day is missing");
        checkArgument(minutes > 0 && minutes <= MAX_MINUTES, "minutes must be 1 to %s: %s", MAX_MINUTES, minutes);
        checkArgument(isLocalTime(start), "start must be a time HH:mm or HH:mm:ss: %s", start);
        targets = ImmutableSet.copyOf(targets);
    }

    /** Returns the local start time. */
    public LocalTime startTime() {
        return LocalTime.parse(start);
    }

    /** Returns the length of the window. */
    public Duration length() {
        return Duration.ofMinutes(minutes);
    }

    /**
     * Returns the time zone.
     *
     * @throws IllegalArgumentException if the Java runtime does not know the time zone
     */
    public ZoneId zoneId() {
        try {
            return ZoneId.of(zone);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("unknown time zone: " + zone, e);
        }
    }

    private static boolean isLocalTime(String text) {
        try {
            LocalTime.parse(text);
            return true;
        } catch (DateTimeException | NullPointerException e) {
            return false;
        }
    }
}
