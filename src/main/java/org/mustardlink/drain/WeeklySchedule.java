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
    private static final int WEEKS = 2;

    private WeeklySchedule() {}

    /** Returns the first occurrence that covers an instant, counted with the lead time before its start. */
    public static Optional<Occurrence> covering(WindowBody window, Instant time, Duration lead) {
        return around(window, time)
                .filter(occurrence -> occurrence.covers(time, lead))
                .findFirst();
    }

    /** Returns the first occurrence that starts after an instant. */
    public static Occurrence next(WindowBody window, Instant time) {
        return around(window, time)
                .filter(occurrence -> occurrence.start().isAfter(time))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("a weekly window must occur within two weeks"));
    }

    private static Stream<Occurrence> around(WindowBody window, Instant time) {
        LocalDate day = LocalDate.ofInstant(time, window.zoneId())
                .with(TemporalAdjusters.previousOrSame(window.day()))
                .minusWeeks(WEEKS);
        return Stream.iterate(day, each -> each.plusWeeks(1))
                .limit(2 * WEEKS + 1)
                .map(each -> on(window, each));
    }

    private static Occurrence on(WindowBody window, LocalDate day) {
        Instant start = startOn(window, day);
        return new Occurrence(start, start.plus(window.length()));
    }

    private static Instant startOn(WindowBody window, LocalDate day) {
        ZoneId zone = window.zoneId();
        ZoneOffsetTransition change = zone.getRules().getTransition(day.atTime(window.startTime()));
        if (change != null && change.isGap()) {
            return change.getInstant();
        }
        return ZonedDateTime.ofLocal(day.atTime(window.startTime()), zone, null)
                .withEarlierOffsetAtOverlap()
                .toInstant();
    }
}
