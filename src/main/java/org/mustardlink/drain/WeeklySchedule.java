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
 * When weekly windows occur.
 *
 * <p>A local start time inside a gap of daylight saving time moves to the first instant after the gap; one that occurs
 * twice takes the first. The length of a window is elapsed time, so a change of the clocks inside it does not make it
 * longer or shorter.
 */
public final class WeeklySchedule {
    /** Weeks looked at on each side; a window and its lead time are at most a week long each. */
    private static final int ADJACENT_WEEKS = 2;

    private WeeklySchedule() {}

    /** Returns the first occurrence that covers an instant, counted with the lead time before its start. */
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
                .orElseThrow(() -> new IllegalStateException("a weekly window must occur within two weeks"));
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
