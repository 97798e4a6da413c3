package org.mustardlink.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.temporal.TemporalAdjusters;
import java.time.zone.ZoneOffsetTransition;
import java.util.Optional;
import java.util.stream.Stream;
import org.mustardlink.config.records.WindowBody;

/**
 * Calculates the occurrences of weekly windows.
 *
 * <p>A local start time that falls into a daylight saving gap moves to the first instant after the gap; of a local
 * start time that occurs twice, the first instant is used. The length of a window is elapsed time, so that a daylight
 * saving transition within the window does not change its length.
 */
public final class WeeklySchedule {
    /** Number of weeks considered before and after an instant; a window and its lead time last at most a week each. */
    private static final int ADJACENT_WEEKS = 2;

    private WeeklySchedule() {}

    /** Returns the first occurrence that covers an instant, including the lead time before the occurrence. */
    public static Optional<WindowOccurrence> findCovering(WindowBody window, Instant time, Duration leadTime) {
        return occurrencesAround(window, time)
                .filter(occurrence -> occurrence.covers(time, leadTime))
                .findFirst();
    }

    /** Returns the first occurrence that starts after an instant. */
    public static WindowOccurrence nextOccurrence(WindowBody window, Instant time) {
        return occurrencesAround(window, time)
                .filter(occurrence -> occurrence.start().isAfter(time))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalStateException("found no occurrence of a weekly window within two weeks"));
    }

    private static Stream<WindowOccurrence> occurrencesAround(WindowBody window, Instant time) {
        LocalDate firstDate = LocalDate.ofInstant(time, window.zoneId())
                .with(TemporalAdjusters.previousOrSame(window.day()))
                .minusWeeks(ADJACENT_WEEKS);
        return Stream.iterate(firstDate, each -> each.plusWeeks(1))
                .limit(2 * ADJACENT_WEEKS + 1)
                .map(each -> occurrenceOn(window, each));
    }

    private static WindowOccurrence occurrenceOn(WindowBody window, LocalDate date) {
        Instant start = startOn(window, date);
        return new WindowOccurrence(start, start.plus(window.length()));
    }

    private static Instant startOn(WindowBody window, LocalDate date) {
        ZoneId zone = window.zoneId();
        ZoneOffsetTransition transition = zone.getRules().getTransition(date.atTime(window.startTime()));
        if (transition != null && transition.isGap()) {
            return transition.getInstant();
        }
        return ZonedDateTime.ofLocal(date.atTime(window.startTime()), zone, null)
                .withEarlierOffsetAtOverlap()
                .toInstant();
    }
}
